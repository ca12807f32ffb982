package quarantine_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/quarantine"
)

const start cicadapitch.Instant = 1_000_000

// crash records a run that is sent and crashes its endpoint 50 ms later, at the instant
// after start.
func crash(l *quarantine.Ledger, at cicadapitch.Millis, parts ...string) {
	now := start.Add(at)
	l.RecordCrash(now, parts, quarantine.Crash{Endpoint: "e", SentAt: now.Add(-50), EndedAt: now})
	l.Judge(now, parts)
}

func stateOf(l *quarantine.Ledger, at cicadapitch.Millis, parts ...string) quarantine.State {
	_, state := l.Check(start.Add(at), parts)
	return state
}

func TestPartIsQuarantinedAfterIndependentCrashes(t *testing.T) {
	l := quarantine.NewLedger()
	require.Equal(t, quarantine.Clear, stateOf(l, 0, "bad"))
	for i := range 3 {
		require.NotEqual(t, quarantine.Quarantined, stateOf(l, 0, "bad"))
		crash(l, cicadapitch.Millis(i)*1000, "first", fmt.Sprint("session", i), "bad", fmt.Sprint("other", i))
		l.RecordAnswer(start.Add(cicadapitch.Millis(i)*1000+200), []string{"first"})
	}
	part, state := l.Check(start.Add(3000), []string{"first", "bad", "new"})
	require.Equal(t, quarantine.Quarantined, state)
	require.Equal(t, "bad", part)
	for i := range 3 {
		require.NotEqual(t, quarantine.Quarantined, stateOf(l, 3000, "first", fmt.Sprint("session", i)))
	}
}

// TestQuickRestartsCountSeparately guards against crashes of an endpoint that is back at once
// being taken for one: each run is sent after the one before has ended.
func TestQuickRestartsCountSeparately(t *testing.T) {
	l := quarantine.NewLedger()
	for i := range 3 {
		require.NotEqual(t, quarantine.Quarantined, stateOf(l, 1000, "bad"))
		crash(l, cicadapitch.Millis(i)*220, "bad")
	}
	require.Equal(t, quarantine.Quarantined, stateOf(l, 1000, "bad"))
}

// TestHeartbeatsDoNotCarryRequestsThatCrashedOnce guards against reports on all requests that
// were running when endpoints crashed, of which few ever come again.
func TestHeartbeatsDoNotCarryRequestsThatCrashedOnce(t *testing.T) {
	l := quarantine.NewLedger()
	for i := range 40 {
		crash(l, 0, quarantine.RequestKey(nil, fmt.Sprint("sound", i)))
	}
	repeated := quarantine.RequestKey(nil, "repeated")
	crash(l, 0, repeated)
	require.Empty(t, l.Reports(start.Add(10)))
	crash(l, 1000, repeated)
	reports := l.Reports(start.Add(1010))
	require.Len(t, reports, 1)
	require.Equal(t, repeated, reports[0].Part)
	require.Equal(t, 2, l.Crashes(repeated))
}

// TestEndpointsLostTogetherCountOnce ends many runs with one part at the same moment, as
// the loss of a zone does, also where the hosts see it at slightly different times.
func TestEndpointsLostTogetherCountOnce(t *testing.T) {
	l := quarantine.NewLedger()
	for i := range 20 {
		now := start.Add(cicadapitch.Millis(1000 + 5*i))
		l.RecordCrash(now, []string{"hot"}, quarantine.Crash{
			Endpoint: cicadapitch.EndpointID(fmt.Sprint(i)), SentAt: start.Add(cicadapitch.Millis(45 * i)), EndedAt: now,
		})
		l.Judge(now, []string{"hot"})
	}
	require.Equal(t, quarantine.Suspected, stateOf(l, 1200, "hot"))
	l.RecordAnswer(start.Add(1300), []string{"hot"})
	require.Equal(t, quarantine.Clear, stateOf(l, 1300, "hot"))
}

// TestOfPartsThatCrashTogetherTheLastIsQuarantined guards against the rejection of all
// requests of a session, or with a first part, for another part of some of them.
func TestOfPartsThatCrashTogetherTheLastIsQuarantined(t *testing.T) {
	l := quarantine.NewLedger()
	for i := range 4 {
		crash(l, cicadapitch.Millis(i)*1000, "first", "session", "bad")
	}
	require.Equal(t, quarantine.Quarantined, stateOf(l, 4000, "first", "session", "bad"))
	require.Equal(t, quarantine.Clear, stateOf(l, 4000, "first", "session"))
	for i := range 5 {
		crash(l, cicadapitch.Millis(5000+1000*i), "first", "session")
	}
	require.Equal(t, quarantine.Quarantined, stateOf(l, 10_000, "first", "session"), "the session crashes endpoints without the other part")
}

