package endpoint

import (
	"slices"

	"cicadapitch.example/cicadapitch"
)

// State holds the decisions of one shard. It is not safe for concurrent use.
type State struct {
	policy    Policy
	pool      cicadapitch.Pool
	endpoints []*backend
	waiting   []*job
	running   map[cicadapitch.AttemptID]*job
	commands  []Command
}

type job struct {
	Job
	arrived cicadapitch.Instant
	started cicadapitch.Instant
	on      *backend
}

type backend struct {
	cicadapitch.Endpoint
	out     bool
	running cicadapitch.Slots
}

// NewState returns the state of a shard without endpoints.
func NewState(policy Policy) *State {
	return &State{policy: policy, running: make(map[cicadapitch.AttemptID]*job)}
}

// Configure takes over the pool and the endpoints of the shard.
func (s *State) Configure(now cicadapitch.Instant, cfg *cicadapitch.Configuration, shard cicadapitch.Shard) []Command {
	s.commands = s.commands[:0]
	s.pool, _ = cfg.Pool(shard.Pool)
	zone, _ := cfg.Zone(shard.Zone)
	old := s.endpoints
	s.endpoints = nil
	for _, e := range shard.Endpoints {
		i := slices.IndexFunc(old, func(b *backend) bool { return b.ID == e.ID })
		b := &backend{}
		if i >= 0 {
			b = old[i]
		}
		b.Endpoint = e
		b.out = e.Out || zone.Out
		s.endpoints = append(s.endpoints, b)
	}
	return s.dispatch(now)
}

// Submit takes a job.
func (s *State) Submit(now cicadapitch.Instant, j Job) []Command {
	s.commands = s.commands[:0]
	s.waiting = append(s.waiting, &job{Job: j, arrived: now})
	return s.dispatch(now)
}

// Finish takes the end of a call.
func (s *State) Finish(now cicadapitch.Instant, end CallEnd) []Command {
	s.commands = s.commands[:0]
	if j, ok := s.running[end.Attempt]; ok {
		j.on.running--
		delete(s.running, end.Attempt)
	}
	return s.dispatch(now)
}

// Withdraw removes a job that waits.
func (s *State) Withdraw(now cicadapitch.Instant, id cicadapitch.AttemptID) []Command {
	s.commands = s.commands[:0]
	i := slices.IndexFunc(s.waiting, func(j *job) bool { return j.Attempt == id })
	if i >= 0 {
		s.refuse(now, s.waiting[i], Withdrawn)
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
	return s.commands
}

// Surrender refuses all jobs that wait, since the shard has moved.
func (s *State) Surrender(now cicadapitch.Instant) []Command {
	s.commands = s.commands[:0]
	for _, j := range s.waiting {
		s.refuse(now, j, Moved)
	}
	s.waiting = nil
	return s.commands
}

// Tick looks at the time.
func (s *State) Tick(now cicadapitch.Instant) []Command {
	s.commands = s.commands[:0]
	s.waiting = slices.DeleteFunc(s.waiting, func(j *job) bool {
		if now < j.Deadline {
			return false
		}
		s.refuse(now, j, Expired)
		return true
	})
	return s.dispatch(now)
}

// Load summarises the shard.
func (s *State) Load() cicadapitch.ShardLoad {
	l := cicadapitch.ShardLoad{Queued: len(s.waiting)}
	for _, b := range s.endpoints {
		if b.out {
			continue
		}
		l.Total += s.pool.ColdSlots
		l.Free += max(s.pool.ColdSlots-b.running, 0)
	}
	return l
}

func (s *State) dispatch(now cicadapitch.Instant) []Command {
	for len(s.waiting) > 0 {
		b := s.choose()
		if b == nil {
			break
		}
		s.start(now, s.waiting[0], b)
		s.waiting = s.waiting[1:]
	}
	return s.commands
}

func (s *State) choose() *backend {
	var best *backend
	for _, b := range s.endpoints {
		if b.out || b.running >= s.pool.ColdSlots {
			continue
		}
		if best == nil || b.running < best.running {
			best = b
		}
	}
	return best
}

func (s *State) start(now cicadapitch.Instant, j *job, b *backend) {
	j.started = now
	j.on = b
	b.running++
	s.running[j.Attempt] = j
	s.commands = append(s.commands, Command{
		Action:   Start,
		Attempt:  j.Attempt,
		Endpoint: b.Endpoint,
		Queued:   now.Sub(j.arrived),
	})
}

func (s *State) refuse(now cicadapitch.Instant, j *job, cause Cause) {
	s.commands = append(s.commands, Command{
		Action:     Refuse,
		Cause:      cause,
		Attempt:    j.Attempt,
		RetryAfter: 100,
		Queued:     now.Sub(j.arrived),
	})
}
