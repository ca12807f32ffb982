package claim_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/claim"
)

// recoveryBound limits the time until every shard has an owner after the start or
// after a fault.
const recoveryBound = 10 * cicadapitch.Second

func TestEveryShardGetsOneOwner(t *testing.T) {
	f := newFleet(t, 8, 3, 40)
	f.waitForOwners(recoveryBound)
	f.run(20 * cicadapitch.Second)
	require.Len(t, f.holders(), 40)
	for shard, hosts := range f.holders() {
		owner, ok := f.hosts[0].claims.Owner(shard)
		require.True(t, ok)
		require.Equal(t, hosts[0].self.Host, owner.Host)
	}
}

func TestSteadyFleetCommitsNothing(t *testing.T) {
	f := newFleet(t, 8, 3, 40)
	f.waitForOwners(recoveryBound)
	f.run(20 * cicadapitch.Second)
	before := f.store.Calls()
	f.run(cicadapitch.Minute)
	after := f.store.Calls()
	require.Equal(t, before.Commit, after.Commit)
	require.Equal(t, before.Reads(), after.Reads())
	require.LessOrEqual(t, after.Renew-before.Renew, int64(8*31))
}

func TestShardsOfStoppedHostAreClaimedWithinSeconds(t *testing.T) {
	f := newFleet(t, 8, 3, 40)
	f.waitForOwners(recoveryBound)
	f.run(10 * cicadapitch.Second)
	stopped := f.hosts[3]
	before := stopped.claims.Owned()
	require.NotEmpty(t, before)
	stopped.stopped = true
	f.waitForOwners(recoveryBound)
	for _, c := range before {
		n, ok := f.holders()[c.Shard][0].claims.Holds(c.Shard)
		require.True(t, ok)
		require.Equal(t, c.Fencing+1, n, "the fencing number goes up by one")
	}
}

func TestPausedHostHoldsNoShardsOnResume(t *testing.T) {
	f := newFleet(t, 8, 3, 40)
	f.waitForOwners(recoveryBound)
	f.run(10 * cicadapitch.Second)
	paused := f.hosts[3]
	before := paused.claims.Owned()
	paused.paused = true
	f.run(20 * cicadapitch.Second)
	for _, c := range before {
		_, ok := paused.claims.Holds(c.Shard)
		require.False(t, ok, "held without a tick in between")
	}
	f.waitForOwners(recoveryBound)
	paused.paused = false
	f.run(30 * cicadapitch.Second)
	require.Equal(t, len(before), paused.losses)
	require.Len(t, f.holders(), 40)
}

func TestStoreOutageChangesNoOwner(t *testing.T) {
	f := newFleet(t, 8, 3, 40)
	f.waitForOwners(recoveryBound)
	f.run(20 * cicadapitch.Second)
	before := f.owners()
	hooks := f.hookCalls()
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
	require.Equal(t, hooks, f.hookCalls(), "no shard was lost or gained")
	list, _, err := f.store.List(t.Context(), "shards/")
	require.NoError(t, err)
	require.Len(t, list, 80, "all are claimed in the store again")
}

// Hosts renew their leases at different instants and so detect an outage one after
// another. Until the last one has, the earlier ones must not lose their shards.
func TestStoreOutageDetectedAtDifferentTimesChangesNoOwner(t *testing.T) {
	for _, slow := range []bool{false, true} {
		f := newFleet(t, 1, 3, 40)
		for range 7 {
			f.run(3 * tickStep)
			f.start(3)
		}
		f.run(cicadapitch.Minute)
		for range 8 {
			f.run(cicadapitch.Minute + tickStep)
			before, hooks := f.owners(), f.hookCalls()
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
			require.Equal(t, hooks, f.hookCalls())
			f.hosts[len(f.hosts)-1].stopped = true
		}
	}
}

// owners returns the first holder of each shard that has one.
func (f *fleet) owners() map[cicadapitch.ShardID]cicadapitch.HostID {
	owners := make(map[cicadapitch.ShardID]cicadapitch.HostID)
	for shard, hosts := range f.holders() {
		owners[shard] = hosts[0].self.Host
	}
	return owners
}

