package fronthost_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/fronthost"
	"cicadapitch.example/cicadapitch/platform"
	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// heldDials keeps the first connection attempt to one of the addresses waiting.
type heldDials struct {
	mu sync.Mutex
	// addresses are those whose first attempt is held; held is the one it went to.
	addresses map[string]bool
	held      chan string
	release   chan struct{}
}

func newHeldDials() *heldDials {
	return &heldDials{held: make(chan string, 1), release: make(chan struct{})}
}

// hold arms the dialer for the addresses.
func (h *heldDials) hold(addresses ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addresses = map[string]bool{}
	for _, a := range addresses {
		h.addresses[a] = true
	}
}

// DialContext opens a connection, after release if the attempt is held.
func (h *heldDials) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	h.mu.Lock()
	hold := h.addresses[address]
	if hold {
		h.addresses = nil
	}
	h.mu.Unlock()
	if hold {
		h.held <- address
		<-h.release
	}
	return platform.DialEndpoint(ctx, network, address)
}

// TestRequestThatWaitsAfterTheChoiceDoesNotReachALeavingEndpoint guards against requests that
// are sent by an old choice: their connection opens only after the endpoint has left.
func TestRequestThatWaitsAfterTheChoiceDoesNotReachALeavingEndpoint(t *testing.T) {
	for name, c := range map[string]struct {
		endpoints    []string
		path, pieces string
	}{
		"plain service": {[]string{"p1", "p2"}, "/book/a", ""},
		"engine":        {[]string{"e1", "e2"}, "/plan/a", "0"},
		"stage":         {[]string{"s1", "s2"}, "/answer/a", "1,1"},
	} {
		t.Run(name, func(t *testing.T) {
			dials := newHeldDials()
			d := newDeployment(t, 1, func(d *deployment) {
				s2 := platformtest.NewEndpoint("s2", "stage")
				d.endpoints["s2"] = s2
				d.store.Set(platformtest.EndpointKey("s2"), s2.Entry("ready"))
				d.hostOptions = func(int) []fronthost.Option {
					return []fronthost.Option{fronthost.WithEndpointDial(dials.DialContext)}
				}
			})
			byAddress := map[string]string{}
			for _, id := range c.endpoints {
				byAddress[d.endpoints[id].Address()] = id
			}
			dials.hold(d.endpoints[c.endpoints[0]].Address(), d.endpoints[c.endpoints[1]].Address())
			status := make(chan int, 1)
			go func() {
				req := d.newRequest(0, "POST", c.path, newID())
				if c.pieces != "" {
					req = d.newStreamRequest(0, c.path, newID(), c.pieces)
				}
				resp, err := d.trySend(req)
				if err != nil {
					status <- 0
					return
				}
				resp.Body.Close()
				status <- resp.StatusCode
			}()
			leaving := d.endpoints[byAddress[<-dials.held]]
			d.store.Set(platformtest.EndpointKey(leaving.ID), leaving.Entry("draining"))
			// The host follows the store and hears of it within milliseconds.
			time.Sleep(400 * time.Millisecond)
			close(dials.release)
			require.Equal(t, 200, <-status)
			require.Empty(t, leaving.Arrivals())
		})
	}
}
