package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/gateway"
	"cicadapitch.example/cicadapitch/origin"
	"cicadapitch.example/cicadapitch/platform"
	"cicadapitch.example/cicadapitch/platform/platformtest"
	"cicadapitch.example/cicadapitch/quarantine"
)

// slowMembership is a lockedMembership whose view changes and whose next count of hosts takes a while
// once slow is set.
type slowMembership struct {
	lockedMembership
	current atomic.Pointer[fleet.View]
	slow    atomic.Bool
}

func (m *slowMembership) View() *fleet.View { return m.current.Load() }

func (m *slowMembership) HostCount() int {
	if m.slow.CompareAndSwap(true, false) {
		time.Sleep(200 * time.Millisecond)
	}
	return m.lockedMembership.HostCount()
}

// addEndpoint starts an endpoint of a service and adds its entry to the state.
func addEndpoint(t *testing.T, state *fleet.State, id, service string) (*platformtest.Endpoint, catalog.Endpoint) {
	e := platformtest.NewEndpoint(id, service)
	t.Cleanup(e.Close)
	entry, err := platform.DecodeEndpoint(cicadapitch.EndpointID(id), encodeEntry(t, e.Entry("ready")), 1)
	require.NoError(t, err)
	state.SetEndpoint(cicadapitch.NewSystemClock().Now(), entry)
	return e, entry
}

// TestStreamThatBeginsAtTheEndOfTheSilenceTimeoutIsNotCut guards against streams that are cut in the
// middle since the watch of the time before their beginning goes on.
func TestStreamThatBeginsAtTheEndOfTheSilenceTimeoutIsNotCut(t *testing.T) {
	t.Parallel()
	clock, state := cicadapitch.NewSystemClock(), fleet.NewState()
	c, err := platform.DecodeCatalog(platformtest.Config(1, "", 0))
	require.NoError(t, err)
	state.SetCatalog(c)
	m := &slowMembership{}
	bounds := platform.Bounds{RetryExtra: 50, RetryWindow: 10_000}
	g := gateway.New(&platform.Settings{Host: "h", Zone: "z1", Bounds: bounds}, m)
	addEngine := func(id string) *platformtest.Endpoint {
		e, entry := addEndpoint(t, state, id, "engine")
		m.current.Store(state.View())
		g.SetView(state.View())
		g.Origins().ApplyVersions(clock.Now(), "engine", []origin.StoredVersion{{Version: entry.Version}})
		return e
	}
	first := addEngine("e1")
	// The stream lasts for more than another silence timeout after its beginning, but is never silent
	// for that long.
	first.SetDelay(1700 * time.Millisecond)
	first.SetStall(1200 * time.Millisecond)
	first.SetSilence(1, 1, platformtest.BetweenEvents)
	time.AfterFunc(1500*time.Millisecond, func() { m.slow.Store(true) })
	second := make(chan *platformtest.Endpoint, 1)
	time.AfterFunc(2200*time.Millisecond, func() { second <- addEngine("e2") })
	req, err := platformtest.CallerRequest{
		ID: "id", Method: "POST", Address: "127.0.0.1:1", Path: "/answer/a", Host: "h.example", Key: "key-1", Deadline: 4900,
		Tokens: "100,50", Pieces: "0,0",
	}.HTTPRequest()
	require.NoError(t, err)
	req.RequestURI, req.Body = "/answer/a", http.NoBody
	w := httptest.NewRecorder()
	platform.NewIngress(g, clock).ServeHTTP(w, req)
	require.Equal(t, http.StatusOK, w.Code)
	require.Equal(t, 6, strings.Count(w.Body.String(), "data: part"))
	require.Equal(t, 1, first.Silences())
	require.False(t, m.slow.Load())
	require.Empty(t, (<-second).RunCounts(), "the stream was sent to another engine")
}

// TestTrialLastsWhileAnotherEngineGoesOnWithTheStream guards against two requests with a suspected part at
// once: the end of the attempt at the silent engine ended the trial of the attempt that replaced it.
func TestTrialLastsWhileAnotherEngineGoesOnWithTheStream(t *testing.T) {
	t.Parallel()
	clock, state := cicadapitch.NewSystemClock(), fleet.NewState()
	c, err := platform.DecodeCatalog(platformtest.Config(1, "", 0))
	require.NoError(t, err)
	state.SetCatalog(c)
	endpoints := map[string]*platformtest.Endpoint{}
	for id, service := range map[string]string{"e1": "engine", "e2": "engine", "s1": "stage"} {
		endpoints[id], _ = addEndpoint(t, state, id, service)
	}
	ledger, part := quarantine.NewLedger(), []string{quarantine.Key("bad")}
	bounds := platform.Bounds{RetryExtra: 50, RetryWindow: 10_000}
	g := gateway.New(&platform.Settings{Host: "h", Zone: "z1", Bounds: bounds}, &lockedMembership{view: state.View()}, gateway.WithQuarantine(ledger))
	g.SetView(state.View())
	g.Origins().ApplyVersions(clock.Now(), "engine", []origin.StoredVersion{{Version: state.View().Endpoints("engine")[0].Version}})
	runs := func(id string) int { return endpoints["e1"].RunCounts()[id] + endpoints["e2"].RunCounts()[id] }
	ask := func(id, pieces string) {
		req, err := platformtest.CallerRequest{
			ID: id, Method: "POST", Address: "127.0.0.1:1", Path: "/answer/a", Host: "h.example", Key: "key-1", Deadline: 4900,
			Tokens: "100,50", Prompt: "first,bad," + id, Pieces: pieces, PieceKey: id,
		}.HTTPRequest()
		require.NoError(t, err)
		req.RequestURI, req.Body = "/answer/a", http.NoBody
		platform.NewIngress(g, clock).ServeHTTP(httptest.NewRecorder(), req)
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	// The first engine falls silent for good, and the next one before a part of its answer proves anything.
	for _, id := range []string{"e1", "e2"} {
		endpoints[id].SetStall(4 * time.Second)
	}
	wg.Go(func() { ask("one", "1,1") })
	require.Eventually(t, func() bool { return runs("one") == 1 }, time.Second, time.Millisecond)
	for _, id := range []string{"e1", "e2"} {
		endpoints[id].SetSilence(1, 1, platformtest.BetweenEvents)
	}
	// The part is suspected while the stages run for another engine.
	endpoints["s1"].SetDelay(400 * time.Millisecond)
	time.Sleep(1800 * time.Millisecond)
	now := clock.Now()
	ledger.RecordCrash(now, part, quarantine.Crash{Endpoint: "e9", SentAt: now.Add(-1), EndedAt: now})
	require.Eventually(t, func() bool { return runs("one") == 2 }, 2*time.Second, time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	wg.Go(func() { ask("two", "0,0") })
	time.Sleep(500 * time.Millisecond)
	require.Zero(t, runs("two"), "a second request with the suspected part was sent")
}
