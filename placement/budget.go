package placement

import "cicadapitch.example/cicadapitch"

const (
	// budgetShare is the share of the platform's retry budget that the hosts use.
	// The rest is a margin: the hosts count in sliding windows, which may begin and
	// end at other times than the windows in which the platform counts.
	budgetShare = 0.6
	// windowBuckets is the number of buckets into which a window is divided.
	windowBuckets = 10
)

// RetryBudget limits the retries that one host sends to one service. All hosts
// together stay within the retry budget that the platform allows for the service.
type RetryBudget struct {
	ratio        float64
	extra        float64
	bucketLength cicadapitch.Millis
	counts       [windowBuckets]struct{ requests, retries float64 }
	// current is the number of the newest bucket, counted from the epoch.
	current int64
}

// NewRetryBudget returns one host's budget. In each window of the given length, the
// platform allows ratio retries per request of the host, plus extra retries that
// all hosts share.
func NewRetryBudget(ratio, extra float64, window cicadapitch.Millis) *RetryBudget {
	return &RetryBudget{ratio: ratio * budgetShare, extra: extra * budgetShare, bucketLength: max(window/windowBuckets, 1)}
}

// advance makes the bucket of now the current one and clears the buckets that have
// left the window.
func (b *RetryBudget) advance(now cicadapitch.Instant) {
	current := int64(now) / int64(b.bucketLength)
	for i := max(b.current+1, current-windowBuckets+1); i <= current; i++ {
		b.counts[i%windowBuckets] = struct{ requests, retries float64 }{}
	}
	b.current = max(b.current, current)
}

// RecordRequest counts a caller's request.
func (b *RetryBudget) RecordRequest(now cicadapitch.Instant) {
	b.advance(now)
	b.counts[b.current%windowBuckets].requests++
}

// AllowRetry reports whether the budget allows one more retry, and counts the
// retry if it does. hosts is the number of hosts that share the extra retries.
func (b *RetryBudget) AllowRetry(now cicadapitch.Instant, hosts int) bool {
	if !b.AllowsRetry(now, hosts) {
		return false
	}
	b.counts[b.current%windowBuckets].retries++
	return true
}

// AllowsRetry is AllowRetry without counting a retry.
func (b *RetryBudget) AllowsRetry(now cicadapitch.Instant, hosts int) bool {
	b.advance(now)
	var requests, retries float64
	for _, c := range b.counts {
		requests += c.requests
		retries += c.retries
	}
	return retries+1 <= b.ratio*requests+b.extra/float64(max(hosts, 1))
}