// TestPartsThatRunBesideABadOneAreSpared ends requests with a sound part together with bad
// ones at the same endpoints, while no endpoint lives long enough to answer.
func TestPartsThatRunBesideABadOneAreSpared(t *testing.T) {
	l, late := quarantine.NewLedger(), quarantine.NewLedger()
	for i := range 4 {
		now := start.Add(cicadapitch.Millis(400 * i))
		c := quarantine.Crash{Endpoint: cicadapitch.EndpointID(fmt.Sprint(i)), SentAt: now.Add(-50), EndedAt: now}
		if i > 0 {
			l.RecordCrash(now, []string{"sound"}, c)
			late.RecordCrash(now, []string{"sound"}, c)
			late.Judge(now, []string{"sound"})
		}
		l.RecordCrash(now, []string{"bad"}, c)
		l.Judge(now, []string{"sound"})
		l.Judge(now, []string{"bad"})
	}
	require.Equal(t, quarantine.Quarantined, stateOf(l, 1300, "bad"))
	require.Equal(t, quarantine.Clear, stateOf(l, 1300, "sound"))
	// A host that saw only the sound requests has drawn another conclusion until it hears
	// of the others.
	require.Equal(t, quarantine.Quarantined, stateOf(late, 1300, "sound"))
	late.Merge(start.Add(1320), l.Reports(start.Add(1300)))
	l.Merge(start.Add(1340), late.Reports(start.Add(1330)))
	for _, l := range []*quarantine.Ledger{l, late} {
		require.Equal(t, quarantine.Quarantined, stateOf(l, 1400, "bad"))
		require.Equal(t, quarantine.Clear, stateOf(l, 1400, "sound"))
	}
}

// TestSoundRunsAreJudgedAfterABadOneBesideThem lets a sound run with the first part of all
// prompts be judged before the bad one that ended with the same endpoints. No answer has come
// yet, so that both parts have the same crashes.
func TestSoundRunsAreJudgedAfterABadOneBesideThem(t *testing.T) {
	l := quarantine.NewLedger()
	sound, bad := []string{"first", "session"}, []string{"first", "bad"}
	for i := range 3 {
		now := start.Add(cicadapitch.Millis(i) * 1000)
		c := quarantine.Crash{Endpoint: "e", SentAt: now.Add(-50), EndedAt: now}
		sound[1] = fmt.Sprint("session", i)
		l.RecordCrash(now, sound, c)
		l.RecordCrash(now, bad, c)
		l.Judge(now, sound)
		require.NotEqual(t, quarantine.Quarantined, stateOf(l, cicadapitch.Millis(i)*1000, "first"))
		l.Judge(now, bad)
	}
	require.Equal(t, quarantine.Quarantined, stateOf(l, 2000, bad...))
	require.NotEqual(t, quarantine.Quarantined, stateOf(l, 2000, "first", "session1"))
	other := quarantine.NewLedger()
	other.Merge(start.Add(2010), l.Reports(start.Add(2010)))
	require.Equal(t, quarantine.Quarantined, stateOf(other, 2010, bad...))
	require.NotEqual(t, quarantine.Quarantined, stateOf(other, 2010, "first"))
}

// TestSoundRepeatsBesideABadOneAreSpared repeats a sound request that ends with the endpoints of
// a bad part of prompts, or of another request that comes more often, before any answer came.
func TestSoundRepeatsBesideABadOneAreSpared(t *testing.T) {
	sound := quarantine.RequestKey(nil, "sound")
	for _, bad := range [][]string{{"first", "bad", quarantine.RequestKey(nil, "own")}, {quarantine.RequestKey(nil, "bad")}} {
		l := quarantine.NewLedger()
		crash(l, 0, bad...)
		for i := range 3 {
			now := start.Add(cicadapitch.Millis(1000 + 1000*i))
			c := quarantine.Crash{Endpoint: "e", SentAt: now.Add(-50), EndedAt: now}
			keys := []string{"first", sound}
			l.RecordCrash(now, keys, c)
			l.RecordCrash(now, bad, c)
			l.Judge(now, keys)
			l.Judge(now, bad)
		}
		require.NotEqual(t, quarantine.Quarantined, stateOf(l, 3100, sound))
		require.Equal(t, quarantine.Quarantined, stateOf(l, 3100, bad...))
	}
}

