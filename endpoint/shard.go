package endpoint

import (
	"sync"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
)

// shard guards the State of one owned shard with a mutex and delivers its
// commands to the runs that wait for them.
type shard struct {
	id      cicadapitch.ShardID
	fencing cicadapitch.FencingNumber

	mu    sync.Mutex
	state *State
	// waiters holds the channels over which runs receive their next commands.
	waiters map[cicadapitch.AttemptID]chan Command
	// revision is that of the configuration applied last.
	revision cicadapitch.Revision
	// released is true once this host no longer owns the shard under fencing.
	released bool
}

func newShard(claim cicadapitch.Claim, policy Policy) *shard {
	return &shard{
		id:      claim.Shard,
		fencing: claim.Fencing,
		state:   NewState(policy),
		waiters: make(map[cicadapitch.AttemptID]chan Command),
	}
}

// initialize applies the first configuration, if there is one.
func (s *shard) initialize(now cicadapitch.Instant, cfg *cicadapitch.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configure(now, cfg)
}

// submit submits a job. The returned channel receives the command for the job.
// It returns false if the shard has been released.
func (s *shard) submit(now cicadapitch.Instant, j Job) (<-chan Command, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.released {
		return nil, false
	}
	ch := make(chan Command, 1)
	s.waiters[j.Attempt] = ch
	s.deliver(s.state.Submit(now, j))
	return ch, true
}

func (s *shard) withdraw(now cicadapitch.Instant, id cicadapitch.AttemptID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.state.Withdraw(now, id))
}

func (s *shard) progress(now cicadapitch.Instant, id cicadapitch.AttemptID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.state.Progress(now, id))
}

// finish reports the end of a call. After a declined call, the returned channel
// receives the next command for the attempt.
func (s *shard) finish(now cicadapitch.Instant, end CallEnd) <-chan Command {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ch chan Command
	if end.Outcome == Declined {
		ch = make(chan Command, 1)
		s.waiters[end.Attempt] = ch
	}
	s.deliver(s.state.Finish(now, end))
	if s.released && end.Outcome == Declined {
		s.deliver(s.state.RefuseWaiting(now))
	}
	return ch
}

// duePolls returns the endpoints whose load reports are due.
func (s *shard) duePolls(now cicadapitch.Instant) []cicadapitch.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.DuePolls(now)
}

// report applies a load report that was requested at the instant requested.
func (s *shard) report(now, requested cicadapitch.Instant, id cicadapitch.EndpointID, r cicadapitch.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.state.Report(now, requested, id, r))
}

// reportFailed handles a load report that could not be read.
func (s *shard) reportFailed(id cicadapitch.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.ReportFailed(id)
}

// release refuses the waiting jobs and all later ones. Running calls continue.
func (s *shard) release(now cicadapitch.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.released = true
	s.deliver(s.state.RefuseWaiting(now))
}

// tick applies a new configuration and handles the passage of time.
func (s *shard) tick(now cicadapitch.Instant, cfg *cicadapitch.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configure(now, cfg)
	s.deliver(s.state.Tick(now))
}

func (s *shard) load(now cicadapitch.Instant) cicadapitch.ShardLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Load(now)
}

// configure applies a configuration unless it is nil or its revision is already
// applied. A shard that the configuration lacks gets no endpoints. The caller
// holds the mutex.
func (s *shard) configure(now cicadapitch.Instant, cfg *cicadapitch.Configuration) {
	if cfg == nil || cfg.Revision == s.revision {
		return
	}
	s.revision = cfg.Revision
	assigned, ok := lo.Find(cfg.Shards(), func(c cicadapitch.Shard) bool { return c.ID == s.id })
	if !ok {
		assigned = cicadapitch.Shard{ID: s.id}
	}
	s.deliver(s.state.Configure(now, cfg, assigned))
}

// deliver sends each command to the run that waits for it. The caller holds the
// mutex.
func (s *shard) deliver(commands []Command) {
	for _, c := range commands {
		ch, ok := s.waiters[c.Attempt]
		if !ok {
			continue
		}
		delete(s.waiters, c.Attempt)
		ch <- c
	}
}
