package booking

import (
	"container/list"
	"sync"

	"cicadapitch.example/cicadapitch"
)

// shard is a part of a ledger under its own lock.
type shard struct {
	mu      sync.Mutex
	entries map[digest]*Entry
	// order holds the entries in the order in which they began.
	order list.List
	// answers holds the entries whose answer is kept, oldest first.
	answers list.List
	bytes   cicadapitch.Bytes
	limit   cicadapitch.Bytes
}

func (s *shard) add(id digest, returns bool, mintedAt cicadapitch.Instant) *Entry {
	e := &Entry{ledger: s, id: id, returns: returns, mintedAt: mintedAt, done: make(chan struct{})}
	e.outcome.Phase = cicadapitch.Running
	s.entries[id] = e
	e.element = s.order.PushBack(e)
	return e
}

// expire forgets finished entries from the oldest on. An entry is forgotten
// only after its right has expired, so that it can never begin again.
func (s *shard) expire(now cicadapitch.Instant, retention cicadapitch.Millis) {
	for el := s.order.Front(); el != nil; el = s.order.Front() {
		e := el.Value.(*Entry)
		if now.Sub(e.mintedAt) <= retention || !e.finished() {
			return
		}
		s.forget(e)
	}
}

// release gives the right of an entry back.
func (s *shard) release(e *Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(e)
}

func (s *shard) forget(e *Entry) {
	if s.entries[e.id] != e {
		return
	}
	delete(s.entries, e.id)
	s.order.Remove(e.element)
	if e.kept != nil {
		s.answers.Remove(e.kept)
		s.bytes -= e.bytes
	}
}

// keep counts the answer of an entry and drops the oldest answers that no
// longer fit. Their entries stay, so that they do not begin again.
func (s *shard) keep(e *Entry, n cicadapitch.Bytes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[e.id] != e {
		return
	}
	e.bytes = n
	e.kept = s.answers.PushBack(e)
	s.bytes += n
	for s.bytes > s.limit && s.answers.Len() > 0 {
		el := s.answers.Front()
		old := el.Value.(*Entry)
		s.answers.Remove(el)
		s.bytes -= old.bytes
		old.kept = nil
		old.drop()
	}
}

func (s *shard) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries)
}
