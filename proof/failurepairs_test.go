package proof_test

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/settings"
)

// failure is a kind of failure. inject causes it and returns a function that
// reverts it.
type failure struct {
	name   string
	inject func(f *fleet, relays []*relay, rnd *rand.Rand) (undo func())
}

// pairDuration is how long the two failures overlap. It is longer than a lease.
const pairDuration = 5 * time.Second

// pairSeed is the seed of the random choice of hosts, zones and delays.
const pairSeed = 20261203

var storeOutage = failure{"store outage", func(f *fleet, _ []*relay, _ *rand.Rand) func() {
	f.Store.SetDown(true)
	return func() { f.Store.SetDown(false) }
}}

var hostKill = failure{"host kill", func(f *fleet, _ []*relay, rnd *rand.Rand) func() {
	i := rnd.IntN(len(f.hosts))
	f.hosts[i].kill()
	return func() { f.replace(i) }
}}

var hostFreeze = failure{"host freeze", func(f *fleet, _ []*relay, rnd *rand.Rand) func() {
	p := f.hosts[rnd.IntN(len(f.hosts))]
	p.signal(syscall.SIGSTOP)
	return func() { p.signal(syscall.SIGCONT) }
}}

var silentConnections = failure{"silent connections", func(_ *fleet, relays []*relay, _ *rand.Rand) func() {
	for _, r := range relays {
		r.silence()
	}
	// Connections opened later work, so there is nothing to revert.
	return func() {}
}}

var zoneOut = failure{"zone out", func(f *fleet, _ []*relay, rnd *rand.Rand) func() {
	zone := cicadapitch.ZoneID([]string{"a", "b", "c"}[rnd.IntN(3)])
	f.orderAnywhere(zoneOrder("pair-zone-out", zone, true))
	return func() { f.orderAnywhere(zoneOrder("pair-zone-back", zone, false)) }
}}

// orderAnywhere sends a zone order to the hosts in turn until one accepts it. If
// none does, the order is dropped.
func (f *fleet) orderAnywhere(body any) {
	for i := range f.hosts {
		if _, err := f.order(i, "zone", body); err == nil {
			return
		}
	}
}

// TestFailurePairs injects each pair of failures under load, the second up to 0.5
// seconds after the first. Answers must be complete, bookings must be made at most
// once, and all hosts must end up with the same revision.
func TestFailurePairs(t *testing.T) {
	kinds := []failure{storeOutage, hostKill, hostFreeze, silentConnections, zoneOut}
	for i, first := range kinds {
		for _, second := range kinds[i+1:] {
			t.Run(first.name+" and "+second.name, func(t *testing.T) { testFailurePair(t, first, second) })
		}
	}
}

func testFailurePair(t *testing.T, first, second failure) {
	var relays []*relay
	f := newFleet(t, func(hosts []*settings.Settings) { relays = relayPeers(t, hosts) })
	rnd := rand.New(rand.NewPCG(pairSeed, uint64(len(first.name)*31+len(second.name))))
	l := startLoad(f, loadWorkers)
	watch := watchRevisions(f)
	time.Sleep(time.Second)
	undoFirst := first.inject(f, relays, rnd)
	time.Sleep(time.Duration(rnd.IntN(500)) * time.Millisecond)
	undoSecond := second.inject(f, relays, rnd)
	time.Sleep(pairDuration)
	undoFirst()
	undoSecond()
	f.awaitReady()
	results := l.stop()
	watch.stop(t)
	requireCompleteAnswers(t, results)
	requireBookingsMatchResults(t, f, results)
	requireNoColdOverload(t, f)
	requireSameRevision(t, f)
	requireDocumentedErrorKinds(t, results)
	t.Logf("%d requests, %d failed", len(results), len(failedRequests(results)))
}

// requireSameRevision checks that all hosts apply the same revision within
// maxTimeInForce.
func requireSameRevision(t *testing.T, f *fleet) {
	t.Helper()
	same := func() bool {
		revisions := map[cicadapitch.Revision]bool{}
		for i := range f.hosts {
			revisions[f.configuration(i).Revision] = true
		}
		return len(revisions) == 1
	}
	require.Eventually(t, same, maxTimeInForce, 50*time.Millisecond)
}

// requireDocumentedErrorKinds checks that each failed request failed with NotRun,
// OutcomeUnknown, DeadlineExceeded or Unavailable. The stages of the pipeline
// "answer" are idempotent, so its requests must not fail with OutcomeUnknown.
func requireDocumentedErrorKinds(t *testing.T, results []requestResult) {
	t.Helper()
	kinds := []cicadapitch.Kind{
		cicadapitch.NotRun, cicadapitch.OutcomeUnknown, cicadapitch.DeadlineExceeded, cicadapitch.Unavailable,
	}
	for _, r := range failedRequests(results) {
		require.Contains(t, kinds, cicadapitch.KindOf(r.err), fmt.Sprint(r.err))
		if r.request.Pipeline == "answer" {
			require.NotEqual(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(r.err))
		}
	}
	t.Log(lo.CountValuesBy(failedRequests(results), func(r requestResult) string {
		return string(r.request.Pipeline) + " " + cicadapitch.KindOf(r.err).String()
	}))
}
