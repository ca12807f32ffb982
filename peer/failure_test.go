package peer_test

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/peer"
)

// fastHeartbeats makes a silent connection time out within a fraction of a
// second.
var fastHeartbeats = []peer.Option{peer.WithHeartbeat(50, 300), peer.WithProbeAfterIdle(0)}

// newBlockServer returns an echo server with the call "block". Its handler
// sends to started, waits for its context to end and sends the cause to causes.
func newBlockServer(opts ...peer.Option) (s *peer.Server, started chan struct{}, causes chan error) {
	s = newEchoServer(opts...)
	started, causes = make(chan struct{}, 8), make(chan error, 8)
	peer.Handle(s, "block", func(ctx context.Context, _ echoRequest) (echoResponse, error) {
		started <- struct{}{}
		<-ctx.Done()
		causes <- context.Cause(ctx)
		return echoResponse{}, ctx.Err()
	})
	return s, started, causes
}

// requireEcho makes an echo call and requires its response.
func requireEcho(t *testing.T, d *peer.Dialer, address, text string) {
	t.Helper()
	resp, err := peer.Call[echoRequest, echoResponse](t.Context(), d, address, "echo", echoRequest{text})
	require.NoError(t, err)
	require.Equal(t, text, resp.Text)
}

func TestSilentConnectionFailsPendingCallsAndIsReplaced(t *testing.T) {
	// drop holds whether traffic to the server and to the caller is dropped.
	for name, drop := range map[string][2]bool{
		"both": {true, true}, "to server": {true, false}, "to caller": {false, true},
	} {
		t.Run(name, func(t *testing.T) {
			s, started, causes := newBlockServer(fastHeartbeats...)
			r := newRelay(t, startServer(t, s))
			d := newDialer(t, fastHeartbeats...)
			failed := make(chan error, 1)
			go func() {
				_, err := peer.Call[echoRequest, echoResponse](t.Context(), d, r.address(), "block", echoRequest{})
				failed <- err
			}()
			<-started
			r.dropTraffic(drop[0], drop[1])
			require.Equal(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(<-failed))
			require.ErrorIs(t, <-causes, peer.ErrConnectionLost)
			requireEcho(t, d, r.address(), "after")
			require.Equal(t, 2, r.connCount())
		})
	}
}

func TestSilentIdleConnectionLosesNoCall(t *testing.T) {
	// drop holds whether traffic to the server and to the caller is dropped.
	for name, drop := range map[string][2]bool{"to server": {true, false}, "to caller": {false, true}} {
		t.Run(name, func(t *testing.T) {
			r := newRelay(t, startServer(t, newEchoServer(fastHeartbeats...)))
			d := newDialer(t, fastHeartbeats...)
			requireEcho(t, d, r.address(), "before")
			r.dropTraffic(drop[0], drop[1])
			requireEcho(t, d, r.address(), "after")
		})
	}
}

// TestNotRunCallNeverRanOnBrokenConnections closes connections at arbitrary
// moments during calls. A request must run at most once, and never after its
// caller got a NotRun error.
func TestNotRunCallNeverRanOnBrokenConnections(t *testing.T) {
	s := peer.NewServer(key, fastHeartbeats...)
	var ran sync.Map
	peer.Handle(s, "run", func(ctx context.Context, n int) (int, error) {
		if _, loaded := ran.LoadOrStore(n, true); loaded {
			t.Errorf("call %d ran twice", n)
		}
		if n%5 == 0 {
			<-ctx.Done() // These calls end with their connection.
		}
		return n, nil
	})
	r := newRelay(t, startServer(t, s))
	d := newDialer(t, fastHeartbeats...)
	var notRun sync.Map
	for round := range 10 {
		var calls sync.WaitGroup
		for i := range 50 {
			n := round*50 + i
			calls.Go(func() {
				got, err := peer.Call[int, int](t.Context(), d, r.address(), "run", n)
				switch kind := cicadapitch.KindOf(err); {
				case err == nil && got != n:
					t.Errorf("call %d got %d", n, got)
				case err != nil && kind == cicadapitch.NotRun:
					notRun.Store(n, true)
				case err != nil && kind != cicadapitch.OutcomeUnknown:
					t.Errorf("call %d: %v", n, err)
				}
			})
		}
		closeConnsUntilDone(r, &calls)
	}
	// Close waits for handlers that start after their caller got NotRun.
	require.NoError(t, s.Close(t.Context()))
	notRun.Range(func(n, _ any) bool {
		_, hasRun := ran.Load(n)
		require.False(t, hasRun, "call %d ran and was reported as not run", n)
		return true
	})
}

// closeConnsUntilDone closes the relay's connections repeatedly until the calls
// end.
func closeConnsUntilDone(r *relay, calls *sync.WaitGroup) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		calls.Wait()
	}()
	pause := time.NewTicker(3 * time.Millisecond)
	defer pause.Stop()
	for {
		select {
		case <-done:
			return
		case <-pause.C:
			r.closeConns()
		}
	}
}

