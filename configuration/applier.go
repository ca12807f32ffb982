package configuration

import (
	"context"
	"fmt"

	"cicadapitch.example/cicadapitch"
)

const (
	maxApplyAttempts = 8
	// maxRecentChanges is the number of change ids that Head keeps to detect
	// repeated changes.
	maxRecentChanges = 64
	maxAuditRecords  = 100_000
	// retryDelay is the delay before the second attempt. Later delays grow
	// linearly with the number of attempts.
	retryDelay = 20 * cicadapitch.Millis(1)
)

// Applier writes changes of the configuration and their audit records to the
// store.
type Applier struct {
	store    cicadapitch.Store
	clock    cicadapitch.Clock
	follower *Follower
}

// ApplierOption configures an Applier.
type ApplierOption func(*Applier)

// WithFollower installs each applied configuration in f immediately, without
// waiting for the Syncer.
func WithFollower(f *Follower) ApplierOption {
	return func(a *Applier) { a.follower = f }
}

// NewApplier returns an Applier that writes to store and waits on clock between
// attempts.
func NewApplier(store cicadapitch.Store, clock cicadapitch.Clock, opts ...ApplierOption) *Applier {
	a := &Applier{store: store, clock: clock}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Apply writes a change with compare-and-swap. If another change was written
// first, a mutation is retried on the newer configuration. If the answer to a
// write was lost, Apply reads the store again to find out whether the write
// took effect. If that fails too, the error is OutcomeUnknown; the caller may
// send the same change again, since each change id is applied at most once.
// The error is Invalid if the change or its configuration is malformed, Conflict
// if other changes were written first or Base is not the current revision,
// Unavailable if the store is down, and otherwise the error of Mutate. After each
// of these errors the change has had no effect.
func (a *Applier) Apply(ctx context.Context, c Change) (Outcome, error) {
	if err := c.check(); err != nil {
		return Outcome{}, err
	}
	run := changeRun{Applier: a, change: c}
	for n := 1; n <= maxApplyAttempts; n++ {
		out, err := run.attempt(ctx)
		out.Attempts = n
		if err == nil {
			return out, nil
		}
		if !run.retryable(out, err) {
			return run.failure(out, err)
		}
		if a.clock.Sleep(ctx, retryDelay*cicadapitch.Millis(n)) != nil {
			break
		}
	}
	out := Outcome{Result: Overtaken, Attempts: maxApplyAttempts}
	return run.failure(out, errOvertaken("other changes kept coming first"))
}

// changeRun is one call of Apply.
type changeRun struct {
	*Applier
	change Change
	// outcomeUnknown is true after a write whose answer was lost, as long as
	// that write may have taken effect or may still do so.
	outcomeUnknown bool
	// unknownHead is the store revision of KeyHead that the write was
	// conditional on.
	unknownHead cicadapitch.StoreRevision
}

// retryable reports whether another attempt can apply the change or find out
// whether it was applied.
func (r *changeRun) retryable(out Outcome, err error) bool {
	switch cicadapitch.KindOf(err) {
	case cicadapitch.OutcomeUnknown:
		return true
	case cicadapitch.Conflict:
		return out.Result != Overtaken
	}
	return false
}

// failure returns the outcome and the error of a change after its last attempt.
func (r *changeRun) failure(out Outcome, err error) (Outcome, error) {
	if r.outcomeUnknown {
		out.Result = Unsettled
		return out, errOutcomeUnknown(r.change)
	}
	return out, errNotAccepted(err)
}

// attempt reads the current configuration and writes the next one, unless the
// store shows that the same change was written earlier.
func (r *changeRun) attempt(ctx context.Context) (Outcome, error) {
	current, err := r.readStored(ctx)
	if err != nil {
		return Outcome{}, err
	}
	if revision, ok := current.head.revisionOf(r.change.ID); ok {
		return r.accepted(revision), nil
	}
	if current.headRevision != r.unknownHead {
		// Another change was written to KeyHead, so the condition of the write
		// with the lost answer does not hold and that write failed.
		r.outcomeUnknown = false
	}
	if r.change.Whole != nil && r.change.Base != current.cfg.Revision {
		reason := fmt.Sprintf("revision %d is in force, not %d", current.cfg.Revision, r.change.Base)
		return Outcome{Result: Overtaken}, errOvertaken(reason)
	}
	next, err := r.change.apply(current.cfg)
	if err != nil {
		return Outcome{}, err
	}
	err = r.write(ctx, r.change, current, next)
	if err != nil {
		if cicadapitch.KindOf(err) == cicadapitch.OutcomeUnknown {
			r.outcomeUnknown, r.unknownHead = true, current.headRevision
		}
		return Outcome{}, err
	}
	if r.follower != nil {
		r.follower.InstallIfNewer(next)
	}
	return Outcome{Result: Applied, Revision: next.Revision}, nil
}

// accepted returns the outcome of a change that the store already holds: Applied
// if this run may have written it, otherwise Repeated.
func (r *changeRun) accepted(revision cicadapitch.Revision) Outcome {
	if r.outcomeUnknown {
		return Outcome{Result: Applied, Revision: revision}
	}
	return Outcome{Result: Repeated, Revision: revision}
}

// storedState is the content of the store at the start of an attempt. An empty
// store gives a configuration of revision 0.
type storedState struct {
	cfg          *cicadapitch.Configuration
	head         Head
	headRevision cicadapitch.StoreRevision
	// conditions hold as long as nobody else has written.
	conditions []cicadapitch.Condition
}

// readStored reads the configuration and the head from the store. It reads
// KeyCurrent first, so that a change that the configuration contains is never
// missing from the head.
func (a *Applier) readStored(ctx context.Context) (storedState, error) {
	state := storedState{cfg: &cicadapitch.Configuration{}}
	currentRevision, err := a.readKey(ctx, KeyCurrent, state.cfg)
	if err != nil {
		return state, err
	}
	state.headRevision, err = a.readKey(ctx, KeyHead, &state.head)
	if err != nil {
		return state, err
	}
	state.conditions = []cicadapitch.Condition{
		{Key: KeyHead, Revision: state.headRevision},
		{Key: KeyCurrent, Revision: currentRevision},
	}
	return state, nil
}

// readKey decodes the stored value of key into v and returns the key's store revision.
// If the key does not exist, v is unchanged and the revision is 0.
func (a *Applier) readKey(ctx context.Context, key string, v any) (cicadapitch.StoreRevision, error) {
	pair, err := a.store.Get(ctx, key)
	if err != nil {
		if cicadapitch.KindOf(err) == cicadapitch.NotFound {
			return 0, nil
		}
		return 0, err
	}
	return pair.Revision, unmarshal(pair.Value, v)
}

// write commits next, the head and the audit record of c, and deletes the oldest
// audit record once there are more than maxAuditRecords.
func (a *Applier) write(ctx context.Context, c Change, current storedState, next *cicadapitch.Configuration) error {
	encoded, err := Encode(next)
	if err != nil {
		return err
	}
	record, err := encMode.Marshal(newAuditRecord(c, current.cfg, next))
	if err != nil {
		return cicadapitch.Wrap(err)
	}
	recent := append(current.head.Recent, AcceptedChange{Change: c.ID, Revision: next.Revision})
	recent = recent[max(0, len(recent)-maxRecentChanges):]
	head, err := encMode.Marshal(Head{Revision: next.Revision, Recent: recent})
	if err != nil {
		return cicadapitch.Wrap(err)
	}
	writes := []cicadapitch.Write{
		{Key: KeyCurrent, Value: encoded},
		{Key: KeyHead, Value: head},
		{Key: auditKey(next.Revision), Value: record},
	}
	if old := next.Revision - maxAuditRecords; old > 0 {
		writes = append(writes, cicadapitch.Write{Key: auditKey(old), Delete: true})
	}
	_, err = a.store.Commit(ctx, current.conditions, writes)
	return err
}

func errOvertaken(reason string) error {
	return cicadapitch.NewError(cicadapitch.Conflict, "not applied, overtaken by another change: "+reason,
		"look at the configuration in force and give the order again")
}

func errOutcomeUnknown(c Change) error {
	e := cicadapitch.NewOutcomeUnknown("the store's answer to change " + string(c.ID) + " was lost and could not be read back")
	e.Remedy = "send the same change id again once the store is back; it is applied once"
	return e
}

// errNotAccepted adds to the reason of err that the change had no effect.
// Conflict errors are returned unchanged.
func errNotAccepted(err error) error {
	e := cicadapitch.AsError(err)
	if e == nil || e.Kind == cicadapitch.Conflict {
		return err
	}
	refused := *e
	refused.Reason = "not accepted: " + e.Reason
	return &refused
}
