package placement

import (
	"cicadapitch.example/cicadapitch"
)

// MaxReportedTokens bounds each figure of an EngineWork that another host reports. It is some 2,000
// times what one engine holds.
const MaxReportedTokens cicadapitch.Tokens = 1_000_000_000

// EngineWork is the outstanding work of one or more hosts at an engine, in tokens.
type EngineWork struct {
	// Prefill is the number of prompt tokens of requests without a first event that the engine is
	// expected not to have cached.
	Prefill cicadapitch.Tokens `cbor:"P,omitempty"`
	// Output is the expected number of output tokens of the requests that have not ended.
	Output cicadapitch.Tokens `cbor:"O,omitempty"`
	// Held is the expected number of tokens of the engine's memory that the requests which have not
	// ended take beside what was cached before them.
	Held cicadapitch.Tokens `cbor:"H,omitempty"`
}

// Valid reports whether all figures are in range.
func (w EngineWork) Valid() bool {
	inRange := func(n cicadapitch.Tokens) bool { return n >= 0 && n <= MaxReportedTokens }
	return inRange(w.Prefill) && inRange(w.Output) && inRange(w.Held)
}

// bounded returns w with figures of at most MaxReportedTokens.
func (w EngineWork) bounded() EngineWork {
	return EngineWork{min(w.Prefill, MaxReportedTokens), min(w.Output, MaxReportedTokens), min(w.Held, MaxReportedTokens)}
}

// plus returns w + o.
func (w EngineWork) plus(o EngineWork) EngineWork {
	return EngineWork{w.Prefill + o.Prefill, w.Output + o.Output, w.Held + o.Held}
}

// minus returns w - o, at least 0 in each figure.
func (w EngineWork) minus(o EngineWork) EngineWork {
	return EngineWork{max(w.Prefill-o.Prefill, 0), max(w.Output-o.Output, 0), max(w.Held-o.Held, 0)}
}

// times returns w * n / d.
func (w EngineWork) times(n, d int) EngineWork {
	scale := func(v cicadapitch.Tokens) cicadapitch.Tokens {
		return v * cicadapitch.Tokens(n) / cicadapitch.Tokens(d)
	}
	return EngineWork{scale(w.Prefill), scale(w.Output), scale(w.Held)}
}

// ReportedWork is what other hosts report of their work at an engine.
type ReportedWork struct {
	EngineWork
	// Calls is the number of their calls there.
	Calls int
	// UnknownCalls is the number of calls of hosts that report no work, as hosts of earlier builds.
	UnknownCalls int
}

// EngineReports sums up the reports of hosts on their calls at engines.
type EngineReports struct {
	Calls map[cicadapitch.EndpointID]int
	Work  map[cicadapitch.EndpointID]ReportedWork
	// Age is the age of the oldest report.
	Age cicadapitch.Millis
}

// NewEngineReports returns a sum of no reports.
func NewEngineReports() EngineReports {
	return EngineReports{Calls: map[cicadapitch.EndpointID]int{}, Work: map[cicadapitch.EndpointID]ReportedWork{}}
}

// Add adds the report of one host.
func (r *EngineReports) Add(calls map[cicadapitch.EndpointID]int, work map[cicadapitch.EndpointID]EngineWork, age cicadapitch.Millis) {
	r.Age = max(r.Age, age)
	for id, n := range calls {
		r.Calls[id] += n
		w, known := work[id]
		sum := r.Work[id]
		sum.Calls += n
		if known {
			sum.EngineWork = sum.plus(w)
		} else {
			sum.UnknownCalls += n
		}
		r.Work[id] = sum
	}
}

// Scale multiplies the sums by n / d.
func (r *EngineReports) Scale(n, d int) {
	for id, calls := range r.Calls {
		r.Calls[id] = calls * n / d
	}
	for id, w := range r.Work {
		r.Work[id] = ReportedWork{w.times(n, d), w.Calls * n / d, w.UnknownCalls * n / d}
	}
}
