// Package entry serves callers' requests on the host that they connect to.
//
// A Server keeps one record for each request. It runs the stages of the
// request's pipeline in order, gathers the whole answer and tries again only
// what may be repeated. Register offers a Server to callers over HTTP.
package entry
