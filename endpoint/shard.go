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

func (s *shard) finish(now cicadapitch.Instant, end CallEnd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pass(s.state.Finish(now, end))
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

func (s *shard) load() cicadapitch.ShardLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Load()
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
