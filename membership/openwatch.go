package membership

import (
	"context"
	"errors"
	"sync/atomic"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/platform"
)

// silentWatchTime is how long a watch may lack a change that the store named in another answer, after it had
// begun. It is longer than a slow store takes for an answer. With the time until the store is asked again and
// until other hosts hear of the change it is shorter than the time within which a configuration has to be in force.
const silentWatchTime cicadapitch.Millis = 300

// errWatchSilent means that a watch was ended since it may have fallen silent.
var errWatchSilent = errors.New("the watch of the store is silent")

// openWatch is a call that waits for changes of the store and has no answer yet.
type openWatch struct {
	begunAt cicadapitch.Instant
	end     context.CancelCauseFunc
}

// watchSlot holds the watch that is open, or nil.
type watchSlot struct{ atomic.Pointer[openWatch] }

// endBegunBefore ends the watch if it is open and was begun before an instant. It reports whether it did.
func (s *watchSlot) endBegunBefore(at cicadapitch.Instant) bool {
	w := s.Load()
	if w == nil || w.begunAt >= at {
		return false
	}
	w.end(errWatchSilent)
	return true
}

// changes waits for changes of keys with a prefix after a revision, for longer once this host sends heartbeats:
// then it also learns otherwise whether there are any. The watch is in slot until it is answered. The error is
// errWatchSilent if it was ended there.
func (m *Membership) changes(
	ctx context.Context, slot *watchSlot, prefix string, after cicadapitch.StoreRevision,
) ([]cicadapitch.WatchEvent, cicadapitch.StoreRevision, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	slot.Store(&openWatch{m.clock.Now(), cancel})
	defer slot.Store(nil)
	// A response that has begun is not silent: a large one takes a while on a slow link.
	opts := []platform.WatchOption{platform.WithOnAnswer(func() { slot.Store(nil) })}
	if m.runCtx.Load() != nil {
		opts = append(opts, platform.WithLongWait())
	}
	events, next, err := m.store.Changes(ctx, prefix, after, opts...)
	if err != nil && errors.Is(context.Cause(ctx), errWatchSilent) {
		err = errWatchSilent
	}
	return events, next, err
}

// dueRevision is a revision that the store named, and when.
type dueRevision struct {
	revision cicadapitch.StoreRevision
	namedAt  cicadapitch.Instant
}

// endSilentWatch ends the watch of the whole store if it was open when the store named a later revision in
// another answer, and has not begun to bring it for silentWatchTime: its connection may have fallen silent.
// polled is the revision that the store names now.
func (m *Membership) endSilentWatch(polled cicadapitch.StoreRevision) {
	now, revision := m.clock.Now(), m.revision()
	m.mu.Lock()
	due := m.dueRevision
	overdue := revision < due.revision && now.Sub(due.namedAt) >= silentWatchTime
	if revision >= due.revision || overdue {
		m.dueRevision = dueRevision{polled, now}
	}
	m.mu.Unlock()
	if overdue && m.storeWatch.endBegunBefore(due.namedAt) {
		m.logSilentWatch("it lacks a change", revision, due.revision)
	}
}

// recordStoreFailure records that a call of the store got no answer, so that the calls which were open then may
// not get one either. A refusal by the rate limit says nothing of them.
func (m *Membership) recordStoreFailure(err error) {
	if e := cicadapitch.AsError(err); e == nil || e.RetryAfter == 0 {
		m.callFailedAt.Store(int64(m.clock.Now()))
	}
}

// recordStoreAnswer ends the watches that were open when a call of the store failed, since the store answers again.
func (m *Membership) recordStoreAnswer() {
	failedAt := cicadapitch.Instant(m.callFailedAt.Swap(0))
	if failedAt == 0 {
		return
	}
	if m.storeWatch.endBegunBefore(failedAt) {
		m.logSilentWatch("it is older than a failed call", m.revision(), 0)
	}
	m.endpointWatch.endBegunBefore(failedAt)
}

func (m *Membership) logSilentWatch(reason string, revision, latest cicadapitch.StoreRevision) {
	m.log.Info().Str("Reason", reason).Int64("Revision", revision.Number()).Int64("Latest", latest.Number()).Msg("watch of the store ended")
	m.metrics.Counter("SilentWatches").Inc(1)
}
