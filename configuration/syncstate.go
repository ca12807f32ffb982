package configuration

import (
	"cmp"
	"slices"

	"github.com/samber/lo"
	"github.com/zeebo/xxh3"

	"cicadapitch.example/cicadapitch"
)

const (
	// watchers is how many hosts of the fleet follow the store.
	watchers = 3
	// pollEvery bounds how long a silent watch goes unnoticed.
	pollEvery = 2 * cicadapitch.Second
	// fetchTimeout is when a fetch without an answer is given up.
	fetchTimeout = 2 * cicadapitch.Second
	fetchBackoff = 200 * cicadapitch.Millis(1)
	// anyPeerAfter is after how many failures every peer with a higher
	// revision is asked, not only those with the highest.
	anyPeerAfter = 2
	maxBackoff   = 1 * cicadapitch.Second
	// peersFirst is how long a starting host waits for its peers before it
	// reads the store, and startJitter spreads such reads.
	peersFirst  = 1 * cicadapitch.Second
	startJitter = 2 * cicadapitch.Second
	// enoughPeers is how many ready peers confirm a revision, where there
	// are that many.
	enoughPeers = 2
)

// SyncState is what one host knows about the spreading of the configuration.
type SyncState struct {
	Started   cicadapitch.Instant
	Revision  cicadapitch.Revision
	Confirmed bool

	watching  bool
	nextWatch cicadapitch.Instant
	reading   bool
	nextRead  cicadapitch.Instant

	fetching   bool
	fetchStart cicadapitch.Instant
	nextFetch  cicadapitch.Instant
	failures   int
	whole      bool
}

// NewSyncState returns the state of a host that started now.
func NewSyncState(now cicadapitch.Instant) SyncState { return SyncState{Started: now} }

// Next decides what follows a message.
func Next(s SyncState, m Message) (SyncState, []Command) {
	switch m := m.(type) {
	case Tick:
		return s.tick(m)
	case Fetched:
		return s.fetched(m), nil
	case StoreRead:
		return s.storeRead(m)
	case WatchEnded:
		s.watching = false
		s.nextWatch = m.Now.Add(fetchBackoff)
		s.nextRead = min(s.nextRead, m.Now.Add(fetchBackoff))
		return s, nil
	case HeadChanged:
		s.nextRead = m.Now
		return s.read(m.Now)
	}
	return s, nil
}

func (s SyncState) tick(t Tick) (SyncState, []Command) {
	s.Revision = t.Revision
	var cmds, more []Command
	s, cmds = s.follow(t)
	s, more = s.fetch(t)
	cmds = append(cmds, more...)
	if !s.Confirmed && confirmedByPeers(t) {
		s.Confirmed = true
		cmds = append(cmds, Confirm{})
	}
	return s, cmds
}

// follow starts and ends the watch, and reads the store where this host is a
// watcher or has nobody else to ask.
func (s SyncState) follow(t Tick) (SyncState, []Command) {
	var cmds []Command
	watcher := IsWatcher(t.Self, t.Members)
	switch {
	case watcher && !s.watching && t.Now >= s.nextWatch:
		s.watching = true
		cmds = append(cmds, StartWatch{})
	case !watcher && s.watching:
		s.watching = false
		cmds = append(cmds, StopWatch{})
	}
	if !watcher && !s.alone(t) {
		return s, cmds
	}
	next, more := s.read(t.Now)
	return next, append(cmds, more...)
}

// alone tells whether a starting host must ask the store itself.
func (s SyncState) alone(t Tick) bool {
	if s.Confirmed {
		return false
	}
	jitter := cicadapitch.Millis(xxh3.HashString(string(t.Self.Host)) % uint64(startJitter))
	return t.Now >= s.Started.Add(peersFirst+jitter)
}

func (s SyncState) read(now cicadapitch.Instant) (SyncState, []Command) {
	if s.reading || now < s.nextRead {
		return s, nil
	}
	s.reading = true
	s.nextRead = now.Add(pollEvery)
	return s, []Command{ReadStore{}}
}

func (s SyncState) storeRead(m StoreRead) (SyncState, []Command) {
	s.reading = false
	if m.Err != nil || m.Head == 0 || s.Confirmed {
		return s, nil
	}
	s.Confirmed = true
	return s, []Command{Confirm{}}
}

