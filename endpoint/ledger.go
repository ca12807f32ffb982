package endpoint

import (
	"sync"

	"github.com/zeebo/xxh3"

	"cicadapitch.example/cicadapitch"
)

// ledgerStripes is the number of independently locked parts of a ledger.
const ledgerStripes = 64

// ledger records the state of every attempt that reaches this host, so that
// each attempt starts at most once.
//
// A completed attempt is evicted in two steps: its result after
// resultRetention, its id after idRetention, both counted from its completion.
// No Run of the attempt can arrive after its id is evicted: the entry host stops
// sending at the attempt's deadline, and hosts close a connection within seconds
// once its other end no longer responds. This also holds if this process is
// suspended: the retention, which runs on the clock of this process, then ends
// later by the same time as the Run arrives.
type ledger struct {
	stripes         [ledgerStripes]stripe
	resultRetention cicadapitch.Millis
	idRetention     cicadapitch.Millis
}

// stripe is one part of a ledger, selected by the hash of the request id.
type stripe struct {
	mu      sync.Mutex
	records map[cicadapitch.AttemptID]*attemptRecord
	// results lists the completed attempts whose results are kept. ids lists
	// the completed attempts whose results were evicted and whose ids are still
	// kept. Both are in the order of completion.
	results []completedAttempt
	ids     []completedAttempt
}

// completedAttempt is an attempt with the instant of its completion.
type completedAttempt struct {
	id cicadapitch.AttemptID
	at cicadapitch.Instant
}

// attemptRecord is the record of one attempt. The mutex of the stripe guards
// its state. The channel started is closed when a call to an endpoint starts,
// done when the state is final.
type attemptRecord struct {
	state   cicadapitch.AttemptState
	started chan struct{}
	done    chan struct{}
}

func newAttemptRecord(id cicadapitch.AttemptID) *attemptRecord {
	return &attemptRecord{
		state:   cicadapitch.AttemptState{Attempt: id, Phase: cicadapitch.Queued},
		started: make(chan struct{}),
		done:    make(chan struct{}),
	}
}

func newLedger(resultRetention, idRetention cicadapitch.Millis) *ledger {
	l := &ledger{resultRetention: resultRetention, idRetention: idRetention}
	for i := range l.stripes {
		l.stripes[i].records = make(map[cicadapitch.AttemptID]*attemptRecord)
	}
	return l
}

func (l *ledger) stripe(id cicadapitch.AttemptID) *stripe {
	return &l.stripes[xxh3.HashString(string(id.Request))%ledgerStripes]
}

// begin returns the record of an attempt and whether it is new. A new record is
// in the phase Queued.
func (l *ledger) begin(now cicadapitch.Instant, id cicadapitch.AttemptID) (*attemptRecord, bool) {
	s := l.stripe(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evictExpired(now, l.resultRetention, l.idRetention)
	if record, ok := s.records[id]; ok {
		return record, false
	}
	record := newAttemptRecord(id)
	s.records[id] = record
	return record, true
}

// markRunning moves an attempt to the phase Running.
func (l *ledger) markRunning(id cicadapitch.AttemptID) {
	s := l.stripe(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	record, ok := s.records[id]
	if !ok || record.state.Phase == cicadapitch.Running {
		return
	}
	record.state.Phase = cicadapitch.Running
	close(record.started)
}

// complete records the final state of an attempt.
func (l *ledger) complete(now cicadapitch.Instant, state cicadapitch.AttemptState) {
	s := l.stripe(state.Attempt)
	s.mu.Lock()
	defer s.mu.Unlock()
	record, ok := s.records[state.Attempt]
	if !ok {
		return
	}
	s.complete(now, record, state)
}

// outcome returns the state of an attempt. An unknown attempt is completed in
// the phase Refused, so that it cannot start on this host later.
func (l *ledger) outcome(now cicadapitch.Instant, id cicadapitch.AttemptID) cicadapitch.AttemptState {
	s := l.stripe(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evictExpired(now, l.resultRetention, l.idRetention)
	record, ok := s.records[id]
	if !ok {
		record = newAttemptRecord(id)
		s.records[id] = record
		s.complete(now, record, cicadapitch.AttemptState{Attempt: id, Phase: cicadapitch.Refused})
	}
	return record.state
}

// finalState returns the state of a completed record.
func (l *ledger) finalState(record *attemptRecord, id cicadapitch.AttemptID) cicadapitch.AttemptState {
	s := l.stripe(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return record.state
}

// complete sets the final state of a record. The caller holds the mutex.
func (s *stripe) complete(now cicadapitch.Instant, record *attemptRecord, state cicadapitch.AttemptState) {
	record.state = state
	close(record.done)
	s.results = append(s.results, completedAttempt{id: state.Attempt, at: now})
}

// evictExpired evicts the results and ids whose retention is over. The caller
// holds the mutex.
func (s *stripe) evictExpired(now cicadapitch.Instant, resultRetention, idRetention cicadapitch.Millis) {
	for len(s.results) > 0 && now.Sub(s.results[0].at) >= resultRetention {
		s.evictResult(s.results[0])
		s.results = s.results[1:]
	}
	for len(s.ids) > 0 && now.Sub(s.ids[0].at) >= idRetention {
		delete(s.records, s.ids[0].id)
		s.ids = s.ids[1:]
	}
}

// evictResult drops the result of a completed attempt and keeps its id. The
// outcome becomes unknown unless the attempt was refused.
func (s *stripe) evictResult(attempt completedAttempt) {
	s.ids = append(s.ids, attempt)
	record, ok := s.records[attempt.id]
	if !ok || record.state.Phase == cicadapitch.Refused {
		return
	}
	record.state.Phase = cicadapitch.Failed
	record.state.Result = nil
	record.state.Error = cicadapitch.NewOutcomeUnknown("the result of the attempt is no longer kept")
}
