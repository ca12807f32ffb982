package standin

import (
	"context"
	"strings"

	"cicadapitch.example/cicadapitch"
)

// Watch implements cicadapitch.Store.
func (s *MemoryStore) Watch(ctx context.Context, prefix string, after cicadapitch.StoreRevision) (<-chan cicadapitch.WatchEvent, error) {
	unlock, err := s.beginCall(ctx, func(c *Calls) { c.Watch++ }, s.reads)
	if err != nil {
		return nil, err
	}
	s.calls.OpenWatches++
	unlock()
	events := make(chan cicadapitch.WatchEvent)
	go s.followChanges(ctx, prefix, after, events)
	return events, nil
}

// followChanges sends the changes below prefix after a revision to events until
// ctx ends or the changes cannot be read.
func (s *MemoryStore) followChanges(ctx context.Context, prefix string, after cicadapitch.StoreRevision, events chan<- cicadapitch.WatchEvent) {
	defer close(events)
	defer s.countClosedWatch()
	for {
		list, last, changed, err := s.changesSince(prefix, after)
		if err != nil {
			list = append(list, cicadapitch.WatchEvent{Err: err})
		}
		for _, e := range list {
			select {
			case events <- e:
			case <-ctx.Done():
				return
			}
		}
		if err != nil {
			return
		}
		after = last
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// Changes waits up to wait for changes below prefix after a revision. It
// returns the changes and the revision up to which they are complete.
func (s *MemoryStore) Changes(
	ctx context.Context, prefix string, after cicadapitch.StoreRevision, wait cicadapitch.Millis,
) ([]cicadapitch.WatchEvent, cicadapitch.StoreRevision, error) {
	unlock, err := s.beginCall(ctx, func(c *Calls) { c.Watch++ }, s.reads)
	if err != nil {
		return nil, 0, err
	}
	refused := wait > 0 && prefix != "" && prefix == s.refusedWatch
	s.calls.OpenWatches++
	unlock()
	defer s.countClosedWatch()
	if refused {
		return nil, 0, cicadapitch.NewError(cicadapitch.Unavailable, "watches of "+prefix+" are refused", "try again later")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	waitOver := make(chan struct{})
	go func() {
		defer close(waitOver)
		// The wait ends both when the sleep is over and when it is cancelled.
		_ = s.clock.Sleep(ctx, wait)
	}()
	for {
		list, at, changed, err := s.changesSince(prefix, after)
		if err != nil || len(list) > 0 {
			return list, at, err
		}
		select {
		case <-changed:
		case <-waitOver:
			return nil, at, ctx.Err()
		}
	}
}

// countClosedWatch removes a closed watch from the count of open watches.
func (s *MemoryStore) countClosedWatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.OpenWatches--
}

// changesSince returns the changes below prefix after a revision, the revision
// up to which they are complete, and a channel that is closed at the next
// change.
func (s *MemoryStore) changesSince(prefix string, after cicadapitch.StoreRevision) ([]cicadapitch.WatchEvent, cicadapitch.StoreRevision, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, nil, cicadapitch.NewError(cicadapitch.Unavailable, "the store is down", "list again once it is back")
	}
	if after < s.compactedRevision || after > s.revision && s.era > 1 {
		return nil, 0, nil, cicadapitch.NewError(cicadapitch.NotFound, "the store no longer has the changes", "list again and watch from there")
	}
	var list []cicadapitch.WatchEvent
	for _, e := range s.history {
		if !s.watchEventsSuppressed && e.Pair.Revision > after && strings.HasPrefix(e.Pair.Key, prefix) {
			list = append(list, e)
		}
	}
	return list, max(after, s.revision), s.changed, nil
}

// appendHistory adds an event to the history and drops the oldest events above
// the limit.
func (s *MemoryStore) appendHistory(e cicadapitch.WatchEvent) {
	s.history = append(s.history, e)
	if excess := len(s.history) - s.historyLimit; excess > 0 {
		s.compactedRevision = s.history[excess-1].Pair.Revision
		s.history = s.history[excess:]
	}
}

// notifyWatches wakes all watches to read the changes. The caller must hold
// s.mu.
func (s *MemoryStore) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}
