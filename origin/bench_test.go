package origin_test

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/origin"
)

// BenchmarkAdd adds records at the rate at which others expire, and reports the encoded
// size of one.
func BenchmarkAdd(b *testing.B) {
	r := origin.NewRegistry()
	rec := origin.Record{Origin: origin.Origin{Service: "huvo11a", Version: "v1.1"}, Lifetime: 15_000}
	ids := make([]cicadapitch.RequestID, 100_000)
	for i := range ids {
		ids[i] = cicadapitch.RequestID(fmt.Sprintf("%016x", i))
	}
	rec.Request = ids[0]
	encoded, err := cbor.Marshal(rec)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	now := start
	for i := 0; b.Loop(); i++ {
		rec.Request = ids[i%len(ids)]
		now = now.Add(5)
		r.Add(now, rec)
	}
	b.ReportMetric(float64(len(encoded)), "B/record")
}
