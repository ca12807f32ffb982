package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// latencyBuckets are the bounds of the latency histograms, from calls within a zone to
// long requests.
var latencyBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second,
	2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second,
}
