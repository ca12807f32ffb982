package gateway

import (
	"context"
	"io"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/peer"
	"cicadapitch.example/cicadapitch/platform"
	"cicadapitch.example/cicadapitch/quarantine"
)

// Names of the calls on suspected parts of prompts, as sent on the wire.
const (
	callTrial    = "trial"
	callSuspects = "suspects"
)

const (
	// answerProofTime is how long after its first event a stream has outlived the beginning
	// of its answer.
	answerProofTime cicadapitch.Millis = 500
	// maxTrialWait is how long a request waits for the trial of a suspected part, in polls
	// trialPollInterval apart.
	maxTrialWait      cicadapitch.Millis = 800
	trialPollInterval cicadapitch.Millis = 50
	// trialCallTimeout bounds the call of the owner of a suspected part.
	trialCallTimeout cicadapitch.Millis = 300
	// maxTrialOwners is the number of hosts that are asked for a trial until one answers.
	maxTrialOwners = 2
	// quarantineRetryAfter is the retry delay for callers whose prompts have a quarantined
	// part. No retry helps until the quarantine ends.
	quarantineRetryAfter = cicadapitch.Minute
)

var (
	// errQuarantined rejects requests that are quarantined or have a quarantined part.
	errQuarantined = cicadapitch.NewNotRun("the request or a part of its prompt has crashed endpoints", quarantineRetryAfter)
	// errSuspected rejects requests that are suspected, or have a suspected part, and did not
	// get a trial in time.
	errSuspected = cicadapitch.NewNotRun("the request or a part of its prompt may crash endpoints and is being tried", fullRetryAfter)
)

// TrialCall asks the owner of a suspected part whether a request with it may be sent.
type TrialCall struct {
	Part    string
	Request cicadapitch.RequestID
	// Keys are those of the request and of the parts of its prompt. Earlier builds do not name them, and
	// get no trial of a quarantined part.
	Keys []string `cbor:",omitempty"`
}

// TrialReply is the answer to a TrialCall.
type TrialReply struct {
	Granted bool
	// Reports says what the owner knows of the part.
	Reports []quarantine.Report
}

// SuspectNotice tells other hosts of suspected parts, and that a request has ended its
// trial, if it had one.
type SuspectNotice struct {
	Request cicadapitch.RequestID
	Reports []quarantine.Report
	// Gather asks the owner of a whole request to tell all hosts once it knows of several
	// crashes.
	Gather bool
}

// SuspectReply is the answer to a SuspectNotice: when parts were in answers, if the sender knows of none. It is
// empty from hosts of earlier builds.
type SuspectReply struct {
	Reports []quarantine.Report `cbor:",omitempty"`
}

// trialKey is the key by which hosts own a suspected part.
func trialKey(part string) string { return "trial/" + part }

// rejectQuarantined returns errQuarantined if the request is quarantined or its prompt has a
// quarantined part.
func (p *proxiedRequest) rejectQuarantined() error {
	part, state := p.g.quarantine.Check(p.g.clock.Now(), p.keys)
	if state != quarantine.Quarantined {
		return nil
	}
	p.g.log.Info().Str("Id", string(p.request.ID)).Str("Part", part).Msg("request quarantined")
	p.g.metrics.Counter("PromptsQuarantined").Inc(1)
	return errQuarantined
}

