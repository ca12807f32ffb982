package configuration

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"cicadapitch.example/cicadapitch"
)

// tickInterval is the time between two calls of Step in Run.
const tickInterval = 250 * cicadapitch.Millis(1)

// Syncer keeps the configuration of this host up to date with the store and the
// peers. Next decides what to do; Syncer carries it out.
type Syncer struct {
	follower *Follower
	store    cicadapitch.Store
	members  cicadapitch.Members
	fetcher  Fetcher
	clock    cicadapitch.Clock
	log      zerolog.Logger

	mu    sync.Mutex
	state SyncState
	// headRevision is the highest store revision of KeyHead read so far.
	headRevision cicadapitch.StoreRevision
	cancelWatch  context.CancelFunc
}

// SyncerOption configures a Syncer.
type SyncerOption func(*Syncer)

// WithLog sets the logger of a Syncer. The default discards all messages.
func WithLog(log zerolog.Logger) SyncerOption {
	return func(s *Syncer) { s.log = log }
}

// NewSyncer returns a Syncer that installs configurations in f. It is inactive
// until Run or Step is called.
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

// Run syncs with the store and the peers until ctx ends. It returns the error of
// ctx.
func (s *Syncer) Run(ctx context.Context) error {
	for {
		for _, c := range s.Step() {
			go s.Execute(ctx, c)
		}
		if err := s.clock.Sleep(ctx, tickInterval); err != nil {
			return err
		}
	}
}

// Step decides what to do now. It returns commands, which the caller passes to
// Execute.
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

// Execute carries out a command, then the commands that result from its outcome.
// It blocks until all of them have ended; a StartWatch ends with its watch.
func (s *Syncer) Execute(ctx context.Context, c Command) {
	var outcome Message
	switch c := c.(type) {
	case Fetch:
		outcome = FetchEnded{Now: s.clock.Now(), Err: s.fetch(ctx, c)}
	case ReadStore:
		head, err := s.readStore(ctx)
		outcome = ReadEnded{Now: s.clock.Now(), StoredRevision: head, Err: err}
	case StartWatch:
		s.watch(ctx)
		outcome = WatchEnded{Now: s.clock.Now()}
	case StopWatch:
		s.stopWatch()
		return
	case Confirm:
		s.follower.confirm()
		return
	}
	for _, next := range s.handle(outcome) {
		s.Execute(ctx, next)
	}
}

// fetch installs the update of a peer. It returns an Unavailable error if the peer
// had no higher revision, so that Next selects another peer.
func (s *Syncer) fetch(ctx context.Context, c Fetch) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout.Duration())
	defer cancel()
	u, err := s.fetcher.Fetch(ctx, c.From, c.Have)
	if err != nil {
		return err
	}
	installed, err := s.follower.ApplyUpdate(u)
	if installed {
		s.logInstalled("peer", string(c.From.Host))
	}
	if err == nil && !installed && s.follower.Revision() <= c.Have {
		return cicadapitch.NewError(cicadapitch.Unavailable, "peer "+string(c.From.Host)+" had nothing newer", "ask another peer")
	}
	return err
}

// readStore returns the revision in the store, 0 for none, and installs the
// configuration if its revision is higher than the one in force.
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
	s.noteHeadRevision(head.Revision)
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
		s.logInstalled("store", "")
	}
	return cfg.Revision, nil
}

func (s *Syncer) noteHeadRevision(r cicadapitch.StoreRevision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.headRevision = max(s.headRevision, r)
}

// watch watches KeyHead until ctx ends, stopWatch is called or the watch fails. It
// reads the store first, so that no change before the watch is missed.
func (s *Syncer) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	s.cancelWatch = cancel
	s.mu.Unlock()
	if _, err := s.readStore(ctx); err != nil {
		return
	}
	s.mu.Lock()
	after := s.headRevision
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

func (s *Syncer) stopWatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelWatch != nil {
		s.cancelWatch()
	}
}

func (s *Syncer) logInstalled(source, host string) {
	s.log.Info().
		Int64("Revision", int64(s.follower.Revision())).
		Str("Source", source).
		Str("From", host).
		Msg("configuration in force")
}
