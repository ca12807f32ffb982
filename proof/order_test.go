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
	// maxTimeInForce is the required time limit until an accepted change is in
	// force on all hosts.
	maxTimeInForce = 6 * time.Second
	// idleCheckTime is how long an endpoint is watched for new work.
	idleCheckTime = 3 * time.Second
)

// order sends an order to host i.
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

// configuration returns the configuration that host i applies, or an empty one if
// the host does not answer.
func (f *fleet) configuration(i int) cicadapitch.Configuration {
	var cfg cicadapitch.Configuration
	_ = f.call(http.MethodGet, i, "/v1/admin/configuration", operatorKey, nil, &cfg)
	return cfg
}

// startsInZone returns the number of runs that endpoints of a zone have started.
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

// requireNoStartsInZone checks that endpoints of a zone start no runs once
// maxTimeInForce has passed since the order.
func requireNoStartsInZone(t *testing.T, f *fleet, zone cicadapitch.ZoneID, ordered time.Time) {
	t.Helper()
	time.Sleep(time.Until(ordered.Add(maxTimeInForce)))
	before := f.startsInZone(zone)
	time.Sleep(idleCheckTime)
	require.Equal(t, before, f.startsInZone(zone), "work started in zone %s after it was taken out", zone)
}

// TestZoneTakenOutGetsNoNewWork takes a zone out of service under load, takes the
// store down right after the order and brings the zone back once the store is up. No
// endpoint of the zone may start a run while the zone is out, even though the store
// is down.
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
	}, maxTimeInForce, 200*time.Millisecond)
	require.Eventually(t, func() bool { return f.startsInZone("b") > before }, 10*time.Second, 50*time.Millisecond)
	results := l.stop()
	requireAllAnswered(t, results)
	requireCompleteAnswers(t, results)
	requireBookingsMatchResults(t, f, results)
	requireNoColdOverload(t, f)
	t.Logf("%d requests", len(results))
}

// TestHostWithoutStoreGetsChangesFromPeers cuts one host off from the store and
// takes a zone out of service through another host. The change must reach the
// first host through its peers.
func TestHostWithoutStoreGetsChangesFromPeers(t *testing.T) {
	var storeRelay *relay
	f := newFleet(t, func(hosts []*settings.Settings) {
		store := strings.TrimPrefix(hosts[2].Store[0], "http://")
		storeRelay = newRelay(t, store)
		hosts[2].Store = []string{"http://" + storeRelay.address()}
	})
	l := startLoad(f, loadWorkers)
	f.awaitRuns(20)
	storeRelay.disconnect()
	time.Sleep(time.Second)
	ordered := time.Now()
	r, err := f.order(0, "zone", zoneOrder("zone-b-out-cut", "b", true))
	require.NoError(t, err)
	require.Equal(t, r.Hosts, r.InForce, "in force on %d of %d hosts", r.InForce, r.Hosts)
	requireNoStartsInZone(t, f, "b", ordered)
	results := l.stop()
	requireCompleteAnswers(t, results)
	requireBookingsMatchResults(t, f, results)
	requireOnlyBookingsFailed(t, results)
	t.Logf("%d requests, %d failed", len(results), len(failedRequests(results)))
}

// TestConcurrentOrdersAreInForceInTime sends concurrent orders to different hosts
// while answers of the store are lost. Each order must be in force within
// maxTimeInForce and no host may return to an older revision.
func TestConcurrentOrdersAreInForceInTime(t *testing.T) {
	f := newFleet(t)
	watch := watchRevisions(f)
	const operators, ordersEach = 4, 5
	var group sync.WaitGroup
	for o := range operators {
		group.Go(func() {
			for n := range ordersEach {
				f.raiseShare(t, o, n)
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
			require.InDelta(t, ordersEach, float64(c.Share), 0)
		}
		require.Equal(t, cicadapitch.Revision(1+operators*ordersEach), cfg.Revision)
	}
}

// raiseShare sets the share of an operator's customer to n+1. It repeats the order
// with the same change id until it succeeds.
func (f *fleet) raiseShare(t *testing.T, operator, n int) {
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
	for attempt := 0; ; attempt++ {
		start := time.Now()
		r, err := f.order(operator%len(f.hosts), "customer", body)
		if err == nil {
			require.Equal(t, r.Hosts, r.InForce, "in force on %d of %d hosts", r.InForce, r.Hosts)
			require.Less(t, time.Since(start), maxTimeInForce)
			return
		}
		require.Less(t, attempt, 10, "%v", err)
		// Refusals ask for a retry after one second.
		time.Sleep(time.Second)
	}
}

// revisionWatch polls the revision of every host. When polling ends, result receives
// a description of the first return of a host to an older revision, or an empty
// string if there was none.
type revisionWatch struct {
	stopped chan struct{}
	result  chan string
}

func watchRevisions(f *fleet) *revisionWatch {
	w := &revisionWatch{stopped: make(chan struct{}), result: make(chan string, 1)}
	go func() { w.result <- w.poll(f) }()
	return w
}

// poll polls until the watch is stopped or a host returns to an older revision. It
// returns the text for result.
func (w *revisionWatch) poll(f *fleet) string {
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
		case <-w.stopped:
			return ""
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// stop ends the watch and checks that no host returned to an older revision.
func (w *revisionWatch) stop(t *testing.T) {
	t.Helper()
	close(w.stopped)
	require.Empty(t, <-w.result)
}

// TestLeavingEndpointGetsNoNewWork makes an engine report under load that it is
// leaving. It must get no new work once maxTimeInForce has passed.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	f := newFleet(t)
	l := startLoad(f, loadWorkers)
	f.awaitRuns(20)
	leaving := f.Engines["writer-a"]
	reported := time.Now()
	leaving.SetLeaving(true)
	time.Sleep(time.Until(reported.Add(maxTimeInForce)))
	before := len(leaving.Runs())
	time.Sleep(idleCheckTime)
	require.Len(t, leaving.Runs(), before)
	results := l.stop()
	requireAllAnswered(t, results)
	requireCompleteAnswers(t, results)
}
