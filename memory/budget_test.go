package memory_test

import (
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/memory"
)

const kb, mb cicadapitch.Bytes = 1 << 10, 1 << 20

// accounts is a Budget beside accounts of the test's own.
type accounts struct {
	b        *memory.Budget
	limit    cicadapitch.Bytes
	now      cicadapitch.Instant
	reserved map[memory.ID]cicadapitch.Bytes
	waits    map[memory.ID]memory.Wait
	shed     map[memory.ID]bool
}

func (a *accounts) drawID(t *rapid.T) memory.ID {
	if len(a.reserved) == 0 {
		return 0
	}
	return rapid.SampledFrom(slices.Sorted(maps.Keys(a.reserved))).Draw(t, "id")
}

func drawSize(t *rapid.T) cicadapitch.Bytes {
	return rapid.SampledFrom([]cicadapitch.Bytes{-1, 0, 1, kb, 64 * kb, mb, 40 * mb}).Draw(t, "size")
}

func (a *accounts) open(t *rapid.T) {
	n := max(drawSize(t), 0)
	if id, ok := a.b.Open(a.now, n); ok {
		require.NotZero(t, id)
		a.reserved[id] = n
	}
}

func (a *accounts) reserve(t *rapid.T) {
	id, n := a.drawID(t), drawSize(t)
	if a.b.Reserve(id, n, rapid.SampledFrom(memory.PurposeValues()).Draw(t, "purpose")) {
		a.reserved[id] += n
	}
}

func (a *accounts) release(t *rapid.T) {
	id, n := a.drawID(t), drawSize(t)
	a.b.Release(id, n)
	if id != 0 {
		a.reserved[id] = max(a.reserved[id]-max(n, 0), 0)
	}
}

func (a *accounts) wait(t *rapid.T) {
	id := a.drawID(t)
	w := memory.Wait{Took: 250, Moved: max(drawSize(t), 0), Queued: max(drawSize(t), 0)}
	a.b.Observe(id, w)
	if id != 0 {
		a.waits[id] = memory.Wait{Took: a.waits[id].Took + w.Took, Moved: a.waits[id].Moved + w.Moved, Queued: w.Queued}
	}
}

func (a *accounts) forgetWaits(t *rapid.T) {
	id := a.drawID(t)
	a.b.ForgetWaits(id)
	delete(a.waits, id)
}

func (a *accounts) nextShed(t *rapid.T) {
	a.now = a.now.Add(10)
	s, ok := a.b.NextShed(a.now)
	if !ok {
		return
	}
	require.Positive(t, a.limit)
	require.False(t, a.shed[s.ID], "shed twice")
	a.shed[s.ID] = true
	require.Less(t, int64(s.Moved)*1000/int64(s.Waited), int64(16*kb), "the other side is fast")
	require.Equal(t, a.waits[s.ID], memory.Wait{Took: s.Waited, Moved: s.Moved, Queued: s.Queued})
}

func (a *accounts) close(t *rapid.T) {
	id := a.drawID(t)
	a.b.Close(id)
	delete(a.reserved, id)
	delete(a.waits, id)
}

func (a *accounts) check(t *rapid.T) {
	sum, queued := cicadapitch.Bytes(0), cicadapitch.Bytes(0)
	for _, n := range a.reserved {
		sum += n
	}
	for _, w := range a.waits {
		queued += w.Queued
	}
	require.Equal(t, sum, a.b.Reserved())
	require.Equal(t, sum+queued, a.b.Held())
	require.True(t, a.limit == 0 || sum <= a.limit)
	require.Equal(t, len(a.reserved), a.b.Requests())
}

// TestBudgetKeepsItsAccounts lets requests reserve, release and wait at random. It guards against accounts
// that become negative, exceed the limit or are not empty once all requests have ended, and against requests
// that are shed twice or although the other side is fast.
func TestBudgetKeepsItsAccounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.SampledFrom([]cicadapitch.Bytes{0, 3 * kb, mb, 36 * mb}).Draw(t, "limit")
		a := &accounts{
			b: memory.NewBudget(limit), limit: limit, reserved: map[memory.ID]cicadapitch.Bytes{},
			waits: map[memory.ID]memory.Wait{}, shed: map[memory.ID]bool{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": a.open, "reserve": a.reserve, "release": a.release, "wait": a.wait,
			"forgetWaits": a.forgetWaits, "shed": a.nextShed, "close": a.close, "": a.check,
		})
		for id := range a.reserved {
			a.b.Close(id)
		}
		require.Zero(t, a.b.Held())
	})
}

