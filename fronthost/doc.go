// Package fronthost wires one host on the users' platform: it reads the
// settings, listens for callers, follows the store, and stops gracefully.
package fronthost
