package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/gateway"
	"cicadapitch.example/cicadapitch/platform"
	"cicadapitch.example/cicadapitch/platform/platformtest"
	"cicadapitch.example/cicadapitch/quarantine"
)

// newCommitGateway returns a gateway with one engine.
func newCommitGateway(t *testing.T, opts ...gateway.Option) (*gateway.Gateway, *platformtest.Endpoint) {
	e := platformtest.NewEndpoint("e1", "engine")
	t.Cleanup(e.Close)
	entry, err := platform.DecodeEndpoint("e1", encodeEntry(t, e.Entry("ready")), 1)
	require.NoError(t, err)
	c, err := platform.DecodeCatalog(platformtest.Config(1, "", 0))
	require.NoError(t, err)
	state := fleet.NewState()
	state.SetCatalog(c)
	state.SetEndpoint(cicadapitch.NewSystemClock().Now(), entry)
	return gateway.New(&platform.Settings{Host: "h", Zone: "z1"}, &lockedMembership{view: state.View()}, opts...), e
}

// askPlan sends a request for a stream without stages and returns the status of the answer.
func askPlan(t *testing.T, g *gateway.Gateway, id, prompt string) int {
	req, err := platformtest.CallerRequest{
		ID: id, Method: "POST", Address: "127.0.0.1:1", Path: "/plan/a", Host: "h.example", Key: "key-1", Deadline: 3000,
		Tokens: "100,50", Prompt: prompt,
	}.HTTPRequest()
	require.NoError(t, err)
	req.RequestURI, req.Body = "/plan/a", http.NoBody
	w := httptest.NewRecorder()
	platform.NewIngress(g, cicadapitch.NewSystemClock()).ServeHTTP(w, req)
	return w.Code
}

// TestRequestThatNeedsNoWaitDoesNotPassAStoppedHost guards against a stop that is announced in the
// background: a stream without stages whose engine is free waits nowhere.
func TestRequestThatNeedsNoWaitDoesNotPassAStoppedHost(t *testing.T) {
	g, e := newCommitGateway(t)
	for n := range 50 {
		require.Equal(t, http.StatusOK, askPlan(t, g, fmt.Sprint("before-", n), ""))
	}
	g.Stop(cicadapitch.NewSystemClock().Now())
	for n := range 2000 {
		require.Equal(t, http.StatusServiceUnavailable, askPlan(t, g, fmt.Sprint("after-", n), ""))
	}
	require.Len(t, e.RunCounts(), 50)
}

// TestRequestThatWaitsForItsConnectionIsNotSentOnceQuarantined guards against requests that crash one
// more engine because they were judged before they waited.
func TestRequestThatWaitsForItsConnectionIsNotSentOnceQuarantined(t *testing.T) {
	clock := cicadapitch.NewSystemClock()
	ledger, part := quarantine.NewLedger(), []string{quarantine.Key("bad")}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		for range 3 {
			now := clock.Now()
			ledger.RecordCrash(now, part, quarantine.Crash{Endpoint: "e2", SentAt: now.Add(-1), EndedAt: now})
			ledger.Judge(now, part)
			_ = clock.Sleep(ctx, 220)
		}
		return platform.DialEndpoint(ctx, network, address)
	}
	g, e := newCommitGateway(t, gateway.WithQuarantine(ledger), gateway.WithEndpointDial(dial))
	require.Equal(t, http.StatusServiceUnavailable, askPlan(t, g, "id", "first,bad,own"))
	require.Empty(t, e.RunCounts())
	_, judged := ledger.Check(clock.Now(), part)
	require.Equal(t, quarantine.Quarantined, judged)
}
