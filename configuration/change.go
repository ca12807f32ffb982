package configuration

import "cicadapitch.example/cicadapitch"

// Change is a change of the configuration requested by an operator. Exactly one
// of Mutate and Whole must be set.
type Change struct {
	// ID is chosen by the caller. A change is applied at most once for each id,
	// as long as the id is among the latest maxRecentChanges.
	ID cicadapitch.ChangeID
	// Operator is the operator who requested the change. It is required.
	Operator cicadapitch.OperatorID
	// At is when the change was requested. It may be 0.
	At cicadapitch.Instant
	// Summary describes the change in the audit record. It may be empty.
	Summary string
	// Mutate modifies a copy of the current configuration in place. It may be
	// called several times, each time with the latest configuration.
	Mutate func(*cicadapitch.Configuration) error
	// Whole replaces the configuration of revision Base. If another revision is
	// current, the change is not applied. Base 0 means that no configuration
	// exists yet.
	Whole *cicadapitch.Configuration
	Base  cicadapitch.Revision
}

// Outcome is the outcome of Applier.Apply. Revision is the revision that the
// change produced; it is set for Applied and Repeated.
type Outcome struct {
	Result   Result
	Revision cicadapitch.Revision
	// Attempts is the number of attempts, each with a read and up to one write.
	Attempts int
}

// apply returns the configuration after the change, or the error of Mutate or
// Check. It does not modify current.
func (c Change) apply(current *cicadapitch.Configuration) (*cicadapitch.Configuration, error) {
	base := c.Whole
	if c.Mutate != nil {
		base = current
	}
	next, err := clone(base)
	if err != nil {
		return nil, err
	}
	if c.Mutate != nil {
		if err := c.Mutate(next); err != nil {
			return nil, err
		}
	}
	next.Revision = current.Revision + 1
	next.Change = c.ID
	return next, Check(next)
}

// check verifies that the required fields are set.
func (c Change) check() error {
	if c.ID == "" || c.Operator == "" {
		return cicadapitch.NewError(cicadapitch.Invalid, "the change has no id or no operator", "set both")
	}
	if (c.Mutate == nil) == (c.Whole == nil) {
		return cicadapitch.NewError(cicadapitch.Invalid, "the change needs either a mutation or a whole configuration", "set one of them")
	}
	return nil
}
