package endpoint

import (
	"slices"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/customer"
)

// State holds the decisions of one shard. Each message returns the commands it
// leads to, which are valid until the next message. State is not safe for
// concurrent use.
type State struct {
	policy    Policy
	pool      cicadapitch.Pool
	weight    cicadapitch.Weight
	model     latencyModel
	endpoints []*backend
	queue     *customer.Queue[*job]
	waiting   map[cicadapitch.AttemptID]*job
	running   map[cicadapitch.AttemptID]*job
	turn      int
	slow      int
	// load is the mean part of the warm slots that were busy when a call
	// began.
	load movingAverage
	// cold is the latency in a cold start as a multiple of the usual one.
	cold     movingAverage
	passed   []*job
	paces    []float64
	commands []Command
}

// NewState returns the state of a shard without endpoints.
func NewState(policy Policy) *State {
	return &State{
		policy:  policy,
		queue:   customer.NewQueue[*job](policy.Quantum),
		waiting: make(map[cicadapitch.AttemptID]*job),
		running: make(map[cicadapitch.AttemptID]*job),
	}
}

// Submit takes a job.
func (s *State) Submit(now cicadapitch.Instant, j Job) []Command {
	s.commands = s.commands[:0]
	w := &job{Job: j, arrived: now}
	if !s.admit(now, w) {
		return s.commands
	}
	s.enqueue(w)
	return s.dispatch(now)
}

// Progress takes the first output of a running call.
func (s *State) Progress(now cicadapitch.Instant, id cicadapitch.AttemptID) []Command {
	s.commands = s.commands[:0]
	if j, ok := s.running[id]; ok && j.first == 0 {
		j.first = max(now.Sub(j.started), 1)
		s.proven(j)
		return s.dispatch(now)
	}
	return nil
}

// proven takes a first output as a proof that the endpoint is warm, unless it
// came late.
func (s *State) proven(j *job) {
	b := j.on
	usual := s.model.firstOnMiss.value
	if j.hit > 0 {
		usual = s.model.firstOnHit.value
	}
	usual *= slowdown(j.load) / slowdown(s.load.value)
	s.load.add(j.load)
	first := float64(j.first)
	if first <= max(usual*s.policy.ProveFactor, float64(s.policy.LatencyFloor)) {
		b.prove(j)
	}
	s.rate(b, first/max(s.model.timeToFirstOutput(j.hit), 1))
}

// rate adds a latency to the endpoint's pace, or to that of cold starts.
func (s *State) rate(b *backend, ratio float64) {
	if b.reportCold {
		s.cold.add(ratio)
		return
	}
	b.speed.add(ratio)
}

// Finish takes the end of a call.
func (s *State) Finish(now cicadapitch.Instant, end CallEnd) []Command {
	s.commands = s.commands[:0]
	j, ok := s.running[end.Attempt]
	if !ok {
		return nil
	}
	delete(s.running, end.Attempt)
	j.on.drop(j)
	j.on.ended = now
	s.queue.Charge(j.item, customer.Work(now.Sub(j.started)))
	switch end.Outcome {
	case Succeeded:
		s.succeeded(now, j, end.Tokens)
	case Broken:
		s.broken(now, j)
	case Declined:
		s.declined(now, j)
	case Canceled:
		s.canceled(now, j)
	}
	return s.dispatch(now)
}

// Withdraw removes a job that waits.
func (s *State) Withdraw(now cicadapitch.Instant, id cicadapitch.AttemptID) []Command {
	s.commands = s.commands[:0]
	if j, ok := s.waiting[id]; ok {
		s.unqueue(j)
		s.refuse(now, j, Withdrawn, 1)
	}
	return s.commands
}

// Surrender refuses all jobs that wait, since the shard has moved.
func (s *State) Surrender(now cicadapitch.Instant) []Command {
	s.commands = s.commands[:0]
	for _, b := range s.endpoints {
		s.requeue(b)
	}
	s.queue.Expire(
		func(*customer.Item[*job]) bool { return true },
		func(it *customer.Item[*job]) { s.refuse(now, it.Value, Moved, 1) },
	)
	return s.commands
}

// Tick looks at the time.
func (s *State) Tick(now cicadapitch.Instant) []Command {
	s.commands = s.commands[:0]
	s.watch(now)
	s.expire(now)
	return s.dispatch(now)
}

// Load summarises the shard.
func (s *State) Load(now cicadapitch.Instant) cicadapitch.ShardLoad {
	l := cicadapitch.ShardLoad{Queued: len(s.waiting), ServiceMillis: cicadapitch.Millis(s.usual())}
	for _, b := range s.endpoints {
		l.Total += s.limit(now, b)
		if len(s.waiting) > 0 {
			l.Free += s.free(now, b)
		} else if !b.held {
			l.Free += max(s.limit(now, b)-b.busy(), 0)
		}
	}
	return l
}

func (s *State) succeeded(now cicadapitch.Instant, j *job, tokens cicadapitch.Tokens) {
	b := j.on
	done := sample{
		serviceTime:     float64(max(now.Sub(j.started), 1)),
		firstOutput:     float64(j.first),
		hitProbability:  j.hit,
		requestedTokens: j.Size,
		generatedTokens: tokens,
	}
	if j.first == 0 {
		done.firstOutput = done.serviceTime
	}
	b.failures = 0
	s.readmit(now, b)
	ratio := s.model.latencyRatio(done)
	if ratio > s.policy.ColdFactor*max(s.pace(b), 1) && done.serviceTime > float64(s.policy.LatencyFloor) {
		s.fall(now, b)
	} else {
		s.grow(b, j, ratio)
	}
	s.rate(b, ratio)
	s.learn(done, ratio)
	s.judge(now, b)
}

// slowPart is the number of slow calls of which the model takes one.
const slowPart = 8

// learn adds a call to the shard's model. Few of the slow ones are taken, so
// that an endpoint that turns cold does not pass for the usual.
func (s *State) learn(done sample, ratio float64) {
	if ratio > s.policy.GrowFactor && s.model.deviation.samples > fewSamples {
		s.slow++
		if s.slow%slowPart != 0 {
			return
		}
	}
	s.model.observe(done)
}

// broken takes a call as a failure whose work may still run.
func (s *State) broken(now cicadapitch.Instant, j *job) {
	b := j.on
	b.failures++
	b.addUntracked(min(now.Add(s.policy.ForeignWork), max(j.Deadline, now.Add(s.policy.CancelLag))))
	s.fall(now, b)
	s.judge(now, b)
}

// canceled takes a call that was given up. One that had taken longer than a
// whole call takes tells as much about the endpoint as one that ended.
func (s *State) canceled(now cicadapitch.Instant, j *job) {
	b := j.on
	b.addUntracked(now.Add(s.policy.CancelLag))
	if late := float64(now.Sub(j.started)) / max(s.model.fullLengthServiceTime(j.Size), 1); late > s.pace(b) {
		s.rate(b, late)
		s.judge(now, b)
	}
}

// declined offers the job to another endpoint.
func (s *State) declined(now cicadapitch.Instant, j *job) {
	b := j.on
	b.failures++
	s.fall(now, b)
	s.judge(now, b)
	j.declines++
	if j.declines > s.policy.MaxDeclines {
		s.refuse(now, j, Overloaded, s.retryAfter(s.look(now, j), 0))
		return
	}
	j.Avoid = append(slices.Clip(j.Avoid), b.ID)
	j.first = 0
	s.enqueue(j)
}
