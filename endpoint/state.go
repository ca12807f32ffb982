package endpoint

import (
	"slices"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/customer"
)

// State is the state machine that schedules the attempts of one shard. Its
// methods take an event and the current time and return the commands that the
// caller must carry out. The returned slice is valid until the next call of a
// method. State is not safe for concurrent use.
type State struct {
	policy          Policy
	pool            cicadapitch.Pool
	weight          cicadapitch.Weight
	model           latencyModel
	endpoints       []*backend
	queue           *customer.Queue[*job]
	waiting         map[cicadapitch.AttemptID]*job
	running         map[cicadapitch.AttemptID]*job
	roundRobinIndex int
	// slowCalls counts the calls that updateModel found slow.
	slowCalls int
	// meanUtilization is the mean utilization of endpoints when calls started.
	meanUtilization movingAverage
	// coldLatency is the latency of endpoints that report themselves as cold,
	// as a multiple of the prediction of the model.
	coldLatency movingAverage
	// skipped, peerLatencies and commands are buffers that calls reuse.
	skipped       []*job
	peerLatencies []float64
	commands      []Command
}

// NewState returns the state of a shard without endpoints. Configure adds them.
func NewState(policy Policy) *State {
	return &State{
		policy:  policy,
		queue:   customer.NewQueue[*job](policy.Quantum),
		waiting: make(map[cicadapitch.AttemptID]*job),
		running: make(map[cicadapitch.AttemptID]*job),
	}
}

// Submit adds a job. It is started, queued or refused.
func (s *State) Submit(now cicadapitch.Instant, j Job) []Command {
	s.commands = s.commands[:0]
	submitted := &job{Job: j, arrived: now}
	if !s.admit(now, submitted) {
		return s.commands
	}
	s.enqueue(submitted)
	return s.dispatch(now)
}

// Progress handles output of a running call. Only the first output counts.
func (s *State) Progress(now cicadapitch.Instant, id cicadapitch.AttemptID) []Command {
	s.commands = s.commands[:0]
	if j, ok := s.running[id]; ok && j.firstOutput == 0 {
		j.firstOutput = max(now.Sub(j.started), 1)
		s.recordFirstOutput(j)
		return s.dispatch(now)
	}
	return nil
}

// recordFirstOutput updates the endpoint's latency from the first output of a
// call. A first output in time confirms that the endpoint is warm.
func (s *State) recordFirstOutput(j *job) {
	b := j.backend
	expected := s.model.firstOnMiss.value
	if j.hitProbability > 0 {
		expected = s.model.firstOnHit.value
	}
	expected *= batchSlowdown(j.utilizationAtStart) / batchSlowdown(s.meanUtilization.value)
	s.meanUtilization.add(j.utilizationAtStart)
	first := float64(j.firstOutput)
	if first <= max(expected*s.policy.WarmFactor, float64(s.policy.LatencyFloor)) {
		b.confirm(j)
	}
	s.recordLatency(b, first/max(s.model.timeToFirstOutput(j.hitProbability), 1))
}

// recordLatency adds a latency ratio to the mean of the endpoint, or to that of
// cold endpoints if the endpoint reports itself as cold.
func (s *State) recordLatency(b *backend, ratio float64) {
	if b.reportedCold {
		s.coldLatency.add(ratio)
		return
	}
	b.relativeLatency.add(ratio)
}

// Finish handles the end of a call.
func (s *State) Finish(now cicadapitch.Instant, end CallEnd) []Command {
	s.commands = s.commands[:0]
	j, ok := s.running[end.Attempt]
	if !ok {
		return nil
	}
	delete(s.running, end.Attempt)
	j.backend.removeRunning(j)
	j.backend.lastCallEnd = now
	s.queue.AdjustCharge(j.item, customer.Work(now.Sub(j.started)))
	switch end.Outcome {
	case Succeeded:
		s.handleSucceeded(now, j, end.Tokens)
	case Broken:
		s.handleBroken(now, j)
	case Declined:
		s.handleDeclined(now, j)
	case Canceled:
		s.handleCanceled(now, j)
	}
	return s.dispatch(now)
}

// Withdraw refuses a waiting job that its caller has canceled. A job that runs
// or is unknown is left alone.
func (s *State) Withdraw(now cicadapitch.Instant, id cicadapitch.AttemptID) []Command {
	s.commands = s.commands[:0]
	if j, ok := s.waiting[id]; ok {
		s.dequeue(j)
		s.refuse(now, j, Withdrawn, 1)
	}
	return s.commands
}

// RefuseWaiting refuses all waiting jobs with the cause Moved, because another
// host takes over the shard.
func (s *State) RefuseWaiting(now cicadapitch.Instant) []Command {
	s.commands = s.commands[:0]
	for _, b := range s.endpoints {
		s.requeue(b)
	}
	s.queue.RemoveFunc(
		func(*customer.Item[*job]) bool { return true },
		func(it *customer.Item[*job]) { s.refuse(now, it.Value, Moved, 1) },
	)
	return s.commands
}

