package endpoint

import (
	"slices"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/customer"
)

// enqueue adds a job to the queue of the shard.
func (s *State) enqueue(j *job) {
	// A declined job still has its backend. dequeue would look for the job in
	// the affinity queue of that backend.
	j.backend = nil
	j.item = s.queue.Push(customer.Item[*job]{
		Value:    j,
		Customer: j.Customer,
		Work:     customer.Work(s.model.serviceTime(j.Size, 0)),
		Deadline: j.Deadline,
	}, j.Share)
	s.waiting[j.Attempt] = j
}

// dequeue removes a waiting job from the queue or from an endpoint's affinity
// queue.
func (s *State) dequeue(j *job) {
	if j.backend != nil {
		j.backend.affinityQueue = slices.DeleteFunc(j.backend.affinityQueue, func(k *job) bool { return k == j })
		j.backend = nil
		return
	}
	s.queue.Remove(j.item)
}

// requeue returns the jobs in an endpoint's affinity queue to the queue of the
// shard.
func (s *State) requeue(b *backend) {
	for _, j := range b.affinityQueue {
		j.backend = nil
		s.queue.Requeue(j.item)
	}
	b.affinityQueue = nil
}

// dispatch starts the waiting jobs that have a suitable free slot and returns
// the commands so far.
func (s *State) dispatch(now cicadapitch.Instant) []Command {
	for _, b := range s.endpoints {
		for len(b.affinityQueue) > 0 && s.freeSlots(now, b) > 0 {
			j := b.affinityQueue[0]
			b.affinityQueue = b.affinityQueue[1:]
			s.start(now, j, b)
		}
	}
	s.skipped = s.skipped[:0]
	for s.queue.Len() > 0 && len(s.skipped) < maxSkipped && s.anyFreeSlot(now) {
		s.assign(now, s.queue.Pop().Value)
	}
	for _, j := range s.skipped {
		s.queue.Requeue(j.item)
	}
	return s.commands
}

// maxSkipped bounds the jobs that one dispatch skips because the free endpoints
// are too slow for their deadlines.
const maxSkipped = 8

func (s *State) anyFreeSlot(now cicadapitch.Instant) bool {
	return slices.ContainsFunc(s.endpoints, func(b *backend) bool { return s.freeSlots(now, b) > 0 })
}

// assign starts a job, adds it to an endpoint's affinity queue, or skips it
// where no endpoint can take it.
func (s *State) assign(now cicadapitch.Instant, j *job) {
	c := s.choose(now, j)
	switch {
	case c.backend == nil:
		s.skipped = append(s.skipped, j)
	case c.busy:
		j.backend = c.backend
		c.backend.affinityQueue = append(c.backend.affinityQueue, j)
	default:
		s.start(now, j, c.backend)
	}
}

// start marks a job as running on an endpoint and adds the Start command.
func (s *State) start(now cicadapitch.Instant, j *job, b *backend) {
	delete(s.waiting, j.Attempt)
	j.started = now
	j.backend = b
	j.utilizationAtStart = s.utilization(b)
	j.hitProbability = b.prefixes.hitProbability(j.Prefix)
	b.prefixes.recordUse(now, j.Prefix)
	j.confirmed = false
	b.unconfirmed++
	b.running = append(b.running, j)
	s.running[j.Attempt] = j
	s.commands = append(s.commands, Command{
		Action:   Start,
		Attempt:  j.Attempt,
		Endpoint: b.Endpoint,
		Queued:   now.Sub(j.arrived),
	})
}

// refuse ends a job that has not started and adds the Refuse command. The caller
// has already removed the job from its queue.
func (s *State) refuse(now cicadapitch.Instant, j *job, cause Cause, retryAfter cicadapitch.Millis) {
	delete(s.waiting, j.Attempt)
	s.commands = append(s.commands, Command{
		Action:     Refuse,
		Cause:      cause,
		Attempt:    j.Attempt,
		RetryAfter: max(retryAfter, 1),
		Queued:     now.Sub(j.arrived),
	})
}

// refuseExpired refuses the queued jobs that can no longer meet their deadlines.
// If one of the jobs in an endpoint's affinity queue can no longer wait for that
// endpoint, all jobs of the affinity queue return to the queue of the shard.
func (s *State) refuseExpired(now cicadapitch.Instant) {
	for _, b := range s.endpoints {
		late := slices.ContainsFunc(b.affinityQueue, func(j *job) bool { return s.mustLeaveAffinityQueue(now, j) })
		if late {
			s.requeue(b)
		}
	}
	s.queue.RemoveFunc(
		func(it *customer.Item[*job]) bool { return s.cannotMeetDeadline(now, it.Value) },
		func(it *customer.Item[*job]) {
			s.refuse(now, it.Value, Expired, s.retryAfter(s.estimateFor(now, it.Value), 0))
		},
	)
}

// mustLeaveAffinityQueue reports whether a job in an affinity queue would miss its
// deadline if it waited longer, assuming a prefix-cache miss.
func (s *State) mustLeaveAffinityQueue(now cicadapitch.Instant, j *job) bool {
	return now.Add(cicadapitch.Millis(s.withMargin(s.expectedServiceTime(j.backend, j, 0)))) > j.Deadline
}

// cannotMeetDeadline reports whether a job would miss its deadline even if it
// started now with a probable prefix-cache hit. Without admission control only
// the deadline itself counts.
func (s *State) cannotMeetDeadline(now cicadapitch.Instant, j *job) bool {
	if !s.policy.Admission {
		return now >= j.Deadline
	}
	return now.Add(cicadapitch.Millis(s.model.serviceTime(j.Size, confirmedHit))) > j.Deadline
}
