package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/gateway"
	"cicadapitch.example/cicadapitch/origin"
	"cicadapitch.example/cicadapitch/platform"
	"cicadapitch.example/cicadapitch/platform/platformtest"
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
		e := platformtest.NewEndpoint(id, "engine")
		t.Cleanup(e.Close)
		entry, err := platform.DecodeEndpoint(cicadapitch.EndpointID(id), encodeEntry(t, e.Entry("ready")), 1)
		require.NoError(t, err)
		state.SetEndpoint(clock.Now(), entry)
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
