package idempotency

import (
	"container/list"
	"sync"

	"cicadapitch.example/cicadapitch"
)

// ledgerShard is a part of a Ledger with its own lock.
type ledgerShard struct {
	mu      sync.Mutex
	entries map[digest]*Entry
	// order holds the entries, the one that began first in front.
	order list.List
	// answers holds the entries whose answer is kept, the oldest answer in
	// front.
	answers list.List
	// bytes is the total size of the kept answers, and limit its bound.
	bytes cicadapitch.Bytes
	limit cicadapitch.Bytes
}

// add registers a new request as running. The caller holds the lock.
func (s *ledgerShard) add(id digest, reusable bool, issuedAt cicadapitch.Instant) *Entry {
	e := &Entry{shard: s, id: id, reusable: reusable, issuedAt: issuedAt, done: make(chan struct{})}
	e.outcome.Phase = cicadapitch.Running
	s.entries[id] = e
	e.orderElement = s.order.PushBack(e)
	return e
}

// expire removes the oldest entries while they are finished and older than the
// retention. Begin refuses such requests, so that they cannot run again after
// their entries are removed.
func (s *ledgerShard) expire(now cicadapitch.Instant, retention cicadapitch.Millis) {
	for element := s.order.Front(); element != nil; element = s.order.Front() {
		e := element.Value.(*Entry)
		if now.Sub(e.issuedAt) <= retention || !e.finished() {
			return
		}
		s.remove(e)
	}
}

// release removes an entry, so that its request may begin again.
func (s *ledgerShard) release(e *Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(e)
}

// remove removes an entry and its answer. The caller holds the lock.
func (s *ledgerShard) remove(e *Entry) {
	if s.entries[e.id] != e {
		return
	}
	delete(s.entries, e.id)
	s.order.Remove(e.orderElement)
	if e.answerElement != nil {
		s.answers.Remove(e.answerElement)
		s.bytes -= e.bytes
	}
}

// keepAnswer records that the answer of an entry, of n bytes, is kept, and
// drops the oldest answers while they exceed the limit. Their entries stay, so
// that the requests cannot run again.
func (s *ledgerShard) keepAnswer(e *Entry, n cicadapitch.Bytes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[e.id] != e {
		return
	}
	e.bytes = n
	e.answerElement = s.answers.PushBack(e)
	s.bytes += n
	for s.bytes > s.limit && s.answers.Len() > 0 {
		element := s.answers.Front()
		old := element.Value.(*Entry)
		s.answers.Remove(element)
		s.bytes -= old.bytes
		old.answerElement = nil
		old.dropAnswer()
	}
}

func (s *ledgerShard) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries)
}
