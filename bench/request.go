package bench

import (
	"fmt"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/endpoint"
	"cicadapitch.example/cicadapitch/pipeline"
)

// maxResubmissions is the number of times that a refused caller submits the
// request again.
const maxResubmissions = 2

// unboundedRetryDelay is the delay before a retry under a policy without
// bounded retries.
const unboundedRetryDelay cicadapitch.Millis = 50

// request is one submission of a caller's request. A resubmission is a new
// request with the same firstSubmittedAt.
type request struct {
	s        *sim
	id       cicadapitch.RequestID
	customer int
	pipeline cicadapitch.Pipeline
	prefix   string
	host     *host
	// firstSubmittedAt is when the caller first submitted the request,
	// submittedAt the instant of this submission.
	firstSubmittedAt cicadapitch.Instant
	submittedAt      cicadapitch.Instant
	resubmissions    int

	// stage is the index of the current stage, attemptCount the number of
	// attempts of the request so far, at all stages, and tokens the number of
	// tokens left to generate at the current stage.
	stage        int
	attemptCount int
	tokens       cicadapitch.Tokens
	progress     pipeline.AttemptCounts
	// avoid holds the shards on which an attempt at the stage has failed.
	avoid   []cicadapitch.ShardID
	current *attempt
	// started is true once any call has run, stageCalled once a call at the
	// current stage has.
	started     bool
	stageCalled bool
	ended       bool
	// slotTime and costs, by stage, add up over all calls of the request.
	slotTime cicadapitch.Millis
	costs    []cicadapitch.Cost
}

// deadline returns the deadline of this submission.
func (r *request) deadline() cicadapitch.Instant { return r.submittedAt.Add(r.pipeline.Deadline) }

// submit submits the request to an entry host, which admits or refuses it.
func (r *request) submit() {
	s := r.s
	r.host = s.randomLiveHost()
	r.submittedAt = s.now
	r.costs = make([]cicadapitch.Cost, len(r.pipeline.Stages))
	plan, _, ok := r.host.plan(r, 0, nil)
	if !ok {
		r.refuse("no endpoint", cicadapitch.Second)
		return
	}
	if err := r.host.withoutUncontendedWaits(r, plan).Admit(r.pipeline.Deadline); err != nil && s.policy.Admission {
		r.refuse("admission", cicadapitch.AsError(err).RetryAfter)
		return
	}
	if after, refuse := r.host.throttled(r); refuse && s.policy.Admission {
		r.refuse("throttled", after)
		return
	}
	r.host.budget = r.host.budget.Deposit()
	s.after(r.pipeline.Deadline, r.expire)
	r.startStage(0)
}

// startStage starts stage i with its first attempt.
func (r *request) startStage(i int) {
	r.stage = i
	r.progress = pipeline.AttemptCounts{Idempotent: r.pipeline.Stages[i].Idempotent}
	r.avoid = nil
	r.stageCalled = false
	r.tokens = 0
	if most := r.pipeline.Stages[i].MaxTokens; most > 0 {
		r.tokens = cicadapitch.Tokens(float64(most) * (minOutputRatio + 2*(meanOutputRatio-minOutputRatio)*r.s.rng.Float64()))
	}
	r.sendAttempt()
}

// sendAttempt chooses a shard for the current stage and sends it an attempt.
func (r *request) sendAttempt() {
	if r.ended {
		return
	}
	st := r.pipeline.Stages[r.stage]
	left := r.deadline().Sub(r.s.now)
	plan, c, ok := r.host.plan(r, r.stage, r.avoid)
	if !ok {
		r.fail("no endpoint", cicadapitch.Second)
		return
	}
	budget, limit := plan.Split(left)
	if next, ok := r.host.chooseShard(r, r.stage, budget, r.avoid); ok {
		c = next
	}
	r.attemptCount++
	a := &attempt{request: r, owner: r.s.owner(c.Shard), tokens: r.tokens}
	a.job = endpoint.Job{
		Attempt:    cicadapitch.AttemptID{Request: r.id, Stage: st.ID, Number: r.attemptCount},
		Customer:   customerID(r.customer),
		Share:      1,
		Size:       st.MaxTokens,
		Deadline:   r.s.now.Add(limit),
		Idempotent: st.Idempotent,
	}
	if st.Streams {
		a.job.Prefix = r.prefix
	}
	r.current = a
	v := r.host.view(c.Shard)
	v.inflight++
	v.sentSinceLoad++
	r.s.after(hopLatency, func() {
		if !r.ended {
			a.owner.submit(a)
		}
	})
}

// refuse ends a submission that ran no call. The caller submits the request
// again after the given time plus jitter, at most maxResubmissions times.
func (r *request) refuse(reason string, after cicadapitch.Millis) {
	r.ended = true
	r.s.tally.recordRefusal(r, reason)
	if r.resubmissions >= maxResubmissions {
		return
	}
	jitter := cicadapitch.Millis(r.s.rng.Int64N(100))
	r.s.after(after+jitter, func() {
		next := &request{
			s: r.s, id: r.s.nextID(), customer: r.customer, pipeline: r.pipeline, prefix: r.prefix,
			firstSubmittedAt: r.firstSubmittedAt, resubmissions: r.resubmissions + 1,
		}
		next.submit()
	})
}

