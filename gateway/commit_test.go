package gateway_test

import (
	"context"
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

// TestRequestThatWaitsForItsConnectionIsNotSentOnceQuarantined guards against requests that crash one
// more engine because they were judged before they waited.
func TestRequestThatWaitsForItsConnectionIsNotSentOnceQuarantined(t *testing.T) {
	e := platformtest.NewEndpoint("e1", "engine")
	defer e.Close()
	entry, err := platform.DecodeEndpoint("e1", encodeEntry(t, e.Entry("ready")), 1)
	require.NoError(t, err)
	c, err := platform.DecodeCatalog(platformtest.Config(1, "", 14))
	require.NoError(t, err)
	clock, state := cicadapitch.NewSystemClock(), fleet.NewState()
	state.SetCatalog(c)
	state.SetEndpoint(clock.Now(), entry)
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
	m := &lockedMembership{view: state.View()}
	g := gateway.New(&platform.Settings{Host: "h", Zone: "z1"}, m, gateway.WithQuarantine(ledger), gateway.WithEndpointDial(dial))
	req, err := platformtest.CallerRequest{
		ID: "id", Method: "POST", Address: "127.0.0.1:1", Path: "/plan/a", Host: "h.example", Key: "key-1", Deadline: 3000,
		Tokens: "100,50", Prompt: "first,bad,own",
	}.HTTPRequest()
	require.NoError(t, err)
	req.RequestURI, req.Body = "/plan/a", http.NoBody
	w := httptest.NewRecorder()
	platform.NewIngress(g, clock).ServeHTTP(w, req)
	require.Empty(t, e.RunCounts())
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	_, judged := ledger.Check(clock.Now(), part)
	require.Equal(t, quarantine.Quarantined, judged)
}
