package gateway_test

import (
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/batch"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/gateway"
	"cicadapitch.example/cicadapitch/peer"
	"cicadapitch.example/cicadapitch/platform"
	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// stageOwner is a host that owns the shard of a stage service with one endpoint.
type stageOwner struct {
	gateway  *gateway.Gateway
	endpoint *platformtest.Endpoint
	shard    batch.Shard
	address  string
	dialer   *peer.Dialer
}

func encodeEntry(t *testing.T, entry map[string]any) []byte {
	b, err := json.Marshal(entry)
	require.NoError(t, err)
	return b
}

func newStageOwner(t *testing.T) *stageOwner {
	e := platformtest.NewEndpoint("s1", "stage")
	t.Cleanup(e.Close)
	entry, err := platform.DecodeEndpoint("s1", encodeEntry(t, e.Entry("ready")), 1)
	require.NoError(t, err)
	c, err := platform.DecodeCatalog(platformtest.Config(1, "", 14))
	require.NoError(t, err)
	state := fleet.NewState()
	state.SetCatalog(c)
	state.SetEndpoint(cicadapitch.NewSystemClock().Now(), entry)
	m := &lockedMembership{view: state.View()}
	g := gateway.New(&platform.Settings{Host: "owner", Zone: "z1"}, m)
	g.SetView(m.view)
	key := []byte("key")
	s := peer.NewServer(key)
	g.RegisterHandlers(s)
	h := httptest.NewServer(s)
	t.Cleanup(h.Close)
	return &stageOwner{
		gateway: g, endpoint: e, shard: batch.ShardsOf("stage", m.view)[0],
		address: strings.TrimPrefix(h.URL, "http://"), dialer: peer.NewDialer("other", key),
	}
}

// runStage asks the owner for two pieces as another host does.
func (o *stageOwner) runStage(t *testing.T) (gateway.StageReply, error) {
	return peer.Call[gateway.StageCall, gateway.StageReply](t.Context(), o.dialer, o.address, "stage", gateway.StageCall{
		Shard: o.shard, Request: "r", Pieces: 2, Key: "k", DueIn: 5000, ExpireIn: 5000,
	})
}

// TestStoppingOwnerRefusesPiecesThatItMayNotSeeMade guards against streams of other hosts that lose
// the time until the owner of a shard has gone.
func TestStoppingOwnerRefusesPiecesThatItMayNotSeeMade(t *testing.T) {
	o := newStageOwner(t)
	clock := cicadapitch.NewSystemClock()
	o.gateway.Stop(clock.Now().Add(10_000))
	reply, err := o.runStage(t)
	require.NoError(t, err)
	require.Len(t, reply.Handles, 2)
	o.gateway.Stop(clock.Now().Add(1000))
	_, err = o.runStage(t)
	require.Equal(t, cicadapitch.NotRun, cicadapitch.KindOf(err))
	calls, _, _ := o.endpoint.Calls()
	require.Equal(t, 1, calls)
}

// TestOwnerThatEndsGivesPiecesBack guards against hosts that learn from a broken connection alone
// that the owner of a shard has ended.
func TestOwnerThatEndsGivesPiecesBack(t *testing.T) {
	o := newStageOwner(t)
	o.endpoint.SetDelay(3 * time.Second)
	time.AfterFunc(300*time.Millisecond, o.gateway.GiveUp)
	start := time.Now()
	_, err := o.runStage(t)
	require.Error(t, err)
	require.Less(t, time.Since(start), time.Second)
}

// TestLoadOfAStageEndpointReachesItsPlanner guards against a header whose figures are dropped between the connection and
// the planner. Numbers out of range change nothing.
func TestLoadOfAStageEndpointReachesItsPlanner(t *testing.T) {
	o := newStageOwner(t)
	for _, c := range []struct {
		load string
		pace float64
	}{{"", 1}, {"1,0,1,250", 2.5}, {"1,0,1,0", 2.5}, {"1,0,1,100001", 2.5}, {"1,0,1,150", 2}} {
		o.endpoint.SetServerLoad(c.load)
		_, err := o.runStage(t)
		require.NoError(t, err)
		require.InDelta(t, c.pace, gateway.ExpectedPace(o.gateway, o.shard, "s1"), 0.001, "load %q", c.load)
	}
}

// TestHostThatStopsKeepsToItsShare guards against hosts that stop together, of which each takes itself for
// the only one that is left and uses the whole of what endpoints allow.
func TestHostThatStopsKeepsToItsShare(t *testing.T) {
	m := &lockedMembership{view: fleet.NewState().View()}
	m.hosts.Store(5)
	g := gateway.New(&platform.Settings{Host: "h", Zone: "z"}, m)
	require.Equal(t, 6, gateway.HostCount(g))
	g.Stop(cicadapitch.NewSystemClock().Now().Add(8000))
	m.hosts.Store(0)
	require.Equal(t, 6, gateway.HostCount(g))
	m.hosts.Store(7)
	require.Equal(t, 8, gateway.HostCount(g))
}
