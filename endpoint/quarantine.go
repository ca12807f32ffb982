package endpoint

import (
	"context"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/quarantine"
)

const (
	// endCheckDelay is the time from a broken call to the check whether its endpoint has
	// ended, endCheckTimeout the bound on the check.
	endCheckDelay   cicadapitch.Millis = 30
	endCheckTimeout cicadapitch.Millis = 500
	// answerProofTime is how long after its first text a call has outlived the beginning of
	// its answer.
	answerProofTime cicadapitch.Millis = 500
	// trialRetryAfter is the retry delay for attempts with a suspected prefix while another
	// one is being tried.
	trialRetryAfter cicadapitch.Millis = 250
)

// endChecker is implemented by drivers that can tell whether an endpoint has ended.
type endChecker interface {
	// Ended reports whether the endpoint's process has ended. It reports false if that
	// does not show in time.
	Ended(ctx context.Context, e cicadapitch.Endpoint) bool
}

// crashGuard keeps attempts away from endpoints that they or their prefix would crash. All
// hosts share the ledger's reports; trials are granted by the owner of the shard.
type crashGuard struct {
	ledger *quarantine.Ledger
	trials *quarantine.Trials
	// tell sends reports to all other hosts, in the background.
	tell func([]quarantine.Report)
}

// attemptKeys returns the key of the attempt's prefix, if it has one, and that of the request
// as a whole.
func attemptKeys(a cicadapitch.Attempt) []string {
	key := quarantine.RequestKey([]byte(a.Input), string(a.Customer), string(a.Pipeline), string(a.Pool), a.Prefix)
	if a.Prefix == "" {
		return []string{key}
	}
	return []string{quarantine.Key(a.Prefix), key}
}

// admit returns an Invalid error if the attempt or its prefix is quarantined, and a NotRun
// error if it is suspected and another attempt with it is being tried.
func (g *crashGuard) admit(now cicadapitch.Instant, a cicadapitch.Attempt) error {
	key, state := g.ledger.Check(now, attemptKeys(a))
	switch {
	case state == quarantine.Quarantined:
		return cicadapitch.NewError(cicadapitch.Invalid, "the request or the prefix of its prompt has crashed endpoints", "change the request")
	case state == quarantine.Suspected && !(g.ledger.AllowsTrial(now, key) && g.trials.Begin(now, key, a.ID.Request)):
		return cicadapitch.NewNotRun("the request or the prefix of its prompt may crash endpoints and is being tried", trialRetryAfter)
	}
	return nil
}

// recordAnswer clears the attempt and its prefix.
func (g *crashGuard) recordAnswer(now cicadapitch.Instant, a cicadapitch.Attempt) {
	g.ledger.RecordAnswer(now, attemptKeys(a))
}

// endTrial ends the trial of an attempt. If its call broke off because the endpoint has
// ended, endTrial records that first, before a further attempt can start.
func (r *run) endTrial(ctx context.Context, driver cicadapitch.Driver, e cicadapitch.Endpoint, sentAt cicadapitch.Instant, outcome CallOutcome) {
	o, a := r.owner, r.attempt
	keys := attemptKeys(a)
	defer o.guard.trials.End(a.ID.Request)
	checker, ok := driver.(endChecker)
	if outcome != Broken || !ok {
		return
	}
	endedAt := o.clock.Now()
	if o.clock.Sleep(ctx, endCheckDelay) != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout.Duration())
	defer cancel()
	ended := checker.Ended(ctx, e)
	o.log.Info().Str("Request", string(a.ID.Request)).Str("Endpoint", string(e.ID)).Str("Prefix", a.Prefix).Bool("Ended", ended).Msg("endpoint check")
	if !ended {
		return
	}
	now := o.clock.Now()
	g := o.guard
	g.ledger.RecordCrash(now, keys, quarantine.Crash{Endpoint: e.ID, SentAt: sentAt, EndedAt: endedAt})
	g.tell(g.ledger.Reports(now, keys...))
	go func() {
		// Sleep cannot fail with this context.
		_ = o.clock.Sleep(context.Background(), quarantine.JudgeDelay)
		if now := o.clock.Now(); g.ledger.Judge(now, keys) {
			g.tell(g.ledger.Reports(now, keys...))
		}
	}()
}
