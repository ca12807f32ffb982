package claim_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/claim"
)

// seconds is the bound for a shard to have an owner again.
const seconds = 10 * cicadapitch.Second

func TestEveryShardGetsOneOwner(t *testing.T) {
	f := newFleet(t, 8, 3, 40)
	f.settle(seconds)
	f.run(20 * cicadapitch.Second)
	require.Len(t, f.holders(), 40)
	for shard, hosts := range f.holders() {
		owner, ok := f.hosts[0].claims.Owner(shard)
		require.True(t, ok)
		require.Equal(t, hosts[0].self.Host, owner.Host)
	}
}

func TestSteadyFleetMakesNoClaims(t *testing.T) {
	f := newFleet(t, 8, 3, 40)
	f.settle(seconds)
	f.run(20 * cicadapitch.Second)
	before := f.store.Calls()
	f.run(cicadapitch.Minute)
	after := f.store.Calls()
	require.Equal(t, before.Commit, after.Commit)
	require.Equal(t, before.Reads(), after.Reads())
	require.LessOrEqual(t, after.Renew-before.Renew, int64(8*31))
}

func TestShardsOfADeadHostAreClaimedWithinSeconds(t *testing.T) {
	f := newFleet(t, 8, 3, 40)
	f.settle(seconds)
	f.run(10 * cicadapitch.Second)
	dead := f.hosts[3]
	was := dead.claims.Owned()
	require.NotEmpty(t, was)
	dead.dead = true
	f.settle(seconds)
	for _, c := range was {
		n, ok := f.holders()[c.Shard][0].claims.Holds(c.Shard)
		require.True(t, ok)
		require.Equal(t, c.Fencing+1, n, "the fencing number goes up by one")
	}
}

func TestPausedOwnerHoldsNothingWhenItResumes(t *testing.T) {
	f := newFleet(t, 8, 3, 40)
	f.settle(seconds)
	f.run(10 * cicadapitch.Second)
	paused := f.hosts[3]
	was := paused.claims.Owned()
	paused.frozen = true
	f.run(20 * cicadapitch.Second)
	for _, c := range was {
		_, ok := paused.claims.Holds(c.Shard)
		require.False(t, ok, "held without a tick in between")
	}
	f.settle(seconds)
	paused.frozen = false
	f.run(30 * cicadapitch.Second)
	require.Equal(t, len(was), paused.loss)
	require.Len(t, f.holders(), 40)
}

func TestOutageChangesNoOwnerAndResetsNone(t *testing.T) {
	f := newFleet(t, 8, 3, 40)
	f.settle(seconds)
	f.run(20 * cicadapitch.Second)
	before := f.owners()
	gains := f.hooks()
	f.store.SetDown(true)
	for range 600 {
		f.run(cicadapitch.Second)
		require.Equal(t, before, f.owners())
	}
	f.store.SetDown(false)
	for range 60 {
		f.run(cicadapitch.Second)
		require.Equal(t, before, f.owners())
	}
	require.Equal(t, gains, f.hooks(), "no shard was lost or gained")
	list, _, err := f.store.List(t.Context(), "shards/")
	require.NoError(t, err)
	require.Len(t, list, 80, "all are claimed in the store again")
}

// The hosts renew at different instants and hear of the outage one by one.
func TestOutageThatHostsNoticeOneByOneChangesNoOwner(t *testing.T) {
	for _, slow := range []bool{false, true} {
		f := newFleet(t, 1, 3, 40)
		for range 7 {
			f.run(3 * step)
			f.start(3)
		}
		f.run(cicadapitch.Minute)
		for range 8 {
			f.run(cicadapitch.Minute + step)
			before, hooks := f.owners(), f.hooks()
			f.slow = slow
			f.store.SetDown(true)
			f.run(30 * cicadapitch.Second)
			require.Equal(t, before, f.owners())
			f.start(3)
			f.run(30 * cicadapitch.Second)
			require.Equal(t, before, f.owners(), "a host that starts in the outage changes nothing")
			f.slow = false
			f.store.SetDown(false)
			f.run(4 * cicadapitch.Second)
			require.Equal(t, hooks, f.hooks())
			f.hosts[len(f.hosts)-1].dead = true
		}
	}
}

// owners names the holder of each shard.
func (f *fleet) owners() map[cicadapitch.ShardID]cicadapitch.HostID {
	owners := make(map[cicadapitch.ShardID]cicadapitch.HostID)
	for shard, hosts := range f.holders() {
		owners[shard] = hosts[0].self.Host
	}
	return owners
}

