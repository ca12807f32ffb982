package endpoint

import (
	"sync"

	"github.com/zeebo/xxh3"

	"cicadapitch.example/cicadapitch"
)

const ledgerStripes = 64

// ledger remembers every attempt that this host has heard of, so that each
// starts at most once.
//
// A settled attempt is forgotten in two steps: its result after keepResult,
// its id after keepID. Forgetting an id is safe because a Run cannot arrive
// that late: the entry host gives up at the attempt's deadline, connections
// that stay silent are replaced within seconds, and keepID is measured on this
// process's own clock from the moment the attempt was settled here, so a pause
// of this process delays both alike.
type ledger struct {
	stripes    [ledgerStripes]stripe
	keepResult cicadapitch.Millis
	keepID     cicadapitch.Millis
}

type stripe struct {
	mu      sync.Mutex
	entries map[cicadapitch.AttemptID]*entry
	// results and ids list settled attempts in the order they were settled.
	results []settled
	ids     []settled
}

type settled struct {
	id cicadapitch.AttemptID
	at cicadapitch.Instant
}

// entry is what the ledger knows about one attempt. Its state is guarded by
// the stripe; started is closed once a call has begun, done once the state is
// final.
type entry struct {
	state   cicadapitch.AttemptState
	started chan struct{}
	done    chan struct{}
}

func newEntry(id cicadapitch.AttemptID) *entry {
	return &entry{
		state:   cicadapitch.AttemptState{Attempt: id, Phase: cicadapitch.Queued},
		started: make(chan struct{}),
		done:    make(chan struct{}),
	}
}

func newLedger(keepResult, keepID cicadapitch.Millis) *ledger {
	l := &ledger{keepResult: keepResult, keepID: keepID}
	for i := range l.stripes {
		l.stripes[i].entries = make(map[cicadapitch.AttemptID]*entry)
	}
	return l
}

func (l *ledger) stripe(id cicadapitch.AttemptID) *stripe {
	return &l.stripes[xxh3.HashString(string(id.Request))%ledgerStripes]
}

// begin returns the entry of an attempt and whether it is new. A new entry is
// queued.
func (l *ledger) begin(now cicadapitch.Instant, id cicadapitch.AttemptID) (*entry, bool) {
	s := l.stripe(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(now, l.keepResult, l.keepID)
	if e, ok := s.entries[id]; ok {
		return e, false
	}
	e := newEntry(id)
	s.entries[id] = e
	return e, true
}

// running marks an attempt as sent to an endpoint.
func (l *ledger) running(id cicadapitch.AttemptID) {
	s := l.stripe(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	if !ok || e.state.Phase == cicadapitch.Running {
		return
	}
	e.state.Phase = cicadapitch.Running
	close(e.started)
}

// settle records the final state of an attempt.
func (l *ledger) settle(now cicadapitch.Instant, state cicadapitch.AttemptState) {
	s := l.stripe(state.Attempt)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[state.Attempt]
	if !ok {
		return
	}
	s.settle(now, e, state)
}

// outcome returns the state of an attempt. An unknown one is settled as
// refused, so that it never starts here afterwards.
func (l *ledger) outcome(now cicadapitch.Instant, id cicadapitch.AttemptID) cicadapitch.AttemptState {
	s := l.stripe(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(now, l.keepResult, l.keepID)
	e, ok := s.entries[id]
	if !ok {
		e = newEntry(id)
		s.entries[id] = e
		s.settle(now, e, cicadapitch.AttemptState{Attempt: id, Phase: cicadapitch.Refused})
	}
	return e.state
}

// final returns the state of a settled entry.
func (l *ledger) final(e *entry, id cicadapitch.AttemptID) cicadapitch.AttemptState {
	s := l.stripe(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return e.state
}

func (s *stripe) settle(now cicadapitch.Instant, e *entry, state cicadapitch.AttemptState) {
	e.state = state
	close(e.done)
	s.results = append(s.results, settled{id: state.Attempt, at: now})
}

func (s *stripe) forget(now cicadapitch.Instant, keepResult, keepID cicadapitch.Millis) {
	for len(s.results) > 0 && now.Sub(s.results[0].at) >= keepResult {
		s.dropResult(s.results[0])
		s.results = s.results[1:]
	}
	for len(s.ids) > 0 && now.Sub(s.ids[0].at) >= keepID {
		delete(s.entries, s.ids[0].id)
		s.ids = s.ids[1:]
	}
}

// dropResult keeps the id of a finished attempt without its output.
func (s *stripe) dropResult(old settled) {
	s.ids = append(s.ids, old)
	e, ok := s.entries[old.id]
	if !ok || e.state.Phase == cicadapitch.Refused {
		return
	}
	e.state.Phase = cicadapitch.Failed
	e.state.Result = nil
	e.state.Error = cicadapitch.NewOutcomeUnknown("the result of the attempt is no longer kept")
}
