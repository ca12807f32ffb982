package configuration

import (
	"cmp"
	"slices"

	"github.com/samber/lo"
	"github.com/zeebo/xxh3"

	"cicadapitch.example/cicadapitch"
)

const (
	// maxWatchers is the number of hosts that read and watch the store, so that
	// the load of the store does not grow with the number of hosts.
	maxWatchers = 3
	// pollInterval is the time between two store reads of a watcher. It bounds
	// the delay of a change if the watch delivers no events.
	pollInterval = 2 * cicadapitch.Second
	// fetchTimeout is the time after which a fetch counts as failed.
	fetchTimeout = 2 * cicadapitch.Second
	// fetchBackoff is the delay before a fetch is retried, multiplied by the
	// number of failures and limited to maxFetchBackoff. An ended watch is
	// restarted after the same delay.
	fetchBackoff = 200 * cicadapitch.Millis(1)
	// anyPeerFailures is the number of failed fetches after which any peer with
	// a higher revision is asked, not only those with the highest one.
	anyPeerFailures = 2
	maxFetchBackoff = 1 * cicadapitch.Second
	// peerWait is how long a starting host waits for confirmation by its peers
	// before it reads the store. A delay of up to startJitter, derived from the
	// host id, is added so that hosts that start together do not all read the
	// store at once.
	peerWait    = 1 * cicadapitch.Second
	startJitter = 2 * cicadapitch.Second
	// confirmingPeers is the number of ready peers with the same revision that
	// confirm it. If fewer peers are ready, all of them must have it.
	confirmingPeers = 2
)

// SyncState is the state of a Syncer. Next returns the state that follows a
// message.
type SyncState struct {
	Started cicadapitch.Instant
	// Revision is the revision in force at the latest Tick, 0 for none.
	Revision cicadapitch.Revision
	// Confirmed is true once the store or peers confirmed the revision of this
	// host.
	Confirmed bool

	watching  bool
	nextWatch cicadapitch.Instant
	reading   bool
	nextRead  cicadapitch.Instant

	fetching   bool
	fetchStart cicadapitch.Instant
	nextFetch  cicadapitch.Instant
	// failures is the number of failed fetches since the last successful one.
	failures int
	// fetchWhole is true if the deltas of the last fetch did not apply, so that
	// the next fetch asks for the whole configuration.
	fetchWhole bool
}

// NewSyncState returns the state of a host that starts at now.
func NewSyncState(now cicadapitch.Instant) SyncState { return SyncState{Started: now} }

// Next handles a message. It returns the new state and the commands to carry out.
// It has no side effects.
func Next(s SyncState, m Message) (SyncState, []Command) {
	switch m := m.(type) {
	case Tick:
		return s.tick(m)
	case FetchEnded:
		return s.fetchEnded(m), nil
	case ReadEnded:
		return s.readEnded(m)
	case WatchEnded:
		s.watching = false
		s.nextWatch = m.Now.Add(fetchBackoff)
		s.nextRead = min(s.nextRead, m.Now.Add(fetchBackoff))
		return s, nil
	case HeadChanged:
		s.nextRead = m.Now
		return s.readStore(m.Now)
	}
	return s, nil
}

func (s SyncState) tick(t Tick) (SyncState, []Command) {
	s.Revision = t.Revision
	var cmds, more []Command
	s, cmds = s.followStore(t)
	s, more = s.fetch(t)
	cmds = append(cmds, more...)
	if !s.Confirmed && confirmedByPeers(t) {
		s.Confirmed = true
		cmds = append(cmds, Confirm{})
	}
	return s, cmds
}

// followStore starts and stops the watch. It reads the store if this host is a
// watcher or was not confirmed by its peers in time.
func (s SyncState) followStore(t Tick) (SyncState, []Command) {
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
	if !watcher && !s.peerWaitOver(t) {
		return s, cmds
	}
	next, more := s.readStore(t.Now)
	return next, append(cmds, more...)
}

// peerWaitOver reports whether this host is not confirmed yet and has waited long
// enough for its peers, so that it must read the store itself.
func (s SyncState) peerWaitOver(t Tick) bool {
	if s.Confirmed {
		return false
	}
	jitter := cicadapitch.Millis(xxh3.HashString(string(t.Self.Host)) % uint64(startJitter))
	return t.Now >= s.Started.Add(peerWait+jitter)
}

// readStore starts a read of the store if one is due and none is running.
func (s SyncState) readStore(now cicadapitch.Instant) (SyncState, []Command) {
	if s.reading || now < s.nextRead {
		return s, nil
	}
	s.reading = true
	s.nextRead = now.Add(pollInterval)
	return s, []Command{ReadStore{}}
}