// hookCalls returns the number of OnGain and OnLoss calls on all hosts.
func (f *fleet) hookCalls() int {
	n := 0
	for _, h := range f.hosts {
		n += h.gains + h.losses
	}
	return n
}

// A host without a connection to the store or to any host cannot learn of changes of
// the configuration. It must give up its shards within 6 s, the time in which a change
// is in force on all other hosts.
func TestIsolatedHostStopsBeforeLeaseExpiry(t *testing.T) {
	f := newFleet(t, 8, 3, 40)
	f.waitForOwners(recoveryBound)
	f.run(10 * cicadapitch.Second)
	target := f.hosts[2]
	require.NotEmpty(t, target.claims.Owned())
	target.storeCut, target.isolated = true, true
	f.run(6 * cicadapitch.Second)
	require.Empty(t, target.claims.Owned())
	target.storeCut, target.isolated = false, false
	f.waitForOwners(recoveryBound)
}

// A host that cannot reach the store stays connected to the other hosts, which must
// still claim its shards.
func TestShardsOfHostWithoutStoreAreClaimedByOthers(t *testing.T) {
	f := newFleet(t, 8, 3, 40)
	f.waitForOwners(recoveryBound)
	f.run(10 * cicadapitch.Second)
	target := f.hosts[2]
	require.NotEmpty(t, target.claims.Owned())
	target.storeCut = true
	f.run(20 * cicadapitch.Second)
	holders := f.holders()
	for _, shard := range f.shards {
		require.Len(t, holders[shard], 1, "%s", shard)
		require.NotSame(t, target, holders[shard][0])
	}
}

func TestHostWithoutStoreReleasesShardsAndRejoins(t *testing.T) {
	f := newFleet(t, 8, 3, 40)
	f.waitForOwners(recoveryBound)
	f.run(10 * cicadapitch.Second)
	target := f.hosts[2]
	target.storeCut = true
	f.run(12 * cicadapitch.Second)
	require.Empty(t, target.claims.Owned())
	target.storeCut = false
	f.waitForOwners(recoveryBound)
}

func TestHostPausedInOutageRegainsShardsAfterDelay(t *testing.T) {
	f := newFleet(t, 8, 3, 40)
	f.waitForOwners(recoveryBound)
	f.run(10 * cicadapitch.Second)
	f.store.SetDown(true)
	f.run(20 * cicadapitch.Second)
	paused := f.hosts[4]
	n := len(paused.claims.Owned())
	paused.paused = true
	f.run(20 * cicadapitch.Second)
	paused.paused = false
	f.run(2 * cicadapitch.Second)
	require.Empty(t, paused.claims.Owned())
	f.run(recoveryBound)
	require.Len(t, paused.claims.Owned(), n)
	f.store.SetDown(false)
	f.run(20 * cicadapitch.Second)
	require.Len(t, f.holders(), 40)
}

func TestLostAnswersLeaveNoShardBlocked(t *testing.T) {
	f := newFleet(t, 8, 3, 40)
	for _, h := range f.hosts {
		h.loseAnswers = 2
	}
	f.waitForOwners(2 * recoveryBound)
	f.hosts[1].stopped = true
	for _, h := range f.hosts {
		h.loseAnswers = 2
	}
	f.waitForOwners(2 * recoveryBound)
}

func TestLeavingHostReleasesShardsWithOneCall(t *testing.T) {
	f := newFleet(t, 8, 3, 40)
	f.waitForOwners(recoveryBound)
	f.run(20 * cicadapitch.Second)
	leaving := f.hosts[5]
	leaving.self.State = cicadapitch.Leaving
	before := f.store.Calls()
	require.NoError(t, leaving.claims.ReleaseAll(t.Context()))
	require.Equal(t, before.Total()+1, f.store.Calls().Total())
	require.Empty(t, leaving.claims.Owned())
	require.LessOrEqual(t, f.waitForOwners(recoveryBound), 3*cicadapitch.Second)
	f.run(20 * cicadapitch.Second)
	require.Empty(t, leaving.claims.Owned())
}

