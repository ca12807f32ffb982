package host_test

import (
	"context"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/host"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// wires carries pings between groups of one process.
type wires map[string]*host.Group

func (w wires) Ping(ctx context.Context, address string, p host.Ping) (host.Ack, error) {
	return w[address].Handle(ctx, p)
}

func TestGroupsFindEachOther(t *testing.T) {
	w := wires{}
	for _, id := range []string{"a", "b", "c"} {
		self := cicadapitch.Member{Host: cicadapitch.HostID(id), PeerAddress: id, State: cicadapitch.Ready, Revision: 1}
		w[id] = host.New(self, host.WithPeers([]string{"a"}), host.WithTransport(w))
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	found := make(chan struct{})
	var once sync.Once
	w["c"].Subscribe(func(members []cicadapitch.Member) {
		if len(members) == 3 {
			once.Do(func() { close(found) })
		}
	})
	for _, g := range w {
		running.Go(func() { _ = g.Run(ctx) })
	}
	<-found
	cancel()
	running.Wait()
	require.Len(t, w["c"].Members(), 3)
}
