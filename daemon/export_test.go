package daemon

import (
	"context"

	"github.com/rs/zerolog"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/peer"
	"cicadapitch.example/cicadapitch/quarantine"
)

// AttemptOutcomeQuery exports attemptOutcomeQuery to tests.
type AttemptOutcomeQuery = attemptOutcomeQuery

// AttemptOutcome exports attemptOutcome to tests.
var AttemptOutcome = attemptOutcome

// SuspectSharer exports suspectSharer to tests.
type SuspectSharer struct{ *suspectSharer }

// NewSuspectSharer returns a sharer that knows the hosts which others returns, and serves
// their reports on server.
func NewSuspectSharer(l *quarantine.Ledger, others func() []cicadapitch.Member, d *peer.Dialer, server *peer.Server, clock cicadapitch.Clock) SuspectSharer {
	s := &suspectSharer{ledger: l, others: others, dialer: d, clock: clock, log: zerolog.Nop()}
	s.serve(server)
	return SuspectSharer{s}
}

// Tell exports tell.
func (s SuspectSharer) Tell(reports []quarantine.Report) { s.tell(reports) }

// Run exports run.
func (s SuspectSharer) Run(ctx context.Context) { s.run(ctx) }
