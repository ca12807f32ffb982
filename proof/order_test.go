package proof_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/order"
	"cicadapitch.example/cicadapitch/settings"
)

const (
	operatorKey = "sample-key-of-operator"
	// inForceWithin is the bound of the brief's size page for a change.
	inForceWithin = 6 * time.Second
	settleSpan    = 3 * time.Second
)

// order gives an order at host i.
func (f *fleet) order(i int, name string, body any) (order.Result, error) {
	var r order.Result
	err := f.call(http.MethodPost, i, order.Path+name, operatorKey, body, &r)
	return r, err
}

func zoneOrder(change string, zone cicadapitch.ZoneID, out bool) order.ZoneOrder {
	o := order.ZoneOrder{Zone: zone, Out: out}
	o.Change = cicadapitch.ChangeID(change)
	return o
}

// configuration reads what is in force on host i.
func (f *fleet) configuration(i int) cicadapitch.Configuration {
	var cfg cicadapitch.Configuration
	_ = f.call(http.MethodGet, i, "/v1/admin/configuration", operatorKey, nil, &cfg)
	return cfg
}

// startsInZone counts the work that endpoints of a zone have started.
func (f *fleet) startsInZone(zone cicadapitch.ZoneID) int {
	n := 0
	for _, e := range f.Configuration.Endpoints {
		if e.Zone != zone {
			continue
		}
		if engine, ok := f.Engines[e.ID]; ok {
			n += len(engine.Runs())
			continue
		}
		n += len(f.Services[e.ID].Runs())
	}
	return n
}

// requireNoStartsInZone checks that a zone has been without new work from
// inForceWithin after the order on.
func requireNoStartsInZone(t *testing.T, f *fleet, zone cicadapitch.ZoneID, ordered time.Time) {
	t.Helper()
	time.Sleep(time.Until(ordered.Add(inForceWithin)))
	before := f.startsInZone(zone)
	time.Sleep(settleSpan)
	require.Equal(t, before, f.startsInZone(zone), "work started in zone %s after it was taken out", zone)
}

// TestZoneTakenOutGetsNoNewWork takes a zone out under load, with the store
// down right after the order, and brings it back.
func TestZoneTakenOutGetsNoNewWork(t *testing.T) {
	f := newFleet(t)
	l := startLoad(f, loadWorkers)
	f.awaitRuns(20)
	ordered := time.Now()
	r, err := f.order(0, "zone", zoneOrder("zone-b-out", "b", true))
	require.NoError(t, err)
	require.Equal(t, r.Hosts, r.InForce)
	f.Store.SetDown(true)
	requireNoStartsInZone(t, f, "b", ordered)
	_, err = f.order(0, "zone", zoneOrder("zone-b-back-in-outage", "b", false))
	require.ErrorContains(t, err, "not accepted")
	f.Store.SetDown(false)
	before := f.startsInZone("b")
	require.Eventually(t, func() bool {
		_, err = f.order(1, "zone", zoneOrder("zone-b-back", "b", false))
		return err == nil
	}, inForceWithin, 200*time.Millisecond)
	require.Eventually(t, func() bool { return f.startsInZone("b") > before }, 10*time.Second, 50*time.Millisecond)
	all := l.stop()
	requireAllAnswered(t, all)
	requireWhole(t, all)
	requireAtMostOnce(t, f, all)
	requireNoColdOverload(t, f)
	t.Logf("%d requests", len(all))
}

// TestHostCutFromTheStoreFollowsItsPeers cuts one host off from the store and
// takes a zone out at another. The change must reach it by its peers.
func TestHostCutFromTheStoreFollowsItsPeers(t *testing.T) {
	var way *relay
	f := newFleet(t, func(hosts []*settings.Settings) {
		store := strings.TrimPrefix(hosts[2].Store[0], "http://")
		way = newRelay(t, store)
		hosts[2].Store = []string{"http://" + way.address()}
	})
	l := startLoad(f, loadWorkers)
	f.awaitRuns(20)
	way.cutOff()
	time.Sleep(time.Second)
	ordered := time.Now()
	r, err := f.order(0, "zone", zoneOrder("zone-b-out-cut", "b", true))
	require.NoError(t, err)
	require.Equal(t, r.Hosts, r.InForce, "in force on %d of %d hosts", r.InForce, r.Hosts)
	requireNoStartsInZone(t, f, "b", ordered)
	all := l.stop()
	requireWhole(t, all)
	requireAtMostOnce(t, f, all)
	requireOnlyBookingsFailed(t, all)
	t.Logf("%d requests, %d failed", len(all), len(failures(all)))
}

