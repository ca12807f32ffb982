package relay

import (
	"maps"
	"sync"

	"cicadapitch.example/cicadapitch"
)

const (
	// downTime is how long a host asks no relay for an endpoint that neither reaches.
	downTime = cicadapitch.Second
	// freshTime is how long after a direct connection opened a slow one is not taken for a
	// sign of a cut.
	freshTime cicadapitch.Millis = 500
	// minRecheck and maxRecheck bound the time between two direct attempts at an endpoint that
	// is relayed. The time doubles with each that fails.
	minRecheck cicadapitch.Millis = 500
	maxRecheck                    = 4 * cicadapitch.Second
	// hedgeMemory is how long after a relay reached an endpoint a direct attempt that began
	// with it may fail.
	hedgeMemory = 2 * cicadapitch.Second
	// memory is how long a path is remembered that was not used.
	memory = cicadapitch.Minute
	// cutOffShare is the share of the endpoints that are relayed from which on a host counts as
	// cut off, if they are at least minCutOff.
	cutOffShare = 0.5
	minCutOff   = 2
)

// path is what a host knows of its way to one address.
type path struct {
	state State
	// since is when state began, usedAt when the path was last recorded.
	since, usedAt cicadapitch.Instant
	// directAt is when a direct connection last opened.
	directAt cicadapitch.Instant
	// directFailed is true while the last direct attempt failed, relayedAt when a relay last
	// reached the endpoint.
	directFailed bool
	relayedAt    cicadapitch.Instant
	// recheck is the time between direct attempts, recheckAt when the next one is due.
	recheck   cicadapitch.Millis
	recheckAt cicadapitch.Instant
}

// Change is a change of what a host believes of an endpoint's address.
type Change struct {
	Address  string
	From, To State
	// After is how long the belief before had lasted.
	After cicadapitch.Millis
}

// Table holds what a host believes of its paths to endpoints, by address. An attempt that
// fails at this host alone says nothing of the endpoint; only a relay that reaches it shows
// that this host is cut off. It is safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	paths map[string]*path
	// onChange, if set, is called with each change, with the lock held.
	onChange func(Change)
}

// NewTable returns a table in which all paths are direct. onChange, if not nil, is called with
// each change; it must not block or call the table.
func NewTable(onChange func(Change)) *Table {
	return &Table{paths: map[string]*path{}, onChange: onChange}
}

// State returns the state of the path to an address.
func (t *Table) State(now cicadapitch.Instant, address string) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state(now, t.paths[address])
}

// state returns the state of a path, which may be nil. The caller holds mu.
func (t *Table) state(now cicadapitch.Instant, p *path) State {
	if p == nil || p.state == Down && now.Sub(p.since) >= downTime {
		return Direct
	}
	return p.state
}

// MayHedge reports whether a direct attempt that takes long calls for a relay: the path is
// direct and no connection opened lately.
func (t *Table) MayHedge(now cicadapitch.Instant, address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[address]
	return t.state(now, p) == Direct && (p == nil || p.directAt == 0 || now.Sub(p.directAt) >= freshTime)
}

// RecordDirect records the result of a direct attempt to connect.
func (t *Table) RecordDirect(now cicadapitch.Instant, address string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.path(now, address)
	p.directFailed = !ok
	if ok {
		p.directAt, p.recheck = now, 0
		t.set(now, address, p, Direct)
		return
	}
	switch {
	case p.state == Relayed:
		p.recheck = min(max(2*p.recheck, minRecheck), maxRecheck)
		p.recheckAt = now.Add(p.recheck)
	case p.relayedAt > 0 && now.Sub(p.relayedAt) < hedgeMemory:
		t.setRelayed(now, address, p)
	}
}

// RecordRelayed records whether a relay reached an address.
func (t *Table) RecordRelayed(now cicadapitch.Instant, address string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.path(now, address)
	switch {
	case ok:
		p.relayedAt = now
		if p.directFailed && p.state != Relayed {
			t.setRelayed(now, address, p)
		}
	case !ok && p.directFailed:
		t.set(now, address, p, Down)
	}
}

// Due returns the relayed addresses at which a direct attempt is due, and makes the next one
// due later.
func (t *Table) Due(now cicadapitch.Instant) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []string
	for address, p := range t.paths {
		if p.state == Relayed && now >= p.recheckAt {
			p.recheckAt = now.Add(maxRecheck)
			due = append(due, address)
		}
	}
	maps.DeleteFunc(t.paths, func(_ string, p *path) bool { return now.Sub(p.usedAt) >= memory })
	return due
}

// Relayed returns how many of the addresses are relayed.
func (t *Table) Relayed(addresses []string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, a := range addresses {
		if p := t.paths[a]; p != nil && p.state == Relayed {
			n++
		}
	}
	return n
}

// CutOff reports whether this host is cut off from most of the addresses.
func (t *Table) CutOff(addresses []string) bool {
	n := t.Relayed(addresses)
	return n >= minCutOff && float64(n) >= cutOffShare*float64(len(addresses))
}

// path returns the path to an address and creates it if there is none. The caller holds mu.
func (t *Table) path(now cicadapitch.Instant, address string) *path {
	p := t.paths[address]
	if p == nil {
		p = &path{since: now}
		t.paths[address] = p
	}
	p.usedAt = now
	return p
}

// setRelayed makes a path relayed. The caller holds mu.
func (t *Table) setRelayed(now cicadapitch.Instant, address string, p *path) {
	p.recheck = minRecheck
	p.recheckAt = now.Add(p.recheck)
	t.set(now, address, p, Relayed)
}

// set changes the state of a path. The caller holds mu.
func (t *Table) set(now cicadapitch.Instant, address string, p *path, s State) {
	from, after := p.state, now.Sub(p.since)
	if from == s {
		if s == Down {
			p.since = now
		}
		return
	}
	p.state, p.since = s, now
	if t.onChange != nil {
		t.onChange(Change{address, from, s, after})
	}
}
