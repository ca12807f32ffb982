package keyvalue

import "sync/atomic"

// Calls counts what a client sent to the key-value service.
type Calls struct {
	Reads, Writes, Watches int64
	// OverBudget counts the calls that the client's own budget refused. They
	// were not sent.
	OverBudget int64
	// Failed counts the calls that were sent and gave no usable answer.
	Failed int64
}

type counters struct {
	reads, writes, watches, overBudget, failed atomic.Int64
}

func (c *counters) snapshot() Calls {
	return Calls{
		Reads:      c.reads.Load(),
		Writes:     c.writes.Load(),
		Watches:    c.watches.Load(),
		OverBudget: c.overBudget.Load(),
		Failed:     c.failed.Load(),
	}
}
