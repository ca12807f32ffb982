package configuration

import (
	"context"
	"fmt"

	"cicadapitch.example/cicadapitch"
)

const (
	maxAttempts   = 8
	defaultRecent = 64
	// auditRetention is how many audit records are kept.
	auditRetention = 100_000
	firstBackoff   = 20 * cicadapitch.Millis(1)
)

// Applier writes changes of the configuration to the store.
type Applier struct {
	store    cicadapitch.Store
	clock    cicadapitch.Clock
	follower *Follower
}

// ApplierOption sets an option of an Applier.
type ApplierOption func(*Applier)

// WithFollower puts each applied configuration in force on this host at once.
func WithFollower(f *Follower) ApplierOption {
	return func(a *Applier) { a.follower = f }
}

// NewApplier returns an applier.
func NewApplier(store cicadapitch.Store, clock cicadapitch.Clock, opts ...ApplierOption) *Applier {
	a := &Applier{store: store, clock: clock}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Apply writes a change with compare-and-swap. A mutation that lost a race is
// made anew on the winner's configuration. A write whose answer was lost is
// settled by reading back. Where that fails the error is OutcomeUnknown, and
// the same change may be sent again: it is applied once.
func (a *Applier) Apply(ctx context.Context, c Change) (Outcome, error) {
	if err := c.check(); err != nil {
		return Outcome{}, err
	}
	run := application{Applier: a, change: c}
	for n := 1; n <= maxAttempts; n++ {
		out, err := run.attempt(ctx)
		out.Attempts = n
		if err == nil {
			return out, nil
		}
		if !run.again(out, err) {
			return run.end(out, err)
		}
		if a.clock.Sleep(ctx, firstBackoff*cicadapitch.Millis(n)) != nil {
			break
		}
	}
	out := Outcome{Result: Overtaken, Attempts: maxAttempts}
	return run.end(out, errOvertaken("other changes kept coming first"))
}

// application is one change on its way to the store.
type application struct {
	*Applier
	change Change
	// unsettled is true while a write whose answer was lost may still have
	// taken effect, or may do so. It was conditional on KeyHead at base.
	unsettled bool
	base      cicadapitch.StoreRevision
}

// again tells whether another attempt can settle the change.
func (r *application) again(out Outcome, err error) bool {
	switch cicadapitch.KindOf(err) {
	case cicadapitch.OutcomeUnknown:
		return true
	case cicadapitch.Conflict:
		return out.Result != Overtaken
	}
	return false
}

func (r *application) end(out Outcome, err error) (Outcome, error) {
	if r.unsettled {
		out.Result = Unsettled
		return out, errUnsettled(r.change)
	}
	return out, notAccepted(err)
}

// attempt reads the present configuration, looks for an earlier write of the
// same change, and writes the next configuration.
func (r *application) attempt(ctx context.Context) (Outcome, error) {
	p, err := r.read(ctx)
	if err != nil {
		return Outcome{}, err
	}
	if revision, ok := p.head.find(r.change.ID); ok {
		return r.found(revision), nil
	}
	if p.headRevision != r.base {
		// The key moved on without this change, so a lost write has failed.
		r.unsettled = false
	}
	if r.change.Whole != nil && r.change.Base != p.cfg.Revision {
		reason := fmt.Sprintf("revision %d is in force, not %d", p.cfg.Revision, r.change.Base)
		return Outcome{Result: Overtaken}, errOvertaken(reason)
	}
	next, err := r.change.next(p.cfg)
	if err != nil {
		return Outcome{}, err
	}
	err = r.write(ctx, r.change, p, next)
	if err != nil {
		if cicadapitch.KindOf(err) == cicadapitch.OutcomeUnknown {
			r.unsettled, r.base = true, p.headRevision
		}
		return Outcome{}, err
	}
	if r.follower != nil {
		r.follower.InstallIfNewer(next)
	}
	return Outcome{Result: Applied, Revision: next.Revision}, nil
}

func (r *application) found(revision cicadapitch.Revision) Outcome {
	if r.unsettled {
		return Outcome{Result: Applied, Revision: revision}
	}
	return Outcome{Result: Repeated, Revision: revision}
}

// present is what the store holds.
type present struct {
	cfg          *cicadapitch.Configuration
	head         Head
	headRevision cicadapitch.StoreRevision
	conditions   []cicadapitch.Compare
}

// read reads the configuration and then the head, so that a change that the
// configuration holds is never missing from the head.
func (a *Applier) read(ctx context.Context) (present, error) {
	p := present{cfg: &cicadapitch.Configuration{}}
	current, err := a.get(ctx, KeyCurrent, p.cfg)
	if err != nil {
		return p, err
	}
	p.headRevision, err = a.get(ctx, KeyHead, &p.head)
	if err != nil {
		return p, err
	}
	p.conditions = []cicadapitch.Compare{
		{Key: KeyHead, Revision: p.headRevision},
		{Key: KeyCurrent, Revision: current},
	}
	return p, nil
}

// get decodes the value of a key into v, which stays as it is where there is
// no such key.
func (a *Applier) get(ctx context.Context, key string, v any) (cicadapitch.StoreRevision, error) {
	pair, err := a.store.Get(ctx, key)
	if err != nil {
		if cicadapitch.KindOf(err) == cicadapitch.NotFound {
			return 0, nil
		}
		return 0, err
	}
	return pair.Revision, unmarshal(pair.Value, v)
}

func (a *Applier) write(ctx context.Context, c Change, p present, next *cicadapitch.Configuration) error {
	whole, err := Encode(next)
	if err != nil {
		return err
	}
	record, err := encMode.Marshal(newAuditRecord(c, p.cfg, next))
	if err != nil {
		return cicadapitch.Wrap(err)
	}
	recent := append(p.head.Recent, AcceptedChange{Change: c.ID, Revision: next.Revision})
	recent = recent[max(0, len(recent)-defaultRecent):]
	head, err := encMode.Marshal(Head{Revision: next.Revision, Recent: recent})
	if err != nil {
		return cicadapitch.Wrap(err)
	}
	puts := []cicadapitch.Put{
		{Key: KeyCurrent, Value: whole},
		{Key: KeyHead, Value: head},
		{Key: auditKey(next.Revision), Value: record},
	}
	if old := next.Revision - auditRetention; old > 0 {
		puts = append(puts, cicadapitch.Put{Key: auditKey(old), Delete: true})
	}
	_, err = a.store.Commit(ctx, p.conditions, puts)
	return err
}

func errOvertaken(reason string) error {
	return cicadapitch.NewError(cicadapitch.Conflict, "not applied, overtaken by another change: "+reason,
		"look at the configuration in force and give the order again")
}

func errUnsettled(c Change) error {
	e := cicadapitch.NewOutcomeUnknown("the store's answer to change " + string(c.ID) + " was lost and could not be read back")
	e.Remedy = "send the same change id again once the store is back; it is applied once"
	return e
}

// notAccepted says that a change had no effect.
func notAccepted(err error) error {
	e := cicadapitch.AsError(err)
	if e == nil || e.Kind == cicadapitch.Conflict {
		return err
	}
	refused := *e
	refused.Reason = "not accepted: " + e.Reason
	return &refused
}