// TestRequestIsQuarantinedOnceItCrashesAlone covers a bad request that came beside another one,
// which explained its crashes until it was quarantined.
func TestRequestIsQuarantinedOnceItCrashesAlone(t *testing.T) {
	l := quarantine.NewLedger()
	first, second := quarantine.RequestKey(nil, "first"), quarantine.RequestKey(nil, "second")
	for i := range 3 {
		now := start.Add(cicadapitch.Millis(1000 * i))
		c := quarantine.Crash{Endpoint: "e", SentAt: now.Add(-50), EndedAt: now}
		l.RecordCrash(now, []string{first}, c)
		l.RecordCrash(now, []string{second}, c)
		l.Judge(now, []string{first})
		l.Judge(now, []string{second})
	}
	crash(l, 4000, second)
	require.Equal(t, quarantine.Quarantined, stateOf(l, 4100, first))
	require.Equal(t, quarantine.Quarantined, stateOf(l, 4100, second))
}

func TestAnswerEndsAQuarantine(t *testing.T) {
	l, other := quarantine.NewLedger(), quarantine.NewLedger()
	for i := range 3 {
		crash(l, cicadapitch.Millis(i)*1000, "part")
	}
	other.Merge(start.Add(2100), l.Reports(start.Add(2100)))
	require.Equal(t, quarantine.Quarantined, stateOf(other, 2100, "part"))
	l.RecordAnswer(start.Add(3000), []string{"part"})
	require.Equal(t, quarantine.Clear, stateOf(l, 3000, "part"))
	// A report of a host that has not heard of the answer must not undo it.
	l.Merge(start.Add(3100), other.Reports(start.Add(3100)))
	other.Merge(start.Add(3100), l.Reports(start.Add(3100)))
	require.Equal(t, quarantine.Clear, stateOf(l, 3100, "part"))
	require.Equal(t, quarantine.Clear, stateOf(other, 3100, "part"))
}

// TestRelayedCrashCountsOnce relays one crash between two hosts, each time 40 ms later.
func TestRelayedCrashCountsOnce(t *testing.T) {
	a, b := quarantine.NewLedger(), quarantine.NewLedger()
	crash(a, 0, "part")
	for i := range 20 {
		at := cicadapitch.Millis(i) * 400
		b.Merge(start.Add(at+40), a.Reports(start.Add(at), "part"))
		a.Merge(start.Add(at+80), b.Reports(start.Add(at+40), "part"))
	}
	for _, l := range []*quarantine.Ledger{a, b} {
		require.Len(t, l.Reports(start.Add(9000), "part")[0].Crashes, 1)
	}
}

func TestQuarantineEndsAndMemoryIsBounded(t *testing.T) {
	l := quarantine.NewLedger()
	for i := range 3 {
		crash(l, cicadapitch.Millis(i)*1000, "bad")
	}
	for i := range 5000 {
		crash(l, cicadapitch.Millis(4000+i), fmt.Sprint(i))
	}
	require.LessOrEqual(t, len(l.Reports(start.Add(9000))), 64)
	known := 0
	for i := range 5000 {
		if stateOf(l, 9000, fmt.Sprint(i)) != quarantine.Clear {
			known++
		}
	}
	require.Less(t, known, 1024)
	require.Equal(t, quarantine.Quarantined, stateOf(l, 9000, "bad"), "other suspects do not displace it")
	require.Equal(t, quarantine.Clear, stateOf(l, 61*cicadapitch.Minute, "bad"))
}

// TestKeysOfPartsAreShort guards against callers who fill the memory with long ids.
func TestKeysOfPartsAreShort(t *testing.T) {
	long := strings.Repeat("x", 1<<16)
	require.Equal(t, "5c1e07a2", quarantine.Key("5c1e07a2"))
	require.LessOrEqual(t, len(quarantine.Key(long)), 64)
	require.Equal(t, quarantine.Key(long), quarantine.Key(long))
	require.NotEqual(t, quarantine.Key(long), quarantine.Key(long+"x"))
}

// TestOldSuspectsLeaveTheHeartbeats guards against heartbeats that carry, for good, the many
// parts of prompts which ran at one crashed endpoint.
func TestOldSuspectsLeaveTheHeartbeats(t *testing.T) {
	l := quarantine.NewLedger()
	for i := range 50 {
		crash(l, 0, fmt.Sprint(i))
	}
	require.Len(t, l.Reports(start.Add(1000)), 50)
	require.Empty(t, l.Reports(start.Add(3000)))
	require.Equal(t, quarantine.Suspected, stateOf(l, 3000, "7"))
	crash(l, 3000, "7")
	require.Len(t, l.Reports(start.Add(9000)), 1)
}

