package entry

import (
	"math"
	"net/http"
	"strconv"
	"strings"

	"cicadapitch.example/cicadapitch"
	"github.com/danielgtaylor/huma/v2"
)

// APIError is the error body of the HTTP API.
type APIError struct {
	Status int    `json:"-"`
	Kind   string `json:"Kind" enum:"Internal,Invalid,Denied,NotFound,NotRun,OutcomeUnknown,DeadlineExceeded,Conflict,Unavailable,Redirected"`
	Reason string `json:"Reason"`
	Remedy string `json:"Remedy"`
	// RetryAfter is in milliseconds. It is 0 if a retry does not help.
	RetryAfter cicadapitch.Millis `json:"RetryAfter" doc:"Milliseconds after which the request may be sent again"`
}

// Error implements error.
func (e *APIError) Error() string { return e.Kind + ": " + e.Reason }

// GetStatus implements huma.StatusError.
func (e *APIError) GetStatus() int { return e.Status }

// GetHeaders implements huma.HeadersError.
func (e *APIError) GetHeaders() http.Header {
	h := http.Header{}
	if e.RetryAfter > 0 {
		h.Set("Retry-After", retryAfterSeconds(e.RetryAfter))
	}
	return h
}

// retryAfterSeconds rounds up, because the header counts whole seconds.
func retryAfterSeconds(m cicadapitch.Millis) string {
	return strconv.Itoa(int(math.Ceil(float64(m) / float64(cicadapitch.Second))))
}

// NewAPIError returns the APIError for err. If err is not a cicadapitch.Error, the
// kind is Internal and the reason does not contain the text of err.
func NewAPIError(err error) *APIError {
	e := cicadapitch.AsError(err)
	if e == nil {
		e = cicadapitch.NewError(cicadapitch.Internal, "the host failed", "report it to an operator")
	}
	return &APIError{
		Status:     StatusOf(e.Kind),
		Kind:       e.Kind.String(),
		Reason:     e.Reason,
		Remedy:     e.Remedy,
		RetryAfter: e.RetryAfter,
	}
}

// StatusOf returns the HTTP status of errors of a kind.
func StatusOf(k cicadapitch.Kind) int {
	switch k {
	case cicadapitch.Invalid:
		return http.StatusBadRequest
	case cicadapitch.Denied:
		return http.StatusUnauthorized
	case cicadapitch.NotFound:
		return http.StatusNotFound
	case cicadapitch.NotRun, cicadapitch.Unavailable:
		return http.StatusServiceUnavailable
	case cicadapitch.OutcomeUnknown:
		return http.StatusBadGateway
	case cicadapitch.DeadlineExceeded:
		return http.StatusGatewayTimeout
	case cicadapitch.Conflict:
		return http.StatusConflict
	case cicadapitch.Redirected:
		return http.StatusMisdirectedRequest
	}
	return http.StatusInternalServerError
}

// newHumaError returns the APIError for an error that huma itself detects, such as
// malformed JSON. Its kind is Invalid for the statuses 400 to 499, else Internal.
func newHumaError(status int, msg string, errs ...error) huma.StatusError {
	reason := msg
	for _, err := range errs {
		if err != nil {
			reason += "; " + err.Error()
		}
	}
	kind := cicadapitch.Internal
	if status >= 400 && status < 500 {
		kind = cicadapitch.Invalid
	}
	return &APIError{Status: status, Kind: kind.String(), Reason: strings.ToLower(reason), Remedy: remedyForStatus(status)}
}

func remedyForStatus(status int) string {
	switch {
	case status == http.StatusRequestEntityTooLarge:
		return "send a smaller body"
	case status == http.StatusRequestTimeout:
		return "send the body faster"
	case status < 500:
		return "correct the request; its form is at /openapi.json"
	}
	return "report it to an operator"
}
