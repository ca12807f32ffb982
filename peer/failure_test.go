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

// brisk makes silence show soon.
var brisk = []peer.Option{peer.WithHeartbeat(50, 300), peer.WithIdle(0)}

// blockServer has a call that ends only with its context, whose cause it
// reports, beside echo.
func blockServer(opts ...peer.Option) (s *peer.Server, begun chan struct{}, causes chan error) {
	s = echoServer(opts...)
	begun, causes = make(chan struct{}, 8), make(chan error, 8)
	peer.Handle(s, "block", func(ctx context.Context, _ question) (reply, error) {
		begun <- struct{}{}
		<-ctx.Done()
		causes <- context.Cause(ctx)
		return reply{}, ctx.Err()
	})
	return s, begun, causes
}

func echo(t *testing.T, d *peer.Dialer, address, text string) {
	t.Helper()
	resp, err := peer.Call[question, reply](t.Context(), d, address, "echo", question{text})
	require.NoError(t, err)
	require.Equal(t, text, resp.Text)
}

func TestSilentConnectionFailsPendingCallsAndIsReplaced(t *testing.T) {
	for name, lost := range map[string][2]bool{
		"both": {true, true}, "to server": {true, false}, "to caller": {false, true},
	} {
		t.Run(name, func(t *testing.T) {
			s, begun, causes := blockServer(brisk...)
			r := newRelay(t, serve(t, s))
			d := dialer(t, brisk...)
			failed := make(chan error, 1)
			go func() {
				_, err := peer.Call[question, reply](t.Context(), d, r.address(), "block", question{})
				failed <- err
			}()
			<-begun
			r.silence(lost[0], lost[1])
			require.Equal(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(<-failed))
			require.ErrorIs(t, <-causes, peer.ErrConnectionLost)
			echo(t, d, r.address(), "after")
			require.Equal(t, 2, r.connections())
		})
	}
}

func TestIdleConnectionGoneSilentLosesNoCall(t *testing.T) {
	for name, lost := range map[string][2]bool{"to server": {true, false}, "to caller": {false, true}} {
		t.Run(name, func(t *testing.T) {
			r := newRelay(t, serve(t, echoServer(brisk...)))
			d := dialer(t, brisk...)
			echo(t, d, r.address(), "before")
			r.silence(lost[0], lost[1])
			echo(t, d, r.address(), "after")
		})
	}
}

func TestNotRunIsTrueWhileConnectionsBreak(t *testing.T) {
	s := peer.NewServer(key, brisk...)
	var ran sync.Map
	peer.Handle(s, "run", func(ctx context.Context, n int) (int, error) {
		if _, twice := ran.LoadOrStore(n, true); twice {
			t.Errorf("call %d ran twice", n)
		}
		if n%5 == 0 {
			<-ctx.Done() // These break with their connection.
		}
		return n, nil
	})
	r := newRelay(t, serve(t, s))
	d := dialer(t, brisk...)
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
		cutUntil(r, &calls)
	}
	// A request may not start after its caller was told NotRun either.
	require.NoError(t, s.Close(t.Context()))
	notRun.Range(func(n, _ any) bool {
		_, did := ran.Load(n)
		require.False(t, did, "call %d ran and was reported as not run", n)
		return true
	})
}

// cutUntil cuts the relay's connections again and again until the calls end.
func cutUntil(r *relay, calls *sync.WaitGroup) {
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
			r.cut()
		}
	}
}

func TestOversizedCallIsRefusedBeforeItIsSent(t *testing.T) {
	address := serve(t, echoServer())
	d := dialer(t, peer.WithMaxMessage(1<<10))
	_, err := peer.Call[question, reply](t.Context(), d, address, "echo", question{strings.Repeat("x", 2<<10)})
	require.Equal(t, cicadapitch.Invalid, cicadapitch.KindOf(err))
	echo(t, d, address, "the connection goes on")
}

func TestOversizedResponseIsToldToItsCaller(t *testing.T) {
	s := peer.NewServer(key, peer.WithMaxMessage(1<<10))
	peer.Handle(s, "large", func(context.Context, int) (string, error) { return strings.Repeat("x", 2<<10), nil })
	_, err := peer.Call[int, string](t.Context(), dialer(t), serve(t, s), "large", 1)
	require.Equal(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(err))
}

func TestCancelledCallStopsItsHandlerOnly(t *testing.T) {
	s, begun, causes := blockServer()
	address, d := serve(t, s), dialer(t)
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error, 1)
	go func() {
		_, err := peer.Call[question, reply](ctx, d, address, "block", question{})
		failed <- err
	}()
	<-begun
	cancel()
	err := <-failed
	require.ErrorIs(t, err, context.Canceled)
	require.Equal(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(err))
	require.ErrorIs(t, <-causes, peer.ErrCancelled)
	echo(t, d, address, "late answers are dropped")
}

func TestTimeoutCrossesToTheHandler(t *testing.T) {
	s := peer.NewServer(key)
	peer.Handle(s, "deadline", func(ctx context.Context, _ int) (bool, error) {
		_, ok := ctx.Deadline()
		return ok, nil
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	has, err := peer.Call[int, bool](ctx, dialer(t), serve(t, s), "deadline", 1)
	require.NoError(t, err)
	require.True(t, has)
}

func TestPanicEndsOneCallOnly(t *testing.T) {
	s := echoServer()
	peer.Handle(s, "panic", func(context.Context, int) (int, error) { panic("bad request") })
	address, d := serve(t, s), dialer(t)
	_, err := peer.Call[int, int](t.Context(), d, address, "panic", 1)
	require.Equal(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(err))
	echo(t, d, address, "the connection goes on")
}

func TestSlowReaderHoldsUpItsOwnStreamOnly(t *testing.T) {
	const window, item, items = 4 << 10, 1 << 10, 200
	s := echoServer()
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
	address, d := serve(t, s), dialer(t, peer.WithWindow(window))
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
		echo(t, d, address, "fast")
	}
	require.LessOrEqual(t, sent.Load(), int64(window/item+1), "the window bounds what is on the way")
	close(read)
	require.NoError(t, <-done)
	require.Equal(t, items, got)
}

func TestServerCloseFinishesRunningCalls(t *testing.T) {
	s := echoServer()
	begun, release := make(chan struct{}), make(chan struct{})
	peer.Handle(s, "slow", func(_ context.Context, q question) (reply, error) {
		close(begun)
		<-release
		return reply(q), nil
	})
	address, d := serve(t, s), dialer(t)
	answered := make(chan error, 1)
	go func() {
		_, err := peer.Call[question, reply](t.Context(), d, address, "slow", question{})
		answered <- err
	}()
	<-begun
	closing := make(chan error, 1)
	go func() { closing <- s.Close(context.Background()) }()
	for {
		_, err := peer.Call[question, reply](t.Context(), d, address, "echo", question{})
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
	address := serve(t, echoServer())
	d := dialer(t)
	echo(t, d, address, "before")
	require.NoError(t, d.Close(t.Context()))
	_, err := peer.Call[question, reply](t.Context(), d, address, "echo", question{})
	require.Equal(t, cicadapitch.NotRun, cicadapitch.KindOf(err))
}
