// Package idempotency provides at-most-once execution of requests that must not run
// twice.
//
// A Minter issues tokens before a request is sent. A token names the
// incarnation of the host that issued it, and only that incarnation may run the
// request. Its Ledger records in memory which tokens have been used, and the
// outcomes of their requests. For an idempotency key, which the caller makes
// up, Claims decides which incarnation may run the request, by one
// compare-and-swap in the platform's store.
package idempotency
