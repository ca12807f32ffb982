package bench

import (
	"fmt"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/endpoint"
	"cicadapitch.example/cicadapitch/pipeline"
)

// maxReturns is how often a refused caller comes back.
const maxReturns = 2

// rashPause is the pause before a retry without a backoff.
const rashPause cicadapitch.Millis = 50

// request is one request of a caller, from one submission to its end.
type request struct {
	s        *sim
	id       cicadapitch.RequestID
	customer int
	pipeline cicadapitch.Pipeline
	prefix   string
	host     *host
	// came is when the caller first came, arrived when this submission did.
	came    cicadapitch.Instant
	arrived cicadapitch.Instant
	returns int

	stage    int
	number   int
	tokens   cicadapitch.Tokens
	progress pipeline.AttemptCounts
	avoid    []cicadapitch.ShardID
	current  *attempt
	ran      bool
	called   bool
	over     bool
	busy     cicadapitch.Millis
	costs    []cicadapitch.Cost
}

func (r *request) deadline() cicadapitch.Instant { return r.arrived.Add(r.pipeline.Deadline) }

// submit asks an entry host for the request.
func (r *request) submit() {
	s := r.s
	r.host = s.liveHost()
	r.arrived = s.now
	r.costs = make([]cicadapitch.Cost, len(r.pipeline.Stages))
	plan, _, ok := r.host.plan(r, 0, nil)
	if !ok {
		r.refuse("no endpoint", cicadapitch.Second)
		return
	}
	if err := r.host.patient(r, plan).Admit(r.pipeline.Deadline); err != nil && s.policy.Admission {
		r.refuse("admission", cicadapitch.AsError(err).RetryAfter)
		return
	}
	if after, refuse := r.host.throttled(r); refuse && s.policy.Admission {
		r.refuse("throttled", after)
		return
	}
	r.host.budget = r.host.budget.Deposit()
	s.after(r.pipeline.Deadline, r.expire)
	r.begin(0)
}

// begin starts a stage.
func (r *request) begin(i int) {
	r.stage = i
	r.progress = pipeline.AttemptCounts{Idempotent: r.pipeline.Stages[i].Idempotent}
	r.avoid = nil
	r.called = false
	r.tokens = 0
	if most := r.pipeline.Stages[i].MaxTokens; most > 0 {
		r.tokens = cicadapitch.Tokens(float64(most) * (minFill + 2*(meanFill-minFill)*r.s.rng.Float64()))
	}
	r.try()
}

