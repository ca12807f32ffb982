package placement

import "cicadapitch.example/cicadapitch"

const (
	// budgetUse is the part of the contract's retry budget that hosts use, since
	// requests and repeats are counted in windows that slide.
	budgetUse = 0.6
	// budgetSlices divide the window.
	budgetSlices = 10
)

// Budget bounds the repeats of one service at one host. All hosts together stay
// within the contract's ratio and extra within each window.
type Budget struct {
	ratio  float64
	extra  float64
	slice  cicadapitch.Millis
	counts [budgetSlices]struct{ first, repeat float64 }
	at     int64
}

// NewBudget returns a budget of ratio of the requests and extra more within
// each window, over all hosts.
func NewBudget(ratio, extra float64, window cicadapitch.Millis) *Budget {
	return &Budget{ratio: ratio * budgetUse, extra: extra * budgetUse, slice: max(window/budgetSlices, 1)}
}

func (b *Budget) advance(now cicadapitch.Instant) {
	at := int64(now) / int64(b.slice)
	for i := max(b.at+1, at-budgetSlices+1); i <= at; i++ {
		b.counts[i%budgetSlices] = struct{ first, repeat float64 }{}
	}
	b.at = max(b.at, at)
}

// Request counts a request of a caller.
func (b *Budget) Request(now cicadapitch.Instant) {
	b.advance(now)
	b.counts[b.at%budgetSlices].first++
}

// Repeat reports whether one more repeat is within the budget of this host, one
// of hosts, and counts it.
func (b *Budget) Repeat(now cicadapitch.Instant, hosts int) bool {
	b.advance(now)
	var first, repeat float64
	for _, c := range b.counts {
		first += c.first
		repeat += c.repeat
	}
	if repeat+1 > b.ratio*first+b.extra/float64(max(hosts, 1)) {
		return false
	}
	b.counts[b.at%budgetSlices].repeat++
	return true
}
