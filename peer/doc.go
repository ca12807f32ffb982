// Package peer carries calls between hosts over WebSocket connections, with
// messages encoded in CBOR.
//
// Both sides of a connection authenticate with the deployment key before any
// call is read. All calls from one host to another share a connection. A call
// that fails in transport returns a NotRun error if its request was never
// handed to the connection, and an OutcomeUnknown error if it was.
package peer