// awaitTrial returns once the request may be sent as far as the quarantine is concerned. The
// error is errQuarantined, errSuspected or the cause of ctx.
func (p *proxiedRequest) awaitTrial(ctx context.Context) error {
	if p.endCheck != nil {
		// The request's own crash is known once the check is done.
		select {
		case <-p.endCheck:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	for waited := cicadapitch.Millis(0); ; waited += trialPollInterval {
		part, state := p.g.quarantine.Check(p.g.clock.Now(), p.keys)
		switch {
		case state == quarantine.Clear:
			return nil
		case state == quarantine.Quarantined:
			return p.rejectQuarantined()
		case p.g.beginTrial(ctx, TrialCall{part, p.request.ID, p.keys}):
			p.trial = part
			p.g.metrics.Counter("PromptsTried").Inc(1)
			p.g.log.Info().Str("Id", string(p.request.ID)).Str("Part", part).Int64("WaitedMs", int64(waited)).Msg("trial of a suspected part")
			return nil
		case waited >= maxTrialWait:
			p.g.log.Info().Str("Id", string(p.request.ID)).Str("Part", part).Int64("WaitedMs", int64(waited)).Msg("no trial of a suspected part")
			return errSuspected
		}
		if err := p.g.clock.Sleep(ctx, trialPollInterval); err != nil {
			return context.Cause(ctx)
		}
	}
}

// beginTrial asks the owner of a suspected part for its trial. If none of the first
// maxTrialOwners hosts answers, this host decides for itself.
func (g *Gateway) beginTrial(ctx context.Context, c TrialCall) bool {
	owners := g.membership.OwnersOf(trialKey(c.Part))
	dialer := g.membership.Dialer()
	for _, h := range owners[:min(len(owners), maxTrialOwners)] {
		if dialer == nil || g.membership.IsSelf(h) {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, trialCallTimeout.Duration())
		reply, err := peer.Call[TrialCall, TrialReply](callCtx, dialer, h.Peers, callTrial, c)
		cancel()
		if err == nil {
			g.quarantine.Merge(g.clock.Now(), reply.Reports)
			return reply.Granted
		}
		if ctx.Err() != nil {
			return false
		}
		g.log.Warn().Str("Host", string(h.ID)).Str("Part", c.Part).Err(err).Msg("asking for the trial of a suspected part failed")
	}
	return g.grantTrial(c).Granted
}

// grantTrial decides on a trial as the owner of the part.
func (g *Gateway) grantTrial(c TrialCall) TrialReply {
	now := g.clock.Now()
	granted := g.quarantine.AllowsTrial(now, c.Part, c.Keys...) && g.trials.Begin(now, c.Part, c.Request)
	return TrialReply{Granted: granted, Reports: g.quarantine.Reports(now, c.Part)}
}

// endTrial tells the owner of the part that the request's trial has ended, once it is
// known whether the endpoint has ended too.
func (p *proxiedRequest) endTrial() {
	part := p.trial
	if part == "" {
		return
	}
	p.trial = ""
	g, id, check := p.g, p.request.ID, p.endCheck
	owner := g.membership.OwnersOf(trialKey(part))[0]
	go func() {
		if check != nil {
			<-check
		}
		g.notifySuspects(owner, SuspectNotice{Request: id, Reports: g.quarantine.Reports(g.clock.Now(), part)})
	}()
}

// recordAnswer clears the request and the parts of its prompt, since an answer has outlived
// its beginning.
func (p *proxiedRequest) recordAnswer() {
	p.g.quarantine.RecordAnswer(p.g.clock.Now(), p.keys)
	p.endTrial()
}

// recordCrash records that an endpoint ended under the runs. It tells all hosts of the parts of
// their prompts, and of whole requests that have crashed endpoints before. Of other whole
// requests it tells only the owner of each, who gathers the crashes that several hosts see.
func (g *Gateway) recordCrash(e fleet.Endpoint, runs []brokenRun) {
	now := g.clock.Now()
	for _, run := range runs {
		g.quarantine.RecordCrash(now, run.parts, quarantine.Crash{Endpoint: e.ID, SentAt: run.sentAt, EndedAt: run.brokenAt})
	}
	keys := lo.Uniq(lo.FlatMap(runs, func(run brokenRun, _ int) []string { return run.parts }))
	g.log.Info().Str("Endpoint", string(e.ID)).Int("Parts", len(keys)).Msg("requests suspected")
	first, known := lo.FilterReject(keys, g.crashedOnce)
	for _, key := range first {
		go g.gatherCrashes(key)
	}
	g.tellSuspects(now, known)
	go func() {
		// Sleep cannot fail with this context.
		_ = g.clock.Sleep(context.Background(), quarantine.JudgeDelay)
		now, changed := g.clock.Now(), false
		for _, run := range runs {
			changed = g.quarantine.Judge(now, run.parts) || changed
		}
		if changed {
			g.tellSuspects(now, lo.Reject(keys, g.crashedOnce))
		}
	}()
}

// crashedOnce reports whether a key is that of a whole request of which at most one crash is
// known. Few of these ever come again.
func (g *Gateway) crashedOnce(key string, _ int) bool {
	return quarantine.IsRequestKey(key) && g.quarantine.Crashes(key) < 2
}

// gatherCrashes tells the owner of a whole request of its crash, or the host that replaces the
// owner.
func (g *Gateway) gatherCrashes(key string) {
	owners := g.membership.OwnersOf(trialKey(key))
	notice := SuspectNotice{Reports: g.quarantine.Reports(g.clock.Now(), key), Gather: true}
	for _, h := range owners[:min(len(owners), maxTrialOwners)] {
		if g.notifySuspects(h, notice) {
			return
		}
	}
}

// tellSuspects sends reports on the keys to all other hosts in the background.
func (g *Gateway) tellSuspects(now cicadapitch.Instant, keys []string) {
	if len(keys) == 0 {
		return
	}
	notice := SuspectNotice{Reports: g.quarantine.Reports(now, keys...)}
	for _, h := range g.membership.Hosts() {
		if !g.membership.IsSelf(h) {
			go g.notifySuspects(h, notice)
		}
	}
}

// notifySuspects sends a notice to a host, which may be this one, and reports whether the host
// has it. A failure is logged and not retried: heartbeats repeat the reports, and trials end by
// themselves.
func (g *Gateway) notifySuspects(h fleet.Host, n SuspectNotice) bool {
	dialer := g.membership.Dialer()
	if dialer == nil || g.membership.IsSelf(h) {
		g.addSuspects(n)
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout.Duration())
	defer cancel()
	reply, err := peer.Call[SuspectNotice, SuspectReply](ctx, dialer, h.Peers, callSuspects, n)
	if err != nil {
		g.log.Warn().Str("Host", string(h.ID)).Int("Suspects", len(n.Reports)).Err(err).Msg("telling a host of suspected parts failed")
		return false
	}
	g.quarantine.Merge(g.clock.Now(), reply.Reports)
	return true
}

// addSuspects applies a notice, and returns the answers that the sender lacks.
func (g *Gateway) addSuspects(n SuspectNotice) SuspectReply {
	now := g.clock.Now()
	g.quarantine.Merge(now, n.Reports)
	reply := SuspectReply{g.answersOf(now, n.Reports)}
	for _, r := range n.Reports {
		if n.Gather && g.quarantine.Crashes(r.Part) > 1 {
			g.quarantine.Judge(now, []string{r.Part})
			g.tellSuspects(now, []string{r.Part})
		}
	}
	if n.Request != "" {
		g.trials.End(n.Request)
	}
	return reply
}

// answersOf returns when the parts of reports were last in an answer that this host knows of and the sender of the
// reports does not. That is all that goes back, since many hosts tell all others of the same crash.
func (g *Gateway) answersOf(now cicadapitch.Instant, reports []quarantine.Report) []quarantine.Report {
	unanswered := lo.FilterMap(reports, func(r quarantine.Report, _ int) (string, bool) {
		return r.Part, r.AnsweredAgo == quarantine.Never
	})
	if len(unanswered) == 0 {
		return nil
	}
	return lo.FilterMap(g.quarantine.Reports(now, unanswered...), func(r quarantine.Report, _ int) (quarantine.Report, bool) {
		answer := quarantine.Report{Part: r.Part, AnsweredAgo: r.AnsweredAgo, QuarantinedAgo: quarantine.Never}
		return answer, r.AnsweredAgo != quarantine.Never
	})
}

// logQuarantine logs a change of a part's quarantine.
func (g *Gateway) logQuarantine(c quarantine.Change) {
	g.log.Warn().Str("Part", c.Part).Stringer("State", c.State).Int("Crashes", c.Crashes).Msg("quarantine")
	g.metrics.Tagged(map[string]string{"State": c.State.String()}).Counter("Quarantines").Inc(1)
}

// answerProof finds out whether an answer outlives its beginning.
type answerProof struct {
	request *proxiedRequest
	// counts is true for successful answers.
	counts bool
	// beganAt is when the first bytes came, or 0.
	beganAt cicadapitch.Instant
	// given is true once the answer was recorded.
	given bool
}

func (p *proxiedRequest) newAnswerProof(reply *platform.Reply) answerProof {
	return answerProof{request: p, counts: reply.Status < 300}
}

// add adds the result of a read of the answer.
func (a *answerProof) add(n int, err error) {
	if !a.counts || n == 0 && err == nil {
		return
	}
	now := a.request.g.clock.Now()
	switch {
	case a.given && !a.request.g.quarantine.Suspects():
	case err == io.EOF || err == nil && a.beganAt > 0 && now.Sub(a.beganAt) >= answerProofTime:
		a.given = true
		a.request.recordAnswer()
	case a.beganAt == 0:
		a.beganAt = now
	}
}
