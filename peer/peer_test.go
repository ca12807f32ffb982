package peer_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/peer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var key = []byte("deployment key of the tests")

type echoRequest struct{ Text string }

type echoResponse struct{ Text string }

// startServer serves s on a loopback port and returns its address.
func startServer(t testing.TB, s *peer.Server) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(peer.Path, s)
	h := httptest.NewServer(mux)
	t.Cleanup(func() {
		require.NoError(t, s.Close(context.Background()))
		h.Close()
	})
	return strings.TrimPrefix(h.URL, "http://")
}

// newDialer returns a dialer that is closed after the test without waiting for
// its calls.
func newDialer(t testing.TB, opts ...peer.Option) *peer.Dialer {
	t.Helper()
	d := peer.NewDialer("caller", key, opts...)
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = d.Close(ctx)
	})
	return d
}

func newEchoServer(opts ...peer.Option) *peer.Server {
	s := peer.NewServer(key, opts...)
	peer.Handle(s, "echo", func(_ context.Context, q echoRequest) (echoResponse, error) {
		return echoResponse(q), nil
	})
	return s
}

func TestCallReturnsTheResponse(t *testing.T) {
	address := startServer(t, newEchoServer())
	resp, err := peer.Call[echoRequest, echoResponse](t.Context(), newDialer(t), address, "echo", echoRequest{"hello"})
	require.NoError(t, err)
	require.Equal(t, "hello", resp.Text)
}

func TestHandlerErrorReachesCallerUnchanged(t *testing.T) {
	want := &cicadapitch.Error{
		Kind: cicadapitch.Redirected, Reason: "moved", Remedy: "ask b", RetryAfter: 7, Owner: "b",
	}
	s := peer.NewServer(key)
	peer.Handle(s, "fail", func(context.Context, echoRequest) (echoResponse, error) {
		return echoResponse{}, cicadapitch.Wrap(want)
	})
	_, err := peer.Call[echoRequest, echoResponse](t.Context(), newDialer(t), startServer(t, s), "fail", echoRequest{})
	require.Equal(t, want, cicadapitch.AsError(err))
}

func TestConcurrentStreamsGetTheirOwnItems(t *testing.T) {
	s := peer.NewServer(key)
	peer.HandleStream(s, "count", func(_ context.Context, n int, send func(string) error) (int, error) {
		for i := range 20 {
			if err := send(fmt.Sprintf("%d/%d", n, i)); err != nil {
				return 0, err
			}
		}
		return n, nil
	})
	address, d := startServer(t, s), newDialer(t)
	var wg sync.WaitGroup
	for n := range 300 {
		wg.Go(func() {
			var got, want []string
			for i := range 20 {
				want = append(want, fmt.Sprintf("%d/%d", n, i))
			}
			resp, err := peer.CallStream[int, string, int](t.Context(), d, address, "count", n, func(item string) { got = append(got, item) })
			if err != nil {
				t.Error(err)
				return
			}
			if resp != n || fmt.Sprint(got) != fmt.Sprint(want) {
				t.Errorf("stream %d got %d %v", n, resp, got)
			}
		})
	}
	wg.Wait()
}

func TestUnreachableHostIsNotRun(t *testing.T) {
	h := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(h.URL, "http://")
	h.Close()
	_, err := peer.Call[echoRequest, echoResponse](t.Context(), newDialer(t), address, "echo", echoRequest{})
	require.Equal(t, cicadapitch.NotRun, cicadapitch.KindOf(err))
}
