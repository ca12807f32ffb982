package endpoint_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/endpoint"
	"cicadapitch.example/cicadapitch/quarantine"
)

// crashingDriver is a driver of engines that end under calls with the prefix or the input
// "bad". They are back when the call has returned.
type crashingDriver struct {
	*fakeDriver
	crashes *atomic.Int32
}

func newCrashingDriver(crashes *atomic.Int32) crashingDriver {
	d := crashingDriver{newFakeDriver(), crashes}
	d.answer = func(_ context.Context, c cicadapitch.Call, sink func(string)) (cicadapitch.CallResult, error) {
		if c.Prefix == "bad" || c.Input == "bad" {
			crashes.Add(1)
			return cicadapitch.CallResult{}, cicadapitch.NewOutcomeUnknown("the connection was reset")
		}
		sink("ab")
		return cicadapitch.CallResult{Output: "ab", Tokens: 1}, nil
	}
	return d
}

// Ended reports whether the endpoint has ended, as the drivers for engines do.
func (d crashingDriver) Ended(context.Context, cicadapitch.Endpoint) bool { return true }

// TestPrefixThatCrashesEnginesIsQuarantinedAtAllOwners guards against owners of shards that
// each let a prefix crash their endpoints, attempt after attempt.
func TestPrefixThatCrashesEnginesIsQuarantinedAtAllOwners(t *testing.T) {
	requireQuarantined(t, func(a *cicadapitch.Attempt) { a.Prefix = "bad" }, func(a *cicadapitch.Attempt) { a.Prefix = "sound" })
}

// TestRequestThatCrashesEnginesIsQuarantinedAtAllOwners is the same for repeats of a request
// without a prefix, beside others of the customer.
func TestRequestThatCrashesEnginesIsQuarantinedAtAllOwners(t *testing.T) {
	requireQuarantined(t, func(a *cicadapitch.Attempt) { a.Input = "bad" }, func(a *cicadapitch.Attempt) { a.Input = "sound" })
}

// requireQuarantined runs bad attempts, which crash endpoints, and sound ones at several
// owners in turn.
func requireQuarantined(t *testing.T, bad, sound func(*cicadapitch.Attempt)) {
	const owners = 4
	clock := cicadapitch.NewSystemClock()
	var crashes atomic.Int32
	var ledgers [owners]*quarantine.Ledger
	for i := range ledgers {
		ledgers[i] = quarantine.NewLedger()
	}
	tell := func(reports []quarantine.Report) {
		for _, l := range ledgers {
			l.Merge(clock.Now(), reports)
		}
	}
	var all [owners]*endpoint.Owner
	for i := range all {
		p := endpoint.StandardPolicy()
		p.TickInterval, p.ReportLag = 5, 0
		drivers := map[cicadapitch.PoolKind]cicadapitch.Driver{cicadapitch.Engine: newCrashingDriver(&crashes)}
		all[i] = endpoint.NewOwner(fixedConfiguration{testConfiguration(8, 4, 4)}, drivers, ownsAll, clock,
			endpoint.WithPolicy(p), endpoint.WithQuarantine(ledgers[i], tell))
		all[i].AddShard(cicadapitch.Claim{Shard: "sh", Fencing: 1})
		all[i].Start(t.Context())
	}
	var last error
	for n := range 40 {
		a := testAttempt(fmt.Sprint("bad", n))
		a.Idempotent = true
		bad(&a)
		_, last = all[n%owners].Run(t.Context(), a, func(cicadapitch.Chunk) {})
		b := testAttempt(fmt.Sprint("sound", n))
		sound(&b)
		_, err := all[n%owners].Run(t.Context(), b, func(cicadapitch.Chunk) {})
		require.NoError(t, err)
		time.Sleep(50 * time.Millisecond)
	}
	require.LessOrEqual(t, crashes.Load(), int32(5))
	require.Equal(t, cicadapitch.Invalid, cicadapitch.KindOf(last))
}