// TestSmallRequestsDoNotStarve guards against long bodies and buffered answers that leave no room for short
// requests.
func TestSmallRequestsDoNotStarve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.SampledFrom([]cicadapitch.Bytes{36 * mb, 134 * mb}).Draw(t, "limit")
		b := memory.NewBudget(limit)
		small := cicadapitch.Bytes(0)
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			id, ok := b.Open(0, 32*kb)
			require.True(t, ok)
			small += 32 * kb
			for range rapid.IntRange(0, 6).Draw(t, "steps") {
				n := cicadapitch.Bytes(rapid.IntRange(int(33*kb), int(64*mb)).Draw(t, "n"))
				b.Reserve(id, n, rapid.SampledFrom(memory.PurposeValues()).Draw(t, "purpose"))
			}
			// What the kernel holds must not get requests rejected either.
			b.Observe(id, memory.Wait{Took: 100, Queued: mb})
		}
		// Three eighths of the limit are left for requests of up to SmallHolding.
		for left := limit/8*3 - small; left >= memory.SmallHolding; left -= memory.SmallHolding {
			_, ok := b.Open(0, memory.SmallHolding)
			require.True(t, ok)
		}
	})
}

// replayedRequest is a request of TestSlowestAreShedFirst.
type replayedRequest struct {
	bytesPerSecond cicadapitch.Bytes
	holds          cicadapitch.Bytes
}

// TestSlowestAreShedFirst replays 500 callers at 1 KB/s and 100 endpoints that take nothing beside sound
// requests on a host of 144 MB. It guards against hosts that shed sound requests, shed more than they need to or
// keep more than the limit.
func TestSlowestAreShedFirst(t *testing.T) {
	const limit cicadapitch.Bytes = 36 * mb
	b := memory.NewBudget(limit)
	requests := map[memory.ID]replayedRequest{}
	open := func(n int, r replayedRequest) {
		for range n {
			id, ok := b.Open(0, 32*kb)
			if !ok || !b.Reserve(id, r.holds, memory.Required) {
				b.Close(id)
				continue
			}
			requests[id] = r
		}
	}
	open(100, replayedRequest{0, 64 * kb})
	open(500, replayedRequest{kb, 8 * kb})
	open(60, replayedRequest{mb, 16 * kb})
	shed := map[cicadapitch.Bytes]int{}
	for now := cicadapitch.Instant(250); now < 5000; now += 250 {
		for id, r := range requests {
			queued := cicadapitch.Bytes(0)
			if r.bytesPerSecond < 16*kb {
				queued = 100 * kb
			}
			b.Observe(id, memory.Wait{Took: 250, Moved: r.bytesPerSecond / 4, Queued: queued})
		}
		for s, ok := b.NextShed(now); ok; s, ok = b.NextShed(now) {
			shed[requests[s.ID].bytesPerSecond]++
			b.Close(s.ID)
			delete(requests, s.ID)
		}
		if now >= 500 {
			require.LessOrEqual(t, b.Held(), cicadapitch.Bytes(limit))
		}
	}
	t.Logf("shed by speed: %v, %d KB held", shed, b.Held()/kb)
	require.Zero(t, shed[mb], "sound requests")
	require.Equal(t, 100, shed[0], "those that take nothing come first")
	require.Less(t, shed[kb], 500, "slow callers stay as long as there is room")
	require.Greater(t, b.Held(), limit/2)
}

// TestNothingIsShedFarFromTheLimit guards against slow requests that are given up although there is room.
func TestNothingIsShedFarFromTheLimit(t *testing.T) {
	for _, limit := range []cicadapitch.Bytes{0, 36 * mb} {
		b := memory.NewBudget(limit)
		for range 200 {
			id, ok := b.Open(0, 32*kb)
			require.True(t, ok)
			b.Observe(id, memory.Wait{Took: cicadapitch.Minute, Queued: 64 * kb})
		}
		_, ok := b.NextShed(1000)
		require.False(t, ok)
	}
}