// hooks counts the calls of the hooks of all hosts.
func (f *fleet) hooks() int {
	n := 0
	for _, h := range f.hosts {
		n += h.gains + h.loss
	}
	return n
}

// TestIsolatedHostStopsBeforeItsLeaseEnds cuts a host off from the store and
// from all hosts. It must stop within the bound for a change to be in force.
func TestIsolatedHostStopsBeforeItsLeaseEnds(t *testing.T) {
	f := newFleet(t, 8, 3, 40)
	f.settle(seconds)
	f.run(10 * cicadapitch.Second)
	cut := f.hosts[2]
	require.NotEmpty(t, cut.claims.Owned())
	cut.cut, cut.alone = true, true
	f.run(6 * cicadapitch.Second)
	require.Empty(t, cut.claims.Owned())
	cut.cut, cut.alone = false, false
	f.settle(seconds)
}

// TestShardsOfAHostCutFromTheStoreAreClaimedByOthers leaves the host cut off from
// the store, heard by its peers all the time.
func TestShardsOfAHostCutFromTheStoreAreClaimedByOthers(t *testing.T) {
	f := newFleet(t, 8, 3, 40)
	f.settle(seconds)
	f.run(10 * cicadapitch.Second)
	cut := f.hosts[2]
	require.NotEmpty(t, cut.claims.Owned())
	cut.cut = true
	f.run(20 * cicadapitch.Second)
	holders := f.holders()
	for _, shard := range f.shards {
		require.Len(t, holders[shard], 1, "%s", shard)
		require.NotSame(t, cut, holders[shard][0])
	}
}

func TestHostCutOffAloneStopsAndIsReplaced(t *testing.T) {
	f := newFleet(t, 8, 3, 40)
	f.settle(seconds)
	f.run(10 * cicadapitch.Second)
	cut := f.hosts[2]
	cut.cut = true
	f.run(12 * cicadapitch.Second)
	require.Empty(t, cut.claims.Owned())
	cut.cut = false
	f.settle(seconds)
}

func TestHostFrozenInAnOutageCarriesOnAfterItHasHeardItsPeers(t *testing.T) {
	f := newFleet(t, 8, 3, 40)
	f.settle(seconds)
	f.run(10 * cicadapitch.Second)
	f.store.SetDown(true)
	f.run(20 * cicadapitch.Second)
	frozen := f.hosts[4]
	n := len(frozen.claims.Owned())
	frozen.frozen = true
	f.run(20 * cicadapitch.Second)
	frozen.frozen = false
	f.run(2 * cicadapitch.Second)
	require.Empty(t, frozen.claims.Owned())
	f.run(seconds)
	require.Len(t, frozen.claims.Owned(), n)
	f.store.SetDown(false)
	f.run(20 * cicadapitch.Second)
	require.Len(t, f.holders(), 40)
}

func TestLostAnswersLeaveNoShardBlocked(t *testing.T) {
	f := newFleet(t, 8, 3, 40)
	for _, h := range f.hosts {
		h.lose = 2
	}
	f.settle(2 * seconds)
	f.hosts[1].dead = true
	for _, h := range f.hosts {
		h.lose = 2
	}
	f.settle(2 * seconds)
}

func TestHandOverTakesOneCallAndASecondOrTwo(t *testing.T) {
	f := newFleet(t, 8, 3, 40)
	f.settle(seconds)
	f.run(20 * cicadapitch.Second)
	leaving := f.hosts[5]
	leaving.self.State = cicadapitch.Leaving
	before := f.store.Calls()
	require.NoError(t, leaving.claims.ReleaseAll(t.Context()))
	require.Equal(t, before.Total()+1, f.store.Calls().Total())
	require.Empty(t, leaving.claims.Owned())
	require.LessOrEqual(t, f.settle(seconds), 3*cicadapitch.Second)
	f.run(20 * cicadapitch.Second)
	require.Empty(t, leaving.claims.Owned())
}

func TestJoiningHostTakesOnlyItsShare(t *testing.T) {
	f := newFleet(t, 8, 1, 200)
	f.settle(2 * seconds)
	f.run(30 * cicadapitch.Second)
	before := f.owners()
	joined := f.start(1)
	f.run(2 * cicadapitch.Minute)
	after := f.owners()
	require.Len(t, after, 200)
	moved := 0
	for shard, owner := range after {
		if owner != before[shard] {
			moved++
			require.Equal(t, joined.self.Host, owner)
		}
	}
	require.Equal(t, moved, len(joined.claims.Owned()))
	require.Less(t, moved, 2*200/9)
	require.Positive(t, moved)
}