func (s SyncState) readEnded(m ReadEnded) (SyncState, []Command) {
	s.reading = false
	if m.Err != nil || m.StoredRevision == 0 || s.Confirmed {
		return s, nil
	}
	s.Confirmed = true
	return s, []Command{Confirm{}}
}

// fetch starts a fetch from a peer with a higher revision if one is due and none is
// running.
func (s SyncState) fetch(t Tick) (SyncState, []Command) {
	if s.fetching && t.Now >= s.fetchStart.Add(fetchTimeout) {
		s = s.fetchFailed(t.Now)
	}
	if s.fetching || t.Now < s.nextFetch {
		return s, nil
	}
	from, ok := s.pickPeer(t)
	if !ok {
		return s, nil
	}
	s.fetching, s.fetchStart = true, t.Now
	have := s.Revision
	if s.fetchWhole {
		have = 0
	}
	return s, []Command{Fetch{From: from, Have: have}}
}

func (s SyncState) fetchEnded(m FetchEnded) SyncState {
	s.fetching = false
	if m.Err != nil {
		s.fetchWhole = cicadapitch.KindOf(m.Err) == cicadapitch.Conflict
		return s.fetchFailed(m.Now)
	}
	s.failures, s.fetchWhole = 0, false
	return s
}

func (s SyncState) fetchFailed(now cicadapitch.Instant) SyncState {
	s.fetching = false
	s.failures++
	s.nextFetch = now.Add(min(maxFetchBackoff, fetchBackoff*cicadapitch.Millis(s.failures)))
	return s
}

// pickPeer returns a peer with a higher revision and whether there is one. The
// hash of this host's id selects among several candidates, so that the fetches of
// different hosts go to different peers. After each failure the next candidate is
// selected.
func (s SyncState) pickPeer(t Tick) (cicadapitch.Member, bool) {
	peers := lo.Filter(t.Members, func(m cicadapitch.Member, _ int) bool {
		return m.Host != t.Self.Host && m.Revision > s.Revision && reachable(m)
	})
	if len(peers) == 0 {
		return cicadapitch.Member{}, false
	}
	if s.failures < anyPeerFailures {
		peers = preferredPeers(t.Self, peers)
	}
	slices.SortFunc(peers, func(a, b cicadapitch.Member) int { return cmp.Compare(a.Host, b.Host) })
	i := xxh3.HashString(string(t.Self.Host)) + uint64(s.failures)
	return peers[i%uint64(len(peers))], true
}

// preferredPeers returns the peers with the highest revision. If any of them are in
// the region of self, it returns only those.
func preferredPeers(self cicadapitch.Member, peers []cicadapitch.Member) []cicadapitch.Member {
	highest := slices.MaxFunc(peers, func(a, b cicadapitch.Member) int { return cmp.Compare(a.Revision, b.Revision) })
	peers = lo.Filter(peers, func(m cicadapitch.Member, _ int) bool { return m.Revision == highest.Revision })
	sameRegion := lo.Filter(peers, func(m cicadapitch.Member, _ int) bool { return m.Region == self.Region })
	if len(sameRegion) > 0 {
		return sameRegion
	}
	return peers
}

// reachable reports whether a member is expected to answer.
func reachable(m cicadapitch.Member) bool {
	return m.State != cicadapitch.Suspect && m.State != cicadapitch.Dead
}

// confirmedByPeers reports whether enough ready peers have the revision of this
// host and no ready peer has a higher one.
func confirmedByPeers(t Tick) bool {
	ready, sameRevision := 0, 0
	for _, m := range t.Members {
		if m.Host == t.Self.Host || m.State != cicadapitch.Ready {
			continue
		}
		ready++
		if m.Revision > t.Revision {
			return false
		}
		if m.Revision == t.Revision {
			sameRevision++
		}
	}
	return t.Revision > 0 && ready > 0 && sameRevision >= min(confirmingPeers, ready)
}

// IsWatcher reports whether self is one of the hosts that read and watch the store.
// Rendezvous hashing selects them among the ready hosts, or among the starting
// hosts if none is ready.
func IsWatcher(self cicadapitch.Member, members []cicadapitch.Member) bool {
	state := cicadapitch.Starting
	if slices.ContainsFunc(members, func(m cicadapitch.Member) bool { return m.State == cicadapitch.Ready }) {
		state = cicadapitch.Ready
	}
	if self.State != state {
		return false
	}
	ownScore, higher := watcherScore(self.Host), 0
	for _, m := range members {
		if m.State == state && m.Host != self.Host && watcherScore(m.Host) > ownScore {
			higher++
		}
	}
	return higher < maxWatchers
}

// watcherScore is the rendezvous hash of a host. All hosts must use the same seed.
// The seed makes the selection independent of other hashes of host ids.
func watcherScore(h cicadapitch.HostID) uint64 {
	return xxh3.HashStringSeed(string(h), 0x77617463)
}