// try sends an attempt at the present stage to a shard.
func (r *request) try() {
	if r.over {
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
	if again, ok := r.host.choose(r, r.stage, budget, r.avoid); ok {
		c = again
	}
	r.number++
	a := &attempt{request: r, owner: r.s.owner(c.Shard), tokens: r.tokens}
	a.job = endpoint.Job{
		Attempt:    cicadapitch.AttemptID{Request: r.id, Stage: st.ID, Number: r.number},
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
	v.since++
	r.s.after(hop, func() {
		if !r.over {
			a.owner.submit(a)
		}
	})
}

// refuse ends the submission without work. The caller comes back when it was
// told to.
func (r *request) refuse(why string, after cicadapitch.Millis) {
	r.over = true
	r.s.tally.refuse(r, why)
	if r.returns >= maxReturns {
		return
	}
	jitter := cicadapitch.Millis(r.s.rng.Int64N(100))
	r.s.after(after+jitter, func() {
		again := &request{
			s: r.s, id: r.s.nextID(), customer: r.customer, pipeline: r.pipeline, prefix: r.prefix,
			came: r.came, returns: r.returns + 1,
		}
		again.submit()
	})
}

// fail ends the request without an answer.
func (r *request) fail(why string, after cicadapitch.Millis) {
	k := r.throttle()
	r.host.throttles[k] = r.host.throttles[k].RecordRefused(r.s.now, after)
	if !r.ran {
		r.refuse(why, after)
		return
	}
	r.over = true
	r.s.tally.miss(r, why)
}

// expire ends the request at its deadline.
func (r *request) expire() {
	if r.over {
		return
	}
	r.over = true
	r.s.tally.miss(r, "deadline")
	if r.current != nil {
		r.current.owner.withdraw(r.current)
	}
}

func (r *request) firstToken(a *attempt, c *call) {
	if a.number() == 1 {
		r.s.tally.stream(r, r.s.now.Sub(r.arrived)+hop, c.token)
	}
}

// attempt is one attempt at a stage.
type attempt struct {
	request  *request
	owner    *owner
	job      endpoint.Job
	endpoint cicadapitch.EndpointID
	tokens   cicadapitch.Tokens
	call     *call
}

// number counts the attempts at the stage up to this one.
func (a *attempt) number() int { return 1 + a.request.progress.Failures }

// began counts a call that an endpoint has taken.
func (a *attempt) began() {
	r := a.request
	r.ran = true
	r.s.tally.call(r, !r.called)
	k := r.throttle()
	r.host.throttles[k] = r.host.throttles[k].RecordAccepted(r.s.now)
	r.called = true
}

// delivered returns the tokens that the call has brought so far.
func (a *attempt) delivered() cicadapitch.Tokens {
	if a.call == nil || a.call.token == 0 {
		return 0
	}
	streamed := float64(a.request.s.now.Sub(a.call.began)) - a.call.first
	return min(cicadapitch.Tokens(max(streamed, 0)/a.call.token), a.tokens)
}

// charge books the slot time that the call took.
func (a *attempt) charge() {
	if a.call == nil {
		return
	}
	r := a.request
	busy := r.s.now.Sub(a.call.began)
	pool, _ := r.s.cfg.Pool(r.pipeline.Stages[r.stage].Pool)
	cost := pool.CostPerSlotSecond * cicadapitch.Cost(busy) / 1000
	r.busy += busy
	r.costs[r.stage] += cost
	r.s.tally.work(r, pool.ID, busy, cost)
}

func (a *attempt) succeeded(load cicadapitch.ShardLoad) {
	r := a.request
	a.leave()
	r.host.observe(a.owner.shard.ID, load)
	if r.over {
		return
	}
	st := r.pipeline.Stages[r.stage]
	k := stageKey{r.pipeline.ID, st.ID}
	r.host.estimates[k] = r.host.estimate(k, st).Add(r.s.now.Sub(a.call.began))
	if r.stage+1 < len(r.pipeline.Stages) {
		r.begin(r.stage + 1)
		return
	}
	r.over = true
	r.s.tally.answer(r)
}

func (a *attempt) failed(kind cicadapitch.Kind, after cicadapitch.Millis, cause endpoint.Cause) {
	r := a.request
	a.leave()
	if r.over {
		return
	}
	why := "failed"
	if kind == cicadapitch.NotRun {
		why = cause.String()
	}
	r.avoid = append(r.avoid, a.owner.shard.ID)
	r.tokens -= a.delivered()
	left := r.deadline().Sub(r.s.now)
	if !r.s.policy.BoundedRetries && (kind == cicadapitch.NotRun || r.progress.Idempotent) {
		r.s.after(rashPause, r.try)
		return
	}
	var step pipeline.RetryDecision
	r.progress, step = pipeline.DecideRetry(r.progress, kind, left, r.s.rng.Uint64())
	retry := step.Action == pipeline.Retry || step.Action == pipeline.FollowRedirect
	if retry && step.NeedsBudget {
		r.host.budget, retry = r.host.budget.Withdraw()
	}
	if !retry {
		r.fail(why, after)
		return
	}
	r.s.after(step.Wait, r.try)
}

func (a *attempt) leave() {
	v := a.request.host.view(a.owner.shard.ID)
	v.inflight--
	v.since = min(v.since, v.inflight)
}

func (s *sim) nextID() cicadapitch.RequestID {
	s.ids++
	return cicadapitch.RequestID(fmt.Sprintf("r%d", s.ids))
}
