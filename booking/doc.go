// Package booking keeps work that may not be repeated from running twice.
//
// A Minter makes tokens before a request is sent. A token names the
// incarnation that minted it, and only that incarnation may start its work. A
// Ledger records, in the memory of that incarnation, which tokens have started
// and what became of them. Claims give the same right for a caller's own
// idempotency key by one compare-and-swap in the platform's store.
package booking