// fail ends the request without an answer. The request counts as refused if no
// call has run, and as missed otherwise.
func (r *request) fail(reason string, after cicadapitch.Millis) {
	k := r.throttleKey()
	r.host.throttles[k] = r.host.throttles[k].RecordRefused(r.s.now, after)
	if !r.started {
		r.refuse(reason, after)
		return
	}
	r.ended = true
	r.s.tally.recordMiss(r, reason)
}

// expire ends the request at its deadline and cancels its current attempt.
func (r *request) expire() {
	if r.ended {
		return
	}
	r.ended = true
	r.s.tally.recordMiss(r, "deadline")
	if r.current != nil {
		r.current.owner.cancel(r.current)
	}
}

// recordFirstToken records the latencies of a stream at its first token, if a is
// the first attempt at its stage.
func (r *request) recordFirstToken(a *attempt, c *call) {
	if a.numberAtStage() == 1 {
		r.s.tally.recordStream(r, r.s.now.Sub(r.submittedAt)+hopLatency, c.perTokenMillis)
	}
}

// attempt is an attempt to run a stage on a shard.
type attempt struct {
	request  *request
	owner    *owner
	job      endpoint.Job
	endpoint cicadapitch.EndpointID
	tokens   cicadapitch.Tokens
	call     *call
}

// numberAtStage returns the number of this attempt at its stage, counted from 1.
func (a *attempt) numberAtStage() int { return 1 + a.request.progress.Failures }

// recordStart counts a call that an endpoint has accepted.
func (a *attempt) recordStart() {
	r := a.request
	r.started = true
	r.s.tally.recordCall(r, !r.stageCalled)
	k := r.throttleKey()
	r.host.throttles[k] = r.host.throttles[k].RecordAccepted(r.s.now)
	r.stageCalled = true
}

// deliveredTokens returns the number of tokens that the call has streamed so
// far.
func (a *attempt) deliveredTokens() cicadapitch.Tokens {
	if a.call == nil || a.call.perTokenMillis == 0 {
		return 0
	}
	streamed := float64(a.request.s.now.Sub(a.call.startedAt)) - a.call.firstTokenMillis
	return min(cicadapitch.Tokens(max(streamed, 0)/a.call.perTokenMillis), a.tokens)
}

// charge adds the slot time and the cost of the call to the request and to the
// tally.
func (a *attempt) charge() {
	if a.call == nil {
		return
	}
	r := a.request
	slotTime := r.s.now.Sub(a.call.startedAt)
	pool, _ := r.s.cfg.Pool(r.pipeline.Stages[r.stage].Pool)
	cost := pool.CostPerSlotSecond * cicadapitch.Cost(slotTime) / 1000
	r.slotTime += slotTime
	r.costs[r.stage] += cost
	r.s.tally.recordWork(r, pool.ID, slotTime, cost)
}

// succeeded handles the result of a successful call: it starts the next stage
// or answers the request.
func (a *attempt) succeeded(load cicadapitch.ShardLoad) {
	r := a.request
	a.removeFromView()
	r.host.recordLoad(a.owner.shard.ID, load)
	if r.ended {
		return
	}
	st := r.pipeline.Stages[r.stage]
	k := stageKey{r.pipeline.ID, st.ID}
	r.host.estimates[k] = r.host.estimate(k, st).Add(r.s.now.Sub(a.call.startedAt))
	if r.stage+1 < len(r.pipeline.Stages) {
		r.startStage(r.stage + 1)
		return
	}
	r.ended = true
	r.s.tally.recordAnswer(r)
}

// failed handles the failure of an attempt: it retries the stage or fails the
// request.
func (a *attempt) failed(kind cicadapitch.Kind, after cicadapitch.Millis, cause endpoint.Cause) {
	r := a.request
	a.removeFromView()
	if r.ended {
		return
	}
	reason := "failed"
	if kind == cicadapitch.NotRun {
		reason = cause.String()
	}
	r.avoid = append(r.avoid, a.owner.shard.ID)
	r.tokens -= a.deliveredTokens()
	left := r.deadline().Sub(r.s.now)
	if !r.s.policy.BoundedRetries && (kind == cicadapitch.NotRun || r.progress.Idempotent) {
		r.s.after(unboundedRetryDelay, r.sendAttempt)
		return
	}
	var step pipeline.RetryDecision
	r.progress, step = pipeline.DecideRetry(r.progress, kind, left, r.s.rng.Uint64())
	retry := step.Action == pipeline.Retry || step.Action == pipeline.FollowRedirect
	if retry && step.NeedsBudget {
		r.host.budget, retry = r.host.budget.Withdraw()
	}
	if !retry {
		r.fail(reason, after)
		return
	}
	r.s.after(step.Wait, r.sendAttempt)
}

// removeFromView removes the attempt from the host's view of the shard.
func (a *attempt) removeFromView() {
	v := a.request.host.view(a.owner.shard.ID)
	v.inflight--
	v.sentSinceLoad = min(v.sentSinceLoad, v.inflight)
}

func (s *sim) nextID() cicadapitch.RequestID {
	s.lastID++
	return cicadapitch.RequestID(fmt.Sprintf("r%d", s.lastID))
}
