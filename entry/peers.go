package entry

import (
	"sync/atomic"

	"cicadapitch.example/cicadapitch"
)

// peerCountMillis is the span for which a count of hosts is used.
const peerCountMillis = cicadapitch.Second

// peerCount counts the hosts, and lists them only once in a while, because the
// list grows with the fleet and choices are made for each attempt.
type peerCount struct {
	members cicadapitch.Members
	last    atomic.Pointer[peerReading]
}

type peerReading struct {
	at    cicadapitch.Instant
	hosts int
}

func (p *peerCount) count(now cicadapitch.Instant) int {
	r := p.last.Load()
	if r == nil || now.Sub(r.at) >= peerCountMillis {
		r = &peerReading{at: now, hosts: len(p.members.Members())}
		p.last.Store(r)
	}
	return r.hosts
}
