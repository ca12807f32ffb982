package standin

import (
	"context"
	"strings"

	"cicadapitch.example/cicadapitch"
)

// Watch implements cicadapitch.Store.
func (s *MemoryStore) Watch(ctx context.Context, prefix string, after cicadapitch.StoreRevision) (<-chan cicadapitch.WatchEvent, error) {
	unlock, err := s.begin(ctx, func(c *Calls) { c.Watch++ }, s.reads)
	if err != nil {
		return nil, err
	}
	s.calls.OpenWatches++
	unlock()
	events := make(chan cicadapitch.WatchEvent)
	go s.follow(ctx, prefix, after, events)
	return events, nil
}

func (s *MemoryStore) follow(ctx context.Context, prefix string, after cicadapitch.StoreRevision, events chan<- cicadapitch.WatchEvent) {
	defer close(events)
	defer s.unwatch()
	for {
		list, last, changed, err := s.since(prefix, after)
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

// Changes waits for changes below prefix after a revision, no longer than wait,
// and returns them with the revision that they reach to.
func (s *MemoryStore) Changes(
	ctx context.Context, prefix string, after cicadapitch.StoreRevision, wait cicadapitch.Millis,
) ([]cicadapitch.WatchEvent, cicadapitch.StoreRevision, error) {
	unlock, err := s.begin(ctx, func(c *Calls) { c.Watch++ }, s.reads)
	if err != nil {
		return nil, 0, err
	}
	s.calls.OpenWatches++
	unlock()
	defer s.unwatch()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	due := make(chan struct{})
	go func() {
		defer close(due)
		// Either end of the sleep ends the wait.
		_ = s.clock.Sleep(ctx, wait)
	}()
	for {
		list, at, changed, err := s.since(prefix, after)
		if err != nil || len(list) > 0 {
			return list, at, err
		}
		select {
		case <-changed:
		case <-due:
			return nil, at, ctx.Err()
		}
	}
}

func (s *MemoryStore) unwatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.OpenWatches--
}

// since returns the changes below prefix after a revision, the revision they
// reach to, and a channel that closes with the next change.
func (s *MemoryStore) since(prefix string, after cicadapitch.StoreRevision) ([]cicadapitch.WatchEvent, cicadapitch.StoreRevision, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, nil, cicadapitch.NewError(cicadapitch.Unavailable, "the store is down", "list again once it is back")
	}
	if after < s.compacted {
		return nil, 0, nil, cicadapitch.NewError(cicadapitch.NotFound, "the store no longer has the changes", "list again and watch from there")
	}
	var list []cicadapitch.WatchEvent
	for _, e := range s.history {
		if !s.hushed && e.Pair.Revision > after && strings.HasPrefix(e.Pair.Key, prefix) {
			list = append(list, e)
		}
	}
	return list, max(after, s.revision), s.changed, nil
}

func (s *MemoryStore) record(e cicadapitch.WatchEvent) {
	s.history = append(s.history, e)
	if over := len(s.history) - s.historyLimit; over > 0 {
		s.compacted = s.history[over-1].Pair.Revision
		s.history = s.history[over:]
	}
}

// wake lets the watches look for changes.
func (s *MemoryStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}
