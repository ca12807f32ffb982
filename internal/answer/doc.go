// Package answer checks the answers that clients of HTTP/1 read: whether a head is valid, and whether the end of a
// connection proves that a body is whole.
package answer
