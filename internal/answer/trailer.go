package answer

import (
	"fmt"
	"net/http"
)

// TrailerError says that the trailer of an answer holds a field whose name is invalid.
type TrailerError struct{ Name string }

// Error implements error.
func (e *TrailerError) Error() string {
	return fmt.Sprintf("the trailer of the answer is invalid: a field has the name %q; look at the server that sent it", e.Name)
}

// CheckTrailer returns a TrailerError if a name in the trailer of an answer is invalid. http.ReadResponse accepts names
// with blanks.
func CheckTrailer(trailer http.Header) error {
	for name := range trailer {
		if !isName(name) {
			return &TrailerError{name}
		}
	}
	return nil
}
