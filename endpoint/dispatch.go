package endpoint

import (
	"slices"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/customer"
)

func (s *State) enqueue(j *job) {
	// A waiting job with an endpoint counts as one in that endpoint's line.
	j.on = nil
	j.item = s.queue.Push(customer.Item[*job]{
		Value:    j,
		Customer: j.Customer,
		Work:     customer.Work(s.model.serviceTime(j.Size, 0)),
		Deadline: j.Deadline,
	}, j.Share)
	s.waiting[j.Attempt] = j
}

// unqueue takes a job out of the queue or out of an endpoint's line.
func (s *State) unqueue(j *job) {
	if j.on != nil {
		j.on.line = slices.DeleteFunc(j.on.line, func(k *job) bool { return k == j })
		j.on = nil
		return
	}
	s.queue.Remove(j.item)
}

// requeue returns the jobs in an endpoint's line to the queue.
func (s *State) requeue(b *backend) {
	for _, j := range b.line {
		j.on = nil
		s.queue.Return(j.item)
	}
	b.line = nil
}

// dispatch starts every job that a free slot is found for.
func (s *State) dispatch(now cicadapitch.Instant) []Command {
	for _, b := range s.endpoints {
		for len(b.line) > 0 && s.free(now, b) > 0 {
			j := b.line[0]
			b.line = b.line[1:]
			s.start(now, j, b)
		}
	}
	s.passed = s.passed[:0]
	for s.queue.Len() > 0 && len(s.passed) < maxPassed && s.anyFree(now) {
		s.place(now, s.queue.Pop().Value)
	}
	for _, j := range s.passed {
		s.queue.Return(j.item)
	}
	return s.commands
}

// maxPassed bounds the jobs that are passed over because the free endpoints
// are too slow for their deadlines.
const maxPassed = 8

func (s *State) anyFree(now cicadapitch.Instant) bool {
	return slices.ContainsFunc(s.endpoints, func(b *backend) bool { return s.free(now, b) > 0 })
}

// place starts a job, puts it into a line or passes it over.
func (s *State) place(now cicadapitch.Instant, j *job) {
	o := s.choose(now, j)
	switch {
	case o.on == nil:
		s.passed = append(s.passed, j)
	case o.busy:
		j.on = o.on
		o.on.line = append(o.on.line, j)
	default:
		s.start(now, j, o.on)
	}
}

func (s *State) start(now cicadapitch.Instant, j *job, b *backend) {
	delete(s.waiting, j.Attempt)
	j.started = now
	j.on = b
	j.load = s.filled(b)
	j.hit = b.prefixes.hitProbability(j.Prefix)
	b.prefixes.recordUse(now, j.Prefix)
	j.proven = false
	b.unproven++
	b.running = append(b.running, j)
	s.running[j.Attempt] = j
	s.commands = append(s.commands, Command{
		Action:   Start,
		Attempt:  j.Attempt,
		Endpoint: b.Endpoint,
		Queued:   now.Sub(j.arrived),
	})
}

func (s *State) refuse(now cicadapitch.Instant, j *job, cause Cause, after cicadapitch.Millis) {
	delete(s.waiting, j.Attempt)
	s.commands = append(s.commands, Command{
		Action:     Refuse,
		Cause:      cause,
		Attempt:    j.Attempt,
		RetryAfter: max(after, 1),
		Queued:     now.Sub(j.arrived),
	})
}

// expire refuses the waiting jobs whose deadline can no longer be met, and
// takes back jobs that have waited in a line for too long.
func (s *State) expire(now cicadapitch.Instant) {
	for _, b := range s.endpoints {
		late := slices.ContainsFunc(b.line, func(j *job) bool { return s.pressing(now, j) })
		if late {
			s.requeue(b)
		}
	}
	s.queue.Expire(
		func(it *customer.Item[*job]) bool { return s.hopeless(now, it.Value) },
		func(it *customer.Item[*job]) {
			s.refuse(now, it.Value, Expired, s.retryAfter(s.look(now, it.Value), 0))
		},
	)
}

// pressing is true if a job has no more time to wait for a better endpoint.
func (s *State) pressing(now cicadapitch.Instant, j *job) bool {
	return now.Add(cicadapitch.Millis(s.cautious(s.expected(j.on, j, 0)))) > j.Deadline
}

// hopeless is true if a job could not meet its deadline even if it started now.
func (s *State) hopeless(now cicadapitch.Instant, j *job) bool {
	if !s.policy.Admission {
		return now >= j.Deadline
	}
	return now.Add(cicadapitch.Millis(s.model.serviceTime(j.Size, confirmedHit))) > j.Deadline
}
