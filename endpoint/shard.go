package endpoint

import (
	"sync"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
)

// shard guards the state of one shard and passes its commands to the runs that
// wait for them.
type shard struct {
	id      cicadapitch.ShardID
	fencing cicadapitch.FencingNumber

	mu       sync.Mutex
	state    *State
	waiters  map[cicadapitch.AttemptID]chan Command
	revision cicadapitch.Revision
	lost     bool
}

func newShard(claim cicadapitch.Claim, policy Policy) *shard {
	return &shard{
		id:      claim.Shard,
		fencing: claim.Fencing,
		state:   NewState(policy),
		waiters: make(map[cicadapitch.AttemptID]chan Command),
	}
}

func (s *shard) gain(now cicadapitch.Instant, cfg *cicadapitch.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configure(now, cfg)
}

// submit hands a job to the decisions. The command for it comes over the
// returned channel.
func (s *shard) submit(now cicadapitch.Instant, j Job) (<-chan Command, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost {
		return nil, false
	}
	ch := make(chan Command, 1)
	s.waiters[j.Attempt] = ch
	s.pass(s.state.Submit(now, j))
	return ch, true
}

func (s *shard) withdraw(now cicadapitch.Instant, id cicadapitch.AttemptID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pass(s.state.Withdraw(now, id))
}

func (s *shard) progress(now cicadapitch.Instant, id cicadapitch.AttemptID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pass(s.state.Progress(now, id))
}

// finish hands over the end of a call. After a declined call, the next command
// for the attempt comes over the returned channel.
func (s *shard) finish(now cicadapitch.Instant, end CallEnd) <-chan Command {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ch chan Command
	if end.Outcome == Declined {
		ch = make(chan Command, 1)
		s.waiters[end.Attempt] = ch
	}
	s.pass(s.state.Finish(now, end))
	if s.lost && end.Outcome == Declined {
		s.pass(s.state.Surrender(now))
	}
	return ch
}

// due returns the endpoints whose load report is to be read now.
func (s *shard) due(now cicadapitch.Instant) []cicadapitch.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Due(now)
}

func (s *shard) report(now, requested cicadapitch.Instant, id cicadapitch.EndpointID, r cicadapitch.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pass(s.state.Report(now, requested, id, r))
}

func (s *shard) unread(id cicadapitch.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Unread(id)
}

func (s *shard) surrender(now cicadapitch.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = true
	s.pass(s.state.Surrender(now))
}

func (s *shard) tick(now cicadapitch.Instant, cfg *cicadapitch.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configure(now, cfg)
	s.pass(s.state.Tick(now))
}

func (s *shard) load(now cicadapitch.Instant) cicadapitch.ShardLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Load(now)
}

func (s *shard) configure(now cicadapitch.Instant, cfg *cicadapitch.Configuration) {
	if cfg == nil || cfg.Revision == s.revision {
		return
	}
	s.revision = cfg.Revision
	setting, ok := lo.Find(cfg.Shards(), func(c cicadapitch.Shard) bool { return c.ID == s.id })
	if !ok {
		setting = cicadapitch.Shard{ID: s.id}
	}
	s.pass(s.state.Configure(now, cfg, setting))
}

func (s *shard) pass(commands []Command) {
	for _, c := range commands {
		ch, ok := s.waiters[c.Attempt]
		if !ok {
			continue
		}
		delete(s.waiters, c.Attempt)
		ch <- c
	}
}
