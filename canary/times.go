package canary

import (
	"encoding/binary"
	"math"

	"cicadapitch.example/cicadapitch"
)

const (
	// Bins is the number of bins of a histogram of times.
	Bins = 30
	// firstEdge is the upper edge of the first bin in milliseconds. Shorter times are not told apart.
	firstEdge = 5
	// binRatio is the ratio of two edges. Times of a factor of 2 are two bins apart, and the last edge is about
	// a minute.
	binRatio = 1.4
)

// edges are the upper edges of all bins but the last, which has none.
var edges = func() (e [Bins - 1]cicadapitch.Millis) {
	for i := range e {
		e[i] = cicadapitch.Millis(math.Round(firstEdge * math.Pow(binRatio, float64(i))))
	}
	return e
}()

// Times is a histogram of times in bins of a constant ratio. In messages it is a byte string: the first bin that is not
// empty, and the counts from there to the last such bin, each as a varint.
type Times [Bins]uint32

// MarshalBinary implements encoding.BinaryMarshaler. It returns no error.
func (t Times) MarshalBinary() ([]byte, error) {
	first, last := 0, Bins-1
	for first < Bins && t[first] == 0 {
		first++
	}
	if first == Bins {
		return nil, nil
	}
	for t[last] == 0 {
		last--
	}
	b := []byte{byte(first)}
	for _, n := range t[first : last+1] {
		b = binary.AppendUvarint(b, uint64(n))
	}
	return b, nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler. Its error is Invalid.
func (t *Times) UnmarshalBinary(b []byte) error {
	*t = Times{}
	if len(b) == 0 {
		return nil
	}
	i := int(b[0])
	for b = b[1:]; len(b) > 0; i++ {
		n, size := binary.Uvarint(b)
		if size <= 0 || n > math.MaxUint32 || i >= Bins {
			return cicadapitch.NewError(cicadapitch.Invalid, "a histogram of times is malformed", "send counts as this build writes them")
		}
		t[i] = uint32(n)
		b = b[size:]
	}
	return nil
}

// bin returns the number of the bin of a time.
func bin(m cicadapitch.Millis) int {
	for i, e := range edges {
		if m <= e {
			return i
		}
	}
	return Bins - 1
}
