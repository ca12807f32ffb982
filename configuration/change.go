package configuration

import "cicadapitch.example/cicadapitch"

// Change is what an operator wants. Either Mutate or Whole is set.
type Change struct {
	// ID is minted by the caller. The same id is applied once.
	ID       cicadapitch.ChangeID
	Operator cicadapitch.OperatorID
	At       cicadapitch.Instant
	Summary  string
	// Mutate changes the present configuration in place. It may be called
	// several times, each time with the latest configuration.
	Mutate func(*cicadapitch.Configuration) error
	// Whole replaces the configuration of revision Base. Base 0 means that
	// there is none yet.
	Whole *cicadapitch.Configuration
	Base  cicadapitch.Revision
}

// Outcome is what became of a change. Revision is set for Applied and Repeated.
type Outcome struct {
	Result   Result
	Revision cicadapitch.Revision
	// Attempts counts the writes that were tried.
	Attempts int
}

// next returns the configuration that the change makes of the present one.
func (c Change) next(present *cicadapitch.Configuration) (*cicadapitch.Configuration, error) {
	base := c.Whole
	if c.Mutate != nil {
		base = present
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
	next.Revision = present.Revision + 1
	next.Change = c.ID
	return next, Check(next)
}

func (c Change) check() error {
	if c.ID == "" || c.Operator == "" {
		return cicadapitch.NewError(cicadapitch.Invalid, "the change has no id or no operator", "set both")
	}
	if (c.Mutate == nil) == (c.Whole == nil) {
		return cicadapitch.NewError(cicadapitch.Invalid, "the change needs either a mutation or a whole configuration", "set one of them")
	}
	return nil
}
