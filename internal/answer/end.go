package answer

import "io"

// UnprovenEndError is the error at the end of a body without length or chunks that does not prove that the body is
// whole. A socket reports a reset to one operation only: if the write of the request gets it, the reader of the answer
// sees an orderly end. The error wraps io.ErrUnexpectedEOF.
type UnprovenEndError struct {
	// Request is the error of writing the request, or nil if the connection was relayed.
	Request error
}

// Error implements error.
func (e *UnprovenEndError) Error() string {
	reason := "it came over a relay, which may have ended first"
	if e.Request != nil {
		reason = "the request was not written whole: " + e.Request.Error()
	}
	return "the answer states neither length nor chunks, and its end proves nothing: " + reason + "; let the server state one of them"
}

// Unwrap returns the error of a body that broke off, and that of the request.
func (e *UnprovenEndError) Unwrap() []error {
	if e.Request == nil {
		return []error{io.ErrUnexpectedEOF}
	}
	return []error{io.ErrUnexpectedEOF, e.Request}
}
