package driver_test

import (
	"strings"
	"testing"

	"cicadapitch.example/cicadapitch/driver"
)

// BenchmarkReadCompletion reads streams of 100 tokens and reports the time per
// token.
func BenchmarkReadCompletion(b *testing.B) {
	const tokens = 100
	stream := strings.Repeat(`data: {"object":"text_completion","model":"writer","choices":[{"index":0,"text":"0011aabb-17 ","finish_reason":null}]}`+"\n\n", tokens) +
		"data: [DONE]\n\n"
	b.ReportAllocs()
	for b.Loop() {
		n := 0
		if err := driver.ReadCompletion(strings.NewReader(stream), func(string) { n++ }); err != nil || n != tokens {
			b.Fatal(n, err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/tokens, "ns/token")
}
