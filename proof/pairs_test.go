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

// failure brings something about and returns how it is undone.
type failure struct {
	name  string
	bring func(f *fleet, relays []*relay, rnd *rand.Rand) (undo func())
}

// pairSpan is how long a pair of failures lasts, longer than a lease.
const pairSpan = 5 * time.Second

// pairSeed fixes which hosts fail and how far apart.
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
	return func() {}
}}

var zoneOut = failure{"zone out", func(f *fleet, _ []*relay, rnd *rand.Rand) func() {
	zone := cicadapitch.ZoneID([]string{"a", "b", "c"}[rnd.IntN(3)])
	f.orderAnywhere(zoneOrder("pair-zone-out", zone, true))
	return func() { f.orderAnywhere(zoneOrder("pair-zone-back", zone, false)) }
}}

// orderAnywhere gives an order at the first host that takes it, if any does.
func (f *fleet) orderAnywhere(body any) {
	for i := range f.hosts {
		if _, err := f.order(i, "zone", body); err == nil {
			return
		}
	}
}

// TestTwoFailuresTogether brings about each pair of failures under load, a
// random moment apart.
func TestTwoFailuresTogether(t *testing.T) {
	all := []failure{storeOutage, hostKill, hostFreeze, silentConnections, zoneOut}
	for i, first := range all {
		for _, second := range all[i+1:] {
			t.Run(first.name+" and "+second.name, func(t *testing.T) { provePair(t, first, second) })
		}
	}
}

func provePair(t *testing.T, first, second failure) {
	var relays []*relay
	f := newFleet(t, func(hosts []*settings.Settings) { relays = relayPeers(t, hosts) })
	rnd := rand.New(rand.NewPCG(pairSeed, uint64(len(first.name)*31+len(second.name))))
	l := startLoad(f, loadWorkers)
	watch := watchRevisions(f)
	time.Sleep(time.Second)
	undoFirst := first.bring(f, relays, rnd)
	time.Sleep(time.Duration(rnd.IntN(500)) * time.Millisecond)
	undoSecond := second.bring(f, relays, rnd)
	time.Sleep(pairSpan)
	undoFirst()
	undoSecond()
	f.awaitReady()
	all := l.stop()
	watch.stop(t)
	requireWhole(t, all)
	requireAtMostOnce(t, f, all)
	requireNoColdOverload(t, f)
	requireSameRevision(t, f)
	requireOnlyKnownKinds(t, all)
	t.Logf("%d requests, %d failed", len(all), len(failures(all)))
}

// requireSameRevision checks that every host comes to the same configuration
// within the bound.
func requireSameRevision(t *testing.T, f *fleet) {
	t.Helper()
	same := func() bool {
		revisions := map[cicadapitch.Revision]bool{}
		for i := range f.hosts {
			revisions[f.configuration(i).Revision] = true
		}
		return len(revisions) == 1
	}
	require.Eventually(t, same, inForceWithin, 50*time.Millisecond)
}

// requireOnlyKnownKinds checks that a request that failed got an answer that it
// can act on.
func requireOnlyKnownKinds(t *testing.T, all []served) {
	t.Helper()
	kinds := []cicadapitch.Kind{
		cicadapitch.NotRun, cicadapitch.OutcomeUnknown, cicadapitch.DeadlineExceeded, cicadapitch.Unavailable,
	}
	for _, s := range failures(all) {
		require.Contains(t, kinds, cicadapitch.KindOf(s.err), fmt.Sprint(s.err))
		if s.request.Pipeline == "answer" {
			require.NotEqual(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(s.err))
		}
	}
	t.Log(lo.CountValuesBy(failures(all), func(s served) string {
		return string(s.request.Pipeline) + " " + cicadapitch.KindOf(s.err).String()
	}))
}
