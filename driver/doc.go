// Package driver sends calls to endpoints over HTTP. Engine calls model engines
// through their OpenAI-style streaming completion API, Service calls plain
// services that return one JSON answer per call.
//
// A failed call returns a NotRun error only if no byte of the request was
// written to the connection, or if the endpoint stated that it did not start
// the call. Any other failed call returns an OutcomeUnknown error.
package driver