// Tick handles overdue calls, refuses jobs that can no longer meet their
// deadlines, and starts jobs on endpoints whose ejection has ended. The caller
// calls it every Policy.TickInterval.
func (s *State) Tick(now cicadapitch.Instant) []Command {
	s.commands = s.commands[:0]
	s.updateTimedStates(now)
	s.refuseExpired(now)
	return s.dispatch(now)
}

// Load returns the present load of the shard. While jobs wait, only the slots
// that can take a call at once count as free. Otherwise all idle slots of
// endpoints that are not stalled do.
func (s *State) Load(now cicadapitch.Instant) cicadapitch.ShardLoad {
	l := cicadapitch.ShardLoad{Queued: len(s.waiting), ServiceMillis: cicadapitch.Millis(s.typicalServiceTime())}
	for _, b := range s.endpoints {
		l.Total += s.slotLimit(now, b)
		if len(s.waiting) > 0 {
			l.Free += s.freeSlots(now, b)
		} else if !b.stalled {
			l.Free += max(s.slotLimit(now, b)-b.busy(), 0)
		}
	}
	return l
}

// handleSucceeded updates the endpoint and the model after a successful call.
func (s *State) handleSucceeded(now cicadapitch.Instant, j *job, tokens cicadapitch.Tokens) {
	b := j.backend
	done := sample{
		serviceTime:     float64(max(now.Sub(j.started), 1)),
		firstOutput:     float64(j.firstOutput),
		hitProbability:  j.hitProbability,
		requestedTokens: j.Size,
		generatedTokens: tokens,
	}
	if j.firstOutput == 0 {
		done.firstOutput = done.serviceTime
	}
	b.consecutiveFailures = 0
	s.readmit(now, b)
	ratio := s.model.latencyRatio(done)
	if ratio > s.policy.ColdFactor*max(s.relativeLatency(b), 1) && done.serviceTime > float64(s.policy.LatencyFloor) {
		s.markCold(now, b)
	} else {
		s.growSlots(b, j, ratio)
	}
	s.recordLatency(b, ratio)
	s.updateModel(done, ratio)
	s.ejectUnhealthy(now, b)
}

// slowSampleInterval is the number of slow calls of which one updates the model.
const slowSampleInterval = 8

// updateModel updates the shard's model with a call. Only one in
// slowSampleInterval slow calls is used, so that an endpoint that turns cold
// does not shift the model.
func (s *State) updateModel(done sample, ratio float64) {
	if ratio > s.policy.GrowFactor && s.model.deviation.samples > minLatencySamples {
		s.slowCalls++
		if s.slowCalls%slowSampleInterval != 0 {
			return
		}
	}
	s.model.observe(done)
}

// handleBroken counts a failure of the endpoint. The call may still run there
// until its deadline, so it keeps its slot as an untracked call for that long,
// but at most for Policy.UntrackedTimeout.
func (s *State) handleBroken(now cicadapitch.Instant, j *job) {
	b := j.backend
	b.consecutiveFailures++
	b.addUntracked(min(now.Add(s.policy.UntrackedTimeout), max(j.Deadline, now.Add(s.policy.CancelLag))))
	s.markCold(now, b)
	s.ejectUnhealthy(now, b)
}

// handleCanceled keeps the slot of a canceled call as an untracked call until
// the endpoint has stopped working on it. If the call had already taken longer
// than a full-length call is expected to take at this endpoint, its duration is
// recorded as the latency of a completed call would be.
func (s *State) handleCanceled(now cicadapitch.Instant, j *job) {
	b := j.backend
	b.addUntracked(now.Add(s.policy.CancelLag))
	if ratio := float64(now.Sub(j.started)) / max(s.model.fullLengthServiceTime(j.Size), 1); ratio > s.relativeLatency(b) {
		s.recordLatency(b, ratio)
		s.ejectUnhealthy(now, b)
	}
}

// handleDeclined counts a failure of the endpoint and queues the job for
// another one. After Policy.MaxDeclines the job is refused.
func (s *State) handleDeclined(now cicadapitch.Instant, j *job) {
	b := j.backend
	b.consecutiveFailures++
	s.markCold(now, b)
	s.ejectUnhealthy(now, b)
	j.declines++
	if j.declines > s.policy.MaxDeclines {
		s.refuse(now, j, Overloaded, s.retryAfter(s.estimateFor(now, j), 0))
		return
	}
	j.Avoid = append(slices.Clip(j.Avoid), b.ID)
	j.firstOutput = 0
	s.enqueue(j)
}