func TestOversizedCallIsRefusedBeforeItIsSent(t *testing.T) {
	address := startServer(t, newEchoServer())
	d := newDialer(t, peer.WithMaxMessage(1<<10))
	_, err := peer.Call[echoRequest, echoResponse](t.Context(), d, address, "echo", echoRequest{strings.Repeat("x", 2<<10)})
	require.Equal(t, cicadapitch.Invalid, cicadapitch.KindOf(err))
	requireEcho(t, d, address, "on the same connection")
}

func TestOversizedResponseIsReportedToCaller(t *testing.T) {
	s := peer.NewServer(key, peer.WithMaxMessage(1<<10))
	peer.Handle(s, "large", func(context.Context, int) (string, error) { return strings.Repeat("x", 2<<10), nil })
	_, err := peer.Call[int, string](t.Context(), newDialer(t), startServer(t, s), "large", 1)
	require.Equal(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(err))
}

func TestCancelledCallStopsOnlyItsHandler(t *testing.T) {
	s, started, causes := newBlockServer()
	address, d := startServer(t, s), newDialer(t)
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error, 1)
	go func() {
		_, err := peer.Call[echoRequest, echoResponse](ctx, d, address, "block", echoRequest{})
		failed <- err
	}()
	<-started
	cancel()
	err := <-failed
	require.ErrorIs(t, err, context.Canceled)
	require.Equal(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(err))
	require.ErrorIs(t, <-causes, peer.ErrCancelled)
	requireEcho(t, d, address, "the late response is dropped")
}

func TestHandlerContextHasADeadlineIfTheCallerHas(t *testing.T) {
	s := peer.NewServer(key)
	peer.Handle(s, "deadline", func(ctx context.Context, _ int) (bool, error) {
		_, ok := ctx.Deadline()
		return ok, nil
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	has, err := peer.Call[int, bool](ctx, newDialer(t), startServer(t, s), "deadline", 1)
	require.NoError(t, err)
	require.True(t, has)
}

func TestPanicFailsOnlyItsOwnCall(t *testing.T) {
	s := newEchoServer()
	peer.Handle(s, "panic", func(context.Context, int) (int, error) { panic("bad request") })
	address, d := startServer(t, s), newDialer(t)
	_, err := peer.Call[int, int](t.Context(), d, address, "panic", 1)
	require.Equal(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(err))
	requireEcho(t, d, address, "on the same connection")
}

func TestSlowReaderBlocksOnlyItsOwnStream(t *testing.T) {
	const window, item, items = 4 << 10, 1 << 10, 200
	s := newEchoServer()
	var sent atomic.Int64
	peer.HandleStream(s, "flood", func(_ context.Context, _ int, send func([]byte) error) (int, error) {
		for range items {
			if err := send(make([]byte, item)); err != nil {
				return 0, err
			}
			sent.Add(1)
		}
		return items, nil
	})
	address, d := startServer(t, s), newDialer(t, peer.WithStreamWindow(window))
	read, got := make(chan struct{}), 0
	done := make(chan error, 1)
	go func() {
		_, err := peer.CallStream[int, []byte, int](t.Context(), d, address, "flood", 1, func([]byte) {
			<-read
			got++
		})
		done <- err
	}()
	for range 100 {
		requireEcho(t, d, address, "fast")
	}
	require.LessOrEqual(t, sent.Load(), int64(window/item+1), "more items were sent than the window allows")
	close(read)
	require.NoError(t, <-done)
	require.Equal(t, items, got)
}

func TestServerCloseFinishesRunningCalls(t *testing.T) {
	s := newEchoServer()
	started, release := make(chan struct{}), make(chan struct{})
	peer.Handle(s, "slow", func(_ context.Context, q echoRequest) (echoResponse, error) {
		close(started)
		<-release
		return echoResponse(q), nil
	})
	address, d := startServer(t, s), newDialer(t)
	answered := make(chan error, 1)
	go func() {
		_, err := peer.Call[echoRequest, echoResponse](t.Context(), d, address, "slow", echoRequest{})
		answered <- err
	}()
	<-started
	closing := make(chan error, 1)
	go func() { closing <- s.Close(context.Background()) }()
	for {
		_, err := peer.Call[echoRequest, echoResponse](t.Context(), d, address, "echo", echoRequest{})
		if err != nil {
			require.Equal(t, cicadapitch.NotRun, cicadapitch.KindOf(err))
			break
		}
	}
	close(release)
	require.NoError(t, <-answered)
	require.NoError(t, <-closing)
}

func TestClosedDialerRefusesWithNotRun(t *testing.T) {
	address := startServer(t, newEchoServer())
	d := newDialer(t)
	requireEcho(t, d, address, "before")
	require.NoError(t, d.Close(t.Context()))
	_, err := peer.Call[echoRequest, echoResponse](t.Context(), d, address, "echo", echoRequest{})
	require.Equal(t, cicadapitch.NotRun, cicadapitch.KindOf(err))
}