func TestOneTrialAtATime(t *testing.T) {
	trials := quarantine.NewTrials()
	require.True(t, trials.Begin(start, "part", "a"))
	require.False(t, trials.Begin(start.Add(100), "part", "b"))
	require.True(t, trials.Begin(start.Add(100), "other", "b"))
	trials.End("a")
	require.True(t, trials.Begin(start.Add(200), "part", "c"))
	require.True(t, trials.Begin(start.Add(200).Add(3*cicadapitch.Second), "part", "d"), "a trial whose end is not reported ends by itself")
}

// TestPartOfAllRequestsIsSparedWhileTheFleetIsDown crashes all endpoints under a bad part,
// again and again, so that no request is answered. All requests have the same first part,
// and sound ones are sent later than the bad ones that end them.
func TestPartOfAllRequestsIsSparedWhileTheFleetIsDown(t *testing.T) {
	l := quarantine.NewLedger()
	l.RecordAnswer(start.Add(-2000), []string{"first", "session"})
	for i := range 4 {
		now := start.Add(cicadapitch.Millis(400 * i))
		e := cicadapitch.EndpointID(fmt.Sprint(i))
		runs := map[string]quarantine.Crash{
			"bad":     {Endpoint: e, SentAt: now.Add(-500), EndedAt: now},
			"session": {Endpoint: e, SentAt: now.Add(-50), EndedAt: now},
		}
		for part, c := range runs {
			l.RecordCrash(now, []string{"first", part}, c)
		}
		for part := range runs {
			l.Judge(now.Add(100), []string{"first", part})
		}
	}
	require.NotEqual(t, quarantine.Quarantined, stateOf(l, 1400, "first", "session"))
	crash(l, 3000, "first", "bad")
	crash(l, 4000, "first", "bad")
	require.Equal(t, quarantine.Quarantined, stateOf(l, 4100, "bad"))
	require.Equal(t, quarantine.Clear, stateOf(l, 4100, "first", "session"))
}

// TestBadPartBetweenSharedOnesIsQuarantined guards against the quarantine of a later part that all requests share,
// and that was in answers, in place of the bad one before it.
func TestBadPartBetweenSharedOnesIsQuarantined(t *testing.T) {
	l := quarantine.NewLedger()
	l.RecordAnswer(start.Add(-5*cicadapitch.Minute), []string{"system", "document", "template"})
	for i := range 3 {
		crash(l, cicadapitch.Millis(i)*220, "system", "bad", "template")
	}
	require.Equal(t, quarantine.Quarantined, stateOf(l, 500, "system", "bad", "template"))
	require.Equal(t, quarantine.Clear, stateOf(l, 500, "system", "document", "template"))
}

// TestSharedPartIsTriedWithoutTheOtherOne guards against the rejection of all requests that share a part with bad ones,
// where nothing tells the two apart yet: a request with the one and not the other is tried, and its answer does.
func TestSharedPartIsTriedWithoutTheOtherOne(t *testing.T) {
	l := quarantine.NewLedger()
	bad, sound := []string{"system", "bad", "template"}, []string{"system", "document", "template"}
	for i := range 3 {
		crash(l, cicadapitch.Millis(i)*220, bad...)
	}
	require.Equal(t, quarantine.Quarantined, stateOf(l, 500, bad...))
	part, state := l.Check(start.Add(500), sound)
	require.Equal(t, quarantine.Suspected, state)
	require.True(t, l.AllowsTrial(start.Add(700), part, sound...))
	require.False(t, l.AllowsTrial(start.Add(700), part, bad...))
	other := quarantine.NewLedger()
	other.Merge(start.Add(700), l.Reports(start.Add(700)))
	l.RecordAnswer(start.Add(1200), sound)
	other.Merge(start.Add(1300), l.Reports(start.Add(1300)))
	for _, l := range []*quarantine.Ledger{l, other} {
		require.Equal(t, quarantine.Clear, stateOf(l, 1300, sound...))
		require.Equal(t, quarantine.Quarantined, stateOf(l, 1300, bad...))
	}
}

// TestFailedTrialEndsTheDoubt guards against more and more requests that are tried with a part that does crash endpoints.
func TestFailedTrialEndsTheDoubt(t *testing.T) {
	l := quarantine.NewLedger()
	for i := range 3 {
		crash(l, cicadapitch.Millis(i)*220, "system", "document", "bad")
	}
	require.Equal(t, quarantine.Suspected, stateOf(l, 500, "system", "other", "bad"))
	crash(l, 1500, "system", "other", "bad")
	require.Equal(t, quarantine.Quarantined, stateOf(l, 1600, "system", "other", "bad"))
	require.Equal(t, quarantine.Quarantined, stateOf(l, 1600, "system", "new", "bad"))
}
