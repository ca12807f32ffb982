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

func TestTooManyCallsAreNotRun(t *testing.T) {
	s, begun, _ := blockServer(peer.WithMaxCalls(1))
	address, d := serve(t, s), dialer(t)
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error, 1)
	go func() {
		_, err := peer.Call[question, reply](ctx, d, address, "block", question{})
		failed <- err
	}()
	<-begun
	_, err := peer.Call[question, reply](t.Context(), d, address, "echo", question{})
	require.Equal(t, cicadapitch.NotRun, cicadapitch.KindOf(err))
	require.Positive(t, cicadapitch.AsError(err).RetryAfter)
	cancel()
	require.Error(t, <-failed)
}

func TestHandshakesAreBounded(t *testing.T) {
	address := serve(t, echoServer(peer.WithMaxHandshakes(1)))
	slow := rawConn(t, address)
	_, _, err := slow.Read(t.Context())
	require.NoError(t, err, "the first handshake has begun")
	ws, resp, err := websocket.Dial(t.Context(), "ws://"+address+peer.Path, nil)
	if err == nil {
		_ = ws.CloseNow()
	}
	require.Error(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	_ = slow.CloseNow()
	for err = context.Canceled; err != nil; {
		_, err = peer.Call[question, reply](t.Context(), dialer(t), address, "echo", question{"after"})
	}
}

func TestItemLargerThanTheWindowPasses(t *testing.T) {
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
		t.Context(), dialer(t, peer.WithWindow(1<<10)), serve(t, s), "large", 2<<20, func(b []byte) { got += len(b) })
	require.NoError(t, err)
	require.Equal(t, 5*2<<20, got)
}
