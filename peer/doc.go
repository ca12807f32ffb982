// Package peer carries calls between the entry hosts over WebSocket, with
// messages in CBOR.
//
// Both sides prove the deployment's key before any call is read. Many calls
// share one connection. A call that fails in transport carries kind NotRun if
// its request was never handed to the connection, and OutcomeUnknown if it was.
package peer
