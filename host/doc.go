// Package host keeps the membership of the entry hosts and answers which of
// them a caller should use.
package host
