package peer_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/coder/websocket"
	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/peer"
)

func TestCallsAboveTheLimitAreNotRun(t *testing.T) {
	s, started, _ := newBlockServer(peer.WithMaxCalls(1))
	address, d := startServer(t, s), newDialer(t)
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error, 1)
	go func() {
		_, err := peer.Call[echoRequest, echoResponse](ctx, d, address, "block", echoRequest{})
		failed <- err
	}()
	<-started
	_, err := peer.Call[echoRequest, echoResponse](t.Context(), d, address, "echo", echoRequest{})
	require.Equal(t, cicadapitch.NotRun, cicadapitch.KindOf(err))
	require.Positive(t, cicadapitch.AsError(err).RetryAfter)
	cancel()
	require.Error(t, <-failed)
}

func TestHandshakesAreBounded(t *testing.T) {
	address := startServer(t, newEchoServer(peer.WithMaxHandshakes(1)))
	slow := dialWithoutHandshake(t, address)
	_, _, err := slow.Read(t.Context())
	require.NoError(t, err, "the first handshake has not started")
	ws, resp, err := websocket.Dial(t.Context(), "ws://"+address+peer.Path, nil)
	if err == nil {
		_ = ws.CloseNow()
	}
	require.Error(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	_ = slow.CloseNow()
	// The server notices the closed handshake some time after CloseNow. Retry until
	// a call succeeds.
	for err = context.Canceled; err != nil; {
		_, err = peer.Call[echoRequest, echoResponse](t.Context(), newDialer(t), address, "echo", echoRequest{"after"})
	}
}

func TestItemLargerThanTheWindowIsDelivered(t *testing.T) {
	s := peer.NewServer(key)
	peer.HandleStream(s, "large", func(_ context.Context, n int, send func([]byte) error) (int, error) {
		for range 5 {
			if err := send(make([]byte, n)); err != nil {
				return 0, err
			}
		}
		return n, nil
	})
	got := 0
	_, err := peer.CallStream[int, []byte, int](
		t.Context(), newDialer(t, peer.WithStreamWindow(1<<10)), startServer(t, s), "large", 2<<20, func(b []byte) { got += len(b) })
	require.NoError(t, err)
	require.Equal(t, 5*2<<20, got)
}
