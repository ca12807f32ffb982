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

type question struct{ Text string }

type reply struct{ Text string }

// serve starts a server on a loopback port and returns its address.
func serve(t testing.TB, s *peer.Server) string {
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

func dialer(t testing.TB, opts ...peer.Option) *peer.Dialer {
	t.Helper()
	d := peer.NewDialer("caller", key, opts...)
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = d.Close(ctx)
	})
	return d
}

func echoServer(opts ...peer.Option) *peer.Server {
	s := peer.NewServer(key, opts...)
	peer.Handle(s, "echo", func(_ context.Context, q question) (reply, error) {
		return reply(q), nil
	})
	return s
}

func TestCallReturnsTheResponse(t *testing.T) {
	address := serve(t, echoServer())
	resp, err := peer.Call[question, reply](t.Context(), dialer(t), address, "echo", question{"hello"})
	require.NoError(t, err)
	require.Equal(t, "hello", resp.Text)
}

func TestErrorCrossesTheWireIntact(t *testing.T) {
	want := &cicadapitch.Error{
		Kind: cicadapitch.Redirected, Reason: "moved", Remedy: "ask b", RetryAfter: 7, Owner: "b",
	}
	s := peer.NewServer(key)
	peer.Handle(s, "fail", func(context.Context, question) (reply, error) { return reply{}, cicadapitch.Wrap(want) })
	_, err := peer.Call[question, reply](t.Context(), dialer(t), serve(t, s), "fail", question{})
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
	address, d := serve(t, s), dialer(t)
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
	_, err := peer.Call[question, reply](t.Context(), dialer(t), address, "echo", question{})
	require.Equal(t, cicadapitch.NotRun, cicadapitch.KindOf(err))
}
