package answer

import "errors"

//go:generate go tool -modfile=../../tools/go.mod enumer -type=Fault -output=fault_enumer.go

// Fault is why an answer is refused.
type Fault int

const (
	// NoFault means that the answer is not refused by a check of this package.
	NoFault Fault = iota
	// InvalidHead is that of a HeadError.
	InvalidHead
	// InvalidTrailer is that of a TrailerError.
	InvalidTrailer
	// RequestNotWritten is that of an UnprovenEndError whose request was not written whole.
	RequestNotWritten
	// EndOverRelay is that of an UnprovenEndError of a relayed connection.
	EndOverRelay
)

// FaultOf returns the fault in an error's chain.
func FaultOf(err error) Fault {
	var (
		head    *HeadError
		trailer *TrailerError
		end     *UnprovenEndError
	)
	switch {
	case errors.As(err, &head):
		return InvalidHead
	case errors.As(err, &trailer):
		return InvalidTrailer
	case !errors.As(err, &end):
		return NoFault
	case end.Request == nil:
		return EndOverRelay
	}
	return RequestNotWritten
}