// fetch asks a peer that has a higher revision.
func (s SyncState) fetch(t Tick) (SyncState, []Command) {
	if s.fetching && t.Now >= s.fetchStart.Add(fetchTimeout) {
		s = s.fetchFailed(t.Now)
	}
	if s.fetching || t.Now < s.nextFetch {
		return s, nil
	}
	from, ok := s.source(t)
	if !ok {
		return s, nil
	}
	s.fetching, s.fetchStart = true, t.Now
	have := s.Revision
	if s.whole {
		have = 0
	}
	return s, []Command{Fetch{From: from, Have: have}}
}

func (s SyncState) fetched(m Fetched) SyncState {
	s.fetching = false
	if m.Err != nil {
		s.whole = cicadapitch.KindOf(m.Err) == cicadapitch.Conflict
		return s.fetchFailed(m.Now)
	}
	s.failures, s.whole = 0, false
	return s
}

func (s SyncState) fetchFailed(now cicadapitch.Instant) SyncState {
	s.fetching = false
	s.failures++
	s.nextFetch = now.Add(min(maxBackoff, fetchBackoff*cicadapitch.Millis(s.failures)))
	return s
}

// source picks a peer that has a higher revision, among equals by the host's
// own hash, and another one after each failure.
func (s SyncState) source(t Tick) (cicadapitch.Member, bool) {
	peers := lo.Filter(t.Members, func(m cicadapitch.Member, _ int) bool {
		return m.Host != t.Self.Host && m.Revision > s.Revision && answers(m)
	})
	if len(peers) == 0 {
		return cicadapitch.Member{}, false
	}
	if s.failures < anyPeerAfter {
		peers = preferred(t.Self, peers)
	}
	slices.SortFunc(peers, func(a, b cicadapitch.Member) int { return cmp.Compare(a.Host, b.Host) })
	i := xxh3.HashString(string(t.Self.Host)) + uint64(s.failures)
	return peers[i%uint64(len(peers))], true
}

// preferred returns the peers with the highest revision, those of the region
// of self where there are any.
func preferred(self cicadapitch.Member, peers []cicadapitch.Member) []cicadapitch.Member {
	highest := slices.MaxFunc(peers, func(a, b cicadapitch.Member) int { return cmp.Compare(a.Revision, b.Revision) })
	peers = lo.Filter(peers, func(m cicadapitch.Member, _ int) bool { return m.Revision == highest.Revision })
	near := lo.Filter(peers, func(m cicadapitch.Member, _ int) bool { return m.Region == self.Region })
	if len(near) > 0 {
		return near
	}
	return peers
}

func answers(m cicadapitch.Member) bool {
	return m.State != cicadapitch.Suspect && m.State != cicadapitch.Dead
}

// confirmedByPeers tells whether enough ready peers have the revision of this
// host and none has a higher one.
func confirmedByPeers(t Tick) bool {
	ready, agree := 0, 0
	for _, m := range t.Members {
		if m.Host == t.Self.Host || m.State != cicadapitch.Ready {
			continue
		}
		ready++
		if m.Revision > t.Revision {
			return false
		}
		if m.Revision == t.Revision {
			agree++
		}
	}
	return t.Revision > 0 && ready > 0 && agree >= min(enoughPeers, ready)
}

// IsWatcher tells whether self is one of the hosts that follow the store: the
// first few by rendezvous hashing over the ready hosts, or over the starting
// ones where none is ready.
func IsWatcher(self cicadapitch.Member, members []cicadapitch.Member) bool {
	state := cicadapitch.Starting
	if slices.ContainsFunc(members, func(m cicadapitch.Member) bool { return m.State == cicadapitch.Ready }) {
		state = cicadapitch.Ready
	}
	if self.State != state {
		return false
	}
	own, above := watcherScore(self.Host), 0
	for _, m := range members {
		if m.State == state && m.Host != self.Host && watcherScore(m.Host) > own {
			above++
		}
	}
	return above < watchers
}

func watcherScore(h cicadapitch.HostID) uint64 {
	return xxh3.HashStringSeed(string(h), 0x77617463)
}
