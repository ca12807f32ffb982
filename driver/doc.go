// Package driver speaks to endpoints: model engines with the OpenAI-style
// completion API and plain services with one answer a call.
//
// A call that failed is reported as not run only if no byte of it was written
// to the connection, or if the endpoint itself said that it did not start.
package driver