// Two hosts that see only themselves both want every shard.
func TestTwoHostsThatBothWantAShardGetOneOwner(t *testing.T) {
	f := newFleet(t, 2, 1, 20)
	for _, h := range f.hosts {
		h.claims = claim.New(h, solitary{h}, f.cfg, f.clock)
	}
	f.run(30 * cicadapitch.Second)
	require.Len(t, f.holders(), 20)
}

// Both hosts read that a shard is free before either writes.
func TestClaimsThatCrossGetOneOwner(t *testing.T) {
	f := newFleet(t, 2, 1, 10)
	a, b := f.hosts[0], f.hosts[1]
	for _, h := range f.hosts {
		h.claims = claim.New(h, solitary{h}, f.cfg, f.clock)
	}
	crossed := 0
	a.before = func() {
		for range 4 {
			f.act(b)
		}
		crossed = len(b.claims.Owned())
	}
	f.run(3 * cicadapitch.Second)
	require.Equal(t, 10, crossed)
	require.Empty(t, a.claims.Owned())
}

// A claim whose answer was lost must not block the host that should own the
// shard by then.
func TestClaimThatIsNotKnownOfIsGivenUp(t *testing.T) {
	f := newFleet(t, 1, 1, 20)
	first := f.hosts[0]
	first.lose = 1
	first.after = func() { first.cut = true }
	f.run(2 * cicadapitch.Second)
	require.True(t, first.cut)
	require.Empty(t, first.claims.Owned())
	f.start(1)
	f.run(2 * cicadapitch.Second)
	first.cut = false
	f.settle(2 * seconds)
	f.run(cicadapitch.Minute)
	require.NotEmpty(t, f.hosts[1].claims.Owned())
}

func TestStoreThatComesBackSlowlyLosesNoShard(t *testing.T) {
	f := newFleet(t, 8, 3, 40)
	f.settle(seconds)
	f.run(20 * cicadapitch.Second)
	hooks := f.hooks()
	f.store.SetDown(true)
	f.run(20 * cicadapitch.Second)
	f.store.SetDown(false)
	for _, h := range f.hosts {
		h.refuses = true
	}
	f.run(4 * cicadapitch.Second)
	for _, h := range f.hosts {
		h.refuses = false
	}
	f.run(cicadapitch.Minute)
	require.Equal(t, hooks, f.hooks())
	require.Len(t, f.holders(), 40)
}

type solitary struct{ *host }

func (s solitary) Members() []cicadapitch.Member { return []cicadapitch.Member{s.self} }

// Any order of faults must leave each shard with at most one holder, and with
// exactly one once the faults are over.
func TestFaultsInAnyOrderNeverMakeTwoHolders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rt, 6, 3, 12)
		f.settle(seconds)
		for range rapid.IntRange(1, 8).Draw(rt, "faults") {
			h := f.hosts[rapid.IntRange(0, 5).Draw(rt, "host")]
			switch rapid.IntRange(0, 6).Draw(rt, "fault") {
			case 0:
				f.store.SetDown(true)
			case 1:
				f.store.SetDown(false)
			case 2:
				h.frozen = !h.frozen
			case 3:
				h.cut = !h.cut
			case 4:
				h.lose = 2
			case 5:
				h.dead = true
			case 6:
				h.alone = !h.alone
			}
			f.run(cicadapitch.Millis(rapid.IntRange(1, 60).Draw(rt, "span")) * step)
		}
		f.store.SetDown(false)
		for _, h := range f.hosts {
			h.cut, h.frozen, h.alone = false, false, false
		}
		f.hosts[0].dead = false
		f.settle(6 * seconds)
	})
}

func FuzzDecodeRecord(f *testing.F) {
	b, _ := claim.EncodeRecord(claim.Record{Host: "h", Incarnation: 1, Fencing: 2})
	for _, seed := range [][]byte{b, b[:3], {}, {0xbf}, {0xa1, 0x64, 'H', 'o', 's', 't', 0x01}} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := claim.DecodeRecord(b)
		if err != nil {
			return
		}
		again, err := claim.EncodeRecord(r)
		require.NoError(t, err)
		back, err := claim.DecodeRecord(again)
		require.NoError(t, err)
		require.Equal(t, r, back)
	})
}
