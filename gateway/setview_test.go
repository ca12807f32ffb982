package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/gateway"
	"cicadapitch.example/cicadapitch/peer"
	"cicadapitch.example/cicadapitch/placement"
	"cicadapitch.example/cicadapitch/platform"
	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// lockedMembership is a Membership that locks like membership.Membership: mu is held
// while SetView runs, and Hosts locks mu.
type lockedMembership struct {
	mu   sync.Mutex
	view *fleet.View
	lag  fleet.CatalogLag
	// hosts is the number of registered hosts besides this one.
	hosts atomic.Int32
}

func (m *lockedMembership) View() *fleet.View                        { return m.view }
func (m *lockedMembership) KnowledgeAge() (cicadapitch.Millis, bool) { return 0, true }
func (m *lockedMembership) AwaitKnowledge(context.Context) error     { return nil }
func (m *lockedMembership) ConfirmVersions(context.Context, catalog.ServiceID) error {
	return nil
}
func (m *lockedMembership) CatalogLag() fleet.CatalogLag          { return m.lag }
func (m *lockedMembership) Loads() map[cicadapitch.EndpointID]int { return nil }
func (m *lockedMembership) Waits() map[string]gateway.QueueWaits  { return nil }
func (m *lockedMembership) HostCount() int                        { return 1 + int(m.hosts.Load()) }
func (m *lockedMembership) IsSelf(fleet.Host) bool                { return true }
func (m *lockedMembership) Dialer() *peer.Dialer                  { return nil }
func (m *lockedMembership) OwnersOf(string) []fleet.Host          { return m.Hosts() }
func (m *lockedMembership) ShardOwners(string) []fleet.Host       { return m.Hosts() }
func (m *lockedMembership) RecordEnded(fleet.Host)                {}
func (m *lockedMembership) EngineReports() placement.EngineReports {
	return placement.NewEngineReports()
}
func (m *lockedMembership) RunningHosts() []fleet.Host { return m.Hosts() }
func (m *lockedMembership) StoreRollout(context.Context, fleet.Rollout, fleet.RolloutProgress) error {
	return nil
}
func (m *lockedMembership) Relays() []fleet.Host { return nil }
func (m *lockedMembership) Hosts() []fleet.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return []fleet.Host{{ID: "h"}}
}

// coldView returns a view with one cold engine whose route has one stage. To send a
// request to a cold engine, the gateway ranks the hosts, which locks the membership.
func coldView(t *testing.T) *fleet.View {
	c, err := platform.DecodeCatalog([]byte(`{"version":1,"routes":[
	 {"name":"r","host":"h","prefix":"/","kind":"streaming","timeout_ms":300,"service":"engine","stages":[{"service":"stage","after":[]}]}],
	 "services":[{"name":"engine","cold_per_s":14,"engine":{"slots":1}},{"name":"stage","segments":{"slots":1,"batch":1,"call_ms":1,"handle_s":4}}]}`))
	require.NoError(t, err)
	s := fleet.NewState()
	s.SetCatalog(c)
	s.SetEndpoint(cicadapitch.NewSystemClock().Now(), catalog.Endpoint{ID: "e", Service: "engine", Address: "127.0.0.1:1", ColdFor: 60_000})
	return s.View()
}

// TestSetViewAndRequestsDoNotDeadlock guards against a lock inversion: SetView runs
// with the membership's lock held and locks each shardRunner, so the timer of a
// shardRunner must not call the membership while it holds its own lock.
func TestSetViewAndRequestsDoNotDeadlock(t *testing.T) {
	m := &lockedMembership{view: coldView(t)}
	g := gateway.New(&platform.Settings{Host: "h", Zone: "z"}, m)
	stop := time.Now().Add(1500 * time.Millisecond)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		for time.Now().Before(stop) {
			m.mu.Lock()
			time.Sleep(100 * time.Microsecond)
			g.SetView(m.view)
			m.mu.Unlock()
		}
	}()
	for i := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; time.Now().Before(stop); n++ {
				w := httptest.NewRecorder()
				ingress := platform.NewIngress(g, cicadapitch.NewSystemClock())
				r, err := platformtest.CallerRequest{
					ID: fmt.Sprintf("%d-%d", i, n), Method: "POST", Address: "h", Path: "/x", Host: "h", Pieces: "1", PieceKey: "k",
				}.HTTPRequest()
				if err == nil {
					r.RequestURI, r.Body = "/x", http.NoBody
					ingress.ServeHTTP(w, r)
				}
			}
		}()
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("requests and SetView are deadlocked")
	}
}