func TestJoiningHostReceivesOnlyItsShare(t *testing.T) {
	f := newFleet(t, 8, 1, 200)
	f.waitForOwners(2 * recoveryBound)
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

// Hosts that each see only themselves as a member both try to claim every shard.
func TestHostsUnawareOfEachOtherGetOneOwnerPerShard(t *testing.T) {
	f := newFleet(t, 2, 1, 20)
	for _, h := range f.hosts {
		h.claims = claim.New(h, isolatedMembers{h}, f.configs, f.clock)
	}
	f.run(30 * cicadapitch.Second)
	require.Len(t, f.holders(), 20)
}

// Both hosts read that a shard is free before either commits its claim.
func TestConcurrentClaimsGetOneOwner(t *testing.T) {
	f := newFleet(t, 2, 1, 10)
	a, b := f.hosts[0], f.hosts[1]
	for _, h := range f.hosts {
		h.claims = claim.New(h, isolatedMembers{h}, f.configs, f.clock)
	}
	claimed := 0
	a.beforeCommit = func() {
		for range 4 {
			f.tick(b)
		}
		claimed = len(b.claims.Owned())
	}
	f.run(3 * cicadapitch.Second)
	require.Equal(t, 10, claimed)
	require.Empty(t, a.claims.Owned())
}

// A host claims shards but loses the answer and then the store. Its claims must not
// keep another host, the preferred owner by then, from owning the shards.
func TestClaimWithLostAnswerDoesNotBlockNextOwner(t *testing.T) {
	f := newFleet(t, 1, 1, 20)
	first := f.hosts[0]
	first.loseAnswers = 1
	first.afterCommit = func() { first.storeCut = true }
	f.run(2 * cicadapitch.Second)
	require.True(t, first.storeCut)
	require.Empty(t, first.claims.Owned())
	f.start(1)
	f.run(2 * cicadapitch.Second)
	first.storeCut = false
	f.waitForOwners(2 * recoveryBound)
	f.run(cicadapitch.Minute)
	require.NotEmpty(t, f.hosts[1].claims.Owned())
}

func TestRejectedCommitsAfterOutageLoseNoShard(t *testing.T) {
	f := newFleet(t, 8, 3, 40)
	f.waitForOwners(recoveryBound)
	f.run(20 * cicadapitch.Second)
	hooks := f.hookCalls()
	f.store.SetDown(true)
	f.run(20 * cicadapitch.Second)
	f.store.SetDown(false)
	for _, h := range f.hosts {
		h.rejectCommits = true
	}
	f.run(4 * cicadapitch.Second)
	for _, h := range f.hosts {
		h.rejectCommits = false
	}
	f.run(cicadapitch.Minute)
	require.Equal(t, hooks, f.hookCalls())
	require.Len(t, f.holders(), 40)
}

// isolatedMembers lists the host itself as the only member.
type isolatedMembers struct{ *host }

func (s isolatedMembers) Members() []cicadapitch.Member { return []cicadapitch.Member{s.self} }

// After any sequence of faults each shard has at most one holder, and exactly one
// once the faults have ended.
func TestRandomFaultsNeverGiveTwoHolders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rt, 6, 3, 12)
		f.waitForOwners(recoveryBound)
		for range rapid.IntRange(1, 8).Draw(rt, "faults") {
			h := f.hosts[rapid.IntRange(0, 5).Draw(rt, "host")]
			switch rapid.IntRange(0, 6).Draw(rt, "fault") {
			case 0:
				f.store.SetDown(true)
			case 1:
				f.store.SetDown(false)
			case 2:
				h.paused = !h.paused
			case 3:
				h.storeCut = !h.storeCut
			case 4:
				h.loseAnswers = 2
			case 5:
				h.stopped = true
			case 6:
				h.isolated = !h.isolated
			}
			f.run(cicadapitch.Millis(rapid.IntRange(1, 60).Draw(rt, "span")) * tickStep)
		}
		f.store.SetDown(false)
		for _, h := range f.hosts {
			h.storeCut, h.paused, h.isolated = false, false, false
		}
		f.hosts[0].stopped = false
		f.waitForOwners(6 * recoveryBound)
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