// TestOrdersInARaceAreAllInForceWithinTheBound lets operators race one another
// at different hosts while answers of the store are lost, and watches that no
// host ever goes back.
func TestOrdersInARaceAreAllInForceWithinTheBound(t *testing.T) {
	f := newFleet(t)
	watch := watchRevisions(f)
	const operators, each = 4, 5
	var group sync.WaitGroup
	for o := range operators {
		group.Go(func() {
			for n := range each {
				f.raise(t, o, n)
			}
		})
	}
	group.Wait()
	watch.stop(t)
	for i := range f.hosts {
		cfg := f.configuration(i)
		for o := range operators {
			c, ok := cfg.Customer(cicadapitch.CustomerID(fmt.Sprintf("customer-%d", o)))
			require.True(t, ok)
			require.InDelta(t, each, float64(c.Share), 0)
		}
		require.Equal(t, cicadapitch.Revision(1+operators*each), cfg.Revision)
	}
}

// raise sets the share of an operator's customer to n+1, and repeats the order
// with the same change id until it has a definite answer.
func (f *fleet) raise(t *testing.T, operator, n int) {
	action := order.Replace
	if n == 0 {
		action = order.Create
	}
	body := order.CustomerOrder{Action: action}
	body.Change = cicadapitch.ChangeID(fmt.Sprintf("operator-%d-change-%d", operator, n))
	body.Customer.ID = cicadapitch.CustomerID(fmt.Sprintf("customer-%d", operator))
	body.Customer.Share = cicadapitch.Share(n + 1)
	body.Customer.KeyHash = cicadapitch.HashKey(string(body.Customer.ID))
	if n%2 == 1 {
		f.Store.LoseAnswers(1)
	}
	for tries := 0; ; tries++ {
		start := time.Now()
		r, err := f.order(operator%len(f.hosts), "customer", body)
		if err == nil {
			require.Equal(t, r.Hosts, r.InForce, "in force on %d of %d hosts", r.InForce, r.Hosts)
			require.Less(t, time.Since(start), inForceWithin)
			return
		}
		require.Less(t, tries, 10, "%v", err)
		// A refusal says to come back after a second.
		time.Sleep(time.Second)
	}
}

// revisionWatch reads the revision of every host again and again.
type revisionWatch struct {
	end  chan struct{}
	back chan string
}

func watchRevisions(f *fleet) *revisionWatch {
	w := &revisionWatch{end: make(chan struct{}), back: make(chan string, 1)}
	go func() { w.back <- w.run(f) }()
	return w
}

// run returns what went back, or an empty string.
func (w *revisionWatch) run(f *fleet) string {
	last := make([]cicadapitch.Revision, len(f.hosts))
	for {
		for i := range f.hosts {
			r := f.configuration(i).Revision
			if r != 0 && r < last[i] {
				return fmt.Sprintf("host %d went from revision %d back to %d", i, last[i], r)
			}
			last[i] = max(last[i], r)
		}
		select {
		case <-w.end:
			return ""
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (w *revisionWatch) stop(t *testing.T) {
	t.Helper()
	close(w.end)
	require.Empty(t, <-w.back)
}

// TestLeavingEndpointGetsNoNewWork asks an engine to stop under load.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	f := newFleet(t)
	l := startLoad(f, loadWorkers)
	f.awaitRuns(20)
	leaving := f.Engines["writer-a"]
	asked := time.Now()
	leaving.SetLeaving(true)
	time.Sleep(time.Until(asked.Add(inForceWithin)))
	before := len(leaving.Runs())
	time.Sleep(settleSpan)
	require.Len(t, leaving.Runs(), before)
	all := l.stop()
	requireAllAnswered(t, all)
	requireWhole(t, all)
}
