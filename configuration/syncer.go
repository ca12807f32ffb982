package configuration

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"cicadapitch.example/cicadapitch"
)

// tickEvery is the span between two ticks.
const tickEvery = 250 * cicadapitch.Millis(1)

// Syncer runs the commands by which this host follows the store and its
// peers.
type Syncer struct {
	follower *Follower
	store    cicadapitch.Store
	members  cicadapitch.Members
	fetcher  Fetcher
	clock    cicadapitch.Clock
	log      zerolog.Logger

	mu        sync.Mutex
	state     SyncState
	seen      cicadapitch.StoreRevision
	stopWatch context.CancelFunc
}

// SyncerOption sets an option of a Spreader.
type SyncerOption func(*Syncer)

// WithLog sets the log of a Spreader.
func WithLog(log zerolog.Logger) SyncerOption {
	return func(s *Syncer) { s.log = log }
}

// NewSyncer returns a spreader that does nothing until Run or Step.
func NewSyncer(f *Follower, store cicadapitch.Store, members cicadapitch.Members, fetcher Fetcher, clock cicadapitch.Clock, opts ...SyncerOption) *Syncer {
	s := &Syncer{
		follower: f,
		store:    store,
		members:  members,
		fetcher:  fetcher,
		clock:    clock,
		log:      zerolog.Nop(),
		state:    NewSyncState(clock.Now()),
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Run follows the store and the peers until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	for {
		for _, c := range s.Step() {
			go s.Execute(ctx, c)
		}
		if err := s.clock.Sleep(ctx, tickEvery); err != nil {
			return err
		}
	}
}

// Step makes one tick and returns the commands that follow from it.
func (s *Syncer) Step() []Command {
	return s.handle(Tick{
		Now:      s.clock.Now(),
		Revision: s.follower.Revision(),
		Self:     s.members.Self(),
		Members:  s.members.Members(),
	})
}

func (s *Syncer) handle(m Message) []Command {
	s.mu.Lock()
	defer s.mu.Unlock()
	var cmds []Command
	s.state, cmds = Next(s.state, m)
	return cmds
}

// Execute carries out a command and those that follow from its end.
func (s *Syncer) Execute(ctx context.Context, c Command) {
	var end Message
	switch c := c.(type) {
	case Fetch:
		end = Fetched{Now: s.clock.Now(), Err: s.fetch(ctx, c)}
	case ReadStore:
		head, err := s.readStore(ctx)
		end = StoreRead{Now: s.clock.Now(), Head: head, Err: err}
	case StartWatch:
		s.watch(ctx)
		end = WatchEnded{Now: s.clock.Now()}
	case StopWatch:
		s.endWatch()
		return
	case Confirm:
		s.follower.confirm()
		return
	}
	for _, next := range s.handle(end) {
		s.Execute(ctx, next)
	}
}

func (s *Syncer) fetch(ctx context.Context, c Fetch) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout.Duration())
	defer cancel()
	u, err := s.fetcher.Fetch(ctx, c.From, c.Have)
	if err != nil {
		return err
	}
	took, err := s.follower.ApplyUpdate(u)
	if took {
		s.logTaken("peer", string(c.From.Host))
	}
	if err == nil && !took && s.follower.Revision() <= c.Have {
		return cicadapitch.NewError(cicadapitch.Unavailable, "peer "+string(c.From.Host)+" had nothing newer", "ask another peer")
	}
	return err
}

// readStore returns the revision in the store and takes the configuration if
// it is higher than the one in force.
func (s *Syncer) readStore(ctx context.Context) (cicadapitch.Revision, error) {
	head, err := s.store.Get(ctx, KeyHead)
	if err != nil {
		if cicadapitch.KindOf(err) == cicadapitch.NotFound {
			return 0, nil
		}
		return 0, err
	}
	var h Head
	if err := unmarshal(head.Value, &h); err != nil {
		return 0, err
	}
	s.noteSeen(head.Revision)
	if h.Revision <= s.follower.Revision() {
		return h.Revision, nil
	}
	current, err := s.store.Get(ctx, KeyCurrent)
	if err != nil {
		return 0, err
	}
	cfg, err := Decode(current.Value)
	if err != nil {
		return 0, err
	}
	if s.follower.InstallIfNewer(cfg) {
		s.logTaken("store", "")
	}
	return cfg.Revision, nil
}

func (s *Syncer) noteSeen(r cicadapitch.StoreRevision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = max(s.seen, r)
}

// watch reads the head, so that nothing is missed, and follows its changes.
func (s *Syncer) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	s.stopWatch = cancel
	s.mu.Unlock()
	if _, err := s.readStore(ctx); err != nil {
		return
	}
	s.mu.Lock()
	after := s.seen
	s.mu.Unlock()
	events, err := s.store.Watch(ctx, KeyHead, after)
	if err != nil {
		return
	}
	for e := range events {
		if e.Err != nil {
			return
		}
		for _, c := range s.handle(HeadChanged{Now: s.clock.Now()}) {
			s.Execute(ctx, c)
		}
	}
}

func (s *Syncer) endWatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopWatch != nil {
		s.stopWatch()
	}
}

func (s *Syncer) logTaken(source, host string) {
	s.log.Info().
		Int64("Revision", int64(s.follower.Revision())).
		Str("Source", source).
		Str("From", host).
		Msg("configuration in force")
}
