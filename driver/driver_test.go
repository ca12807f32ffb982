package driver_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/driver"
	"cicadapitch.example/cicadapitch/standin"
)

var clock = cicadapitch.NewSystemClock()

// newCall starts a server for h and returns a call to it.
func newCall(t *testing.T, h http.Handler) cicadapitch.Call {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return cicadapitch.Call{
		Attempt:   cicadapitch.AttemptID{Request: "r1", Stage: "generate", Number: 1},
		Customer:  "club",
		Endpoint:  cicadapitch.Endpoint{ID: "e1", Address: srv.URL},
		Input:     "a prompt",
		MaxTokens: 12,
	}
}

func TestEngineStreamsTheWholeAnswer(t *testing.T) {
	engine := standin.NewEngine(clock)
	c := newCall(t, engine)
	var parts []string
	r, err := driver.NewEngine().Call(context.Background(), c, func(s string) { parts = append(parts, s) })
	require.NoError(t, err)
	require.Equal(t, standin.Completion("a prompt", 12), r.Output)
	require.Equal(t, r.Output, strings.Join(parts, ""))
	require.Equal(t, cicadapitch.Tokens(12), r.Tokens)
	runs := engine.Runs()
	require.Len(t, runs, 1)
	require.Equal(t, "r1/generate/1", runs[0].Attempt)
	require.Equal(t, cicadapitch.CustomerID("club"), runs[0].Customer)
}

// TestRefusalThatComesAgainIsNotTakenForTheNextAnswer guards against an endpoint that writes a
// refusal once more on the kept connection: answers do not name their call.
func TestRefusalThatComesAgainIsNotTakenForTheNextAnswer(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\n" + driver.HeaderNotRun + ": true\r\nContent-Length: 0\r\n\r\n"
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					_, _ = io.WriteString(c, refusal)
				}
			}()
		}
	}()
	d := driver.NewEngine()
	c := cicadapitch.Call{Endpoint: cicadapitch.Endpoint{ID: "e1", Address: "http://" + l.Addr().String()}}
	connections := map[string]bool{}
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		connections[i.Conn.LocalAddr().String()] = true
	}})
	for range 3 {
		_, err = d.Call(ctx, c, nil)
		require.Equal(t, cicadapitch.NotRun, cicadapitch.KindOf(err))
		time.Sleep(10 * time.Millisecond)
	}
	require.Len(t, connections, 3, "a connection that has carried a refusal carries no other call")
}

func TestEngineCallResumesAfterBrokenStream(t *testing.T) {
	engine := standin.NewEngine(clock)
	c := newCall(t, engine)
	d := driver.NewEngine()
	engine.AbortStreamAfter(5)
	first, err := d.Call(context.Background(), c, nil)
	require.Equal(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(err))
	require.Equal(t, standin.Completion("a prompt", 5), first.Output)
	c.Resume = first.Output
	second, err := d.Call(context.Background(), c, nil)
	require.NoError(t, err)
	require.Equal(t, standin.Completion("a prompt", 12), first.Output+second.Output)
}

func TestColdEngineFailsAboveItsColdSlots(t *testing.T) {
	engine := standin.NewEngine(clock, standin.WithEngineColdStart(0, 1))
	_, err := driver.NewEngine().Call(context.Background(), newCall(t, engine), nil)
	require.Equal(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(err))
	require.Equal(t, 1, engine.Overloads())
	require.Empty(t, engine.Runs())
}

func TestErrorStatusIsNotRunOnlyIfServiceStatesIt(t *testing.T) {
	d := driver.NewService()
	for _, notStarted := range []bool{true, false} {
		c := newCall(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if notStarted {
				w.Header().Set(driver.HeaderNotRun, "true")
			}
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		_, err := d.Call(context.Background(), c, nil)
		require.Equal(t, notStarted, cicadapitch.KindOf(err) == cicadapitch.NotRun)
	}
}

func TestFailedDialIsNotRun(t *testing.T) {
	c := cicadapitch.Call{Endpoint: cicadapitch.Endpoint{Address: "http://127.0.0.1:1"}}
	for _, d := range []cicadapitch.Driver{driver.NewService(), driver.NewEngine()} {
		_, err := d.Call(context.Background(), c, nil)
		require.Equal(t, cicadapitch.NotRun, cicadapitch.KindOf(err))
		require.Positive(t, cicadapitch.AsError(err).RetryAfter)
	}
}

func TestCallWithLostAnswerIsNotResent(t *testing.T) {
	service := standin.NewService(clock, standin.WithBookings())
	c := newCall(t, service)
	d := driver.NewService()
	_, err := d.Call(context.Background(), c, nil)
	require.NoError(t, err)
	service.SetFaults(standin.ServiceFaults{LoseAnswers: 1})
	_, err = d.Call(context.Background(), c, nil)
	require.Equal(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(err))
	require.Len(t, service.Bookings(), 2, "the transport resent a call")
}

// TestNotRunCallNeverRanOnClosedConnections closes the reused connections at
// arbitrary moments during calls. A call that the service ran must never return
// a NotRun error.
func TestNotRunCallNeverRanOnClosedConnections(t *testing.T) {
	service := standin.NewService(clock, standin.WithBookings())
	srv := httptest.NewServer(service)
	d := driver.NewService()
	notRun := make(map[string]bool)
	for i := range 300 {
		c := cicadapitch.Call{
			Attempt:  cicadapitch.AttemptID{Request: "r", Number: i},
			Endpoint: cicadapitch.Endpoint{Address: srv.URL},
		}
		go srv.CloseClientConnections()
		_, err := d.Call(context.Background(), c, nil)
		if err != nil && cicadapitch.KindOf(err) == cicadapitch.NotRun {
			notRun[c.Attempt.String()] = true
		}
	}
	srv.Close()
	for _, b := range service.Bookings() {
		require.False(t, notRun[b.Attempt], "a call that returned NotRun was run by the service")
	}
}

func TestLoadReturnsTheEndpointsReport(t *testing.T) {
	manual := cicadapitch.NewManualClock(1000)
	engine := standin.NewEngine(manual, standin.WithReportLag(100))
	c := newCall(t, engine)
	engine.MakeCold()
	d := driver.NewEngine()
	for _, cold := range []bool{false, true} {
		r, err := d.Load(context.Background(), c.Endpoint)
		require.NoError(t, err)
		require.Equal(t, cold, r.Cold)
		manual.Advance(100)
	}
}

func TestStaleFencingNumberIsRejectedWhereChecked(t *testing.T) {
	ctx := context.Background()
	for _, checks := range []bool{true, false} {
		var opts []standin.EngineOption
		if checks {
			opts = append(opts, standin.WithFencingCheck())
		}
		engine := standin.NewEngine(clock, opts...)
		e := newCall(t, engine).Endpoint
		d := driver.NewEngine()
		require.NoError(t, d.Order(ctx, e, cicadapitch.EndpointOrder{Model: "m", Fencing: 2}))
		err := d.Order(ctx, e, cicadapitch.EndpointOrder{Model: "m", Fencing: 1})
		require.Equal(t, checks, err != nil)
		require.Equal(t, checks, len(engine.Record().Orders) == 1)
	}
}

func FuzzReadCompletion(f *testing.F) {
	for _, seed := range []string{
		"data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]\n\n",
		"data: [DONE", "data: {}\n", "data: {\"choices\":[]}\n\n", "event: x\n", ":\n\n", "data: {\"error\":{\"message\":\"m\"}}\n",
		"data:" + strings.Repeat("x", 4096),
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, stream string) {
		err := driver.ReadCompletion(strings.NewReader(stream), func(string) {})
		if err == nil {
			require.Contains(t, stream, "[DONE]")
		}
	})
}

// TestBytesAfterTheLastEventDoNotHoldTheAnswer lets an engine go on sending after its last
// event. The answer must be returned at once and the connection closed.
func TestBytesAfterTheLastEventDoNotHoldTheAnswer(t *testing.T) {
	closed := make(chan struct{})
	c := newCall(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		defer close(closed)
		io.WriteString(w, "data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]\n\n")
		for {
			if _, err := io.WriteString(w, ":\n"); err != nil {
				return
			}
			if http.NewResponseController(w).Flush() != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}))
	c.Timeout = 3 * cicadapitch.Second
	start := time.Now()
	r, err := driver.NewEngine().Call(context.Background(), c, nil)
	require.NoError(t, err)
	require.Equal(t, "a", r.Output)
	require.Less(t, time.Since(start), time.Second)
	<-closed
}

// TestAnswersWithoutEndFailWithinBounds lets endpoints send a head or a body without end.
func TestAnswersWithoutEndFailWithinBounds(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nX-Filler: ", "HTTP/1.1 200 OK\r\n\r\ndata: ", "HTTP/1.1 503 Service Unavailable\r\n\r\n"} {
		written := make(chan int64, 2)
		c := newCall(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			n, err := io.WriteString(conn, head)
			total := int64(n)
			for filler := []byte(strings.Repeat("x", 4096)); err == nil; {
				n, err = conn.Write(filler)
				total += int64(n)
			}
			written <- total
		}))
		c.Timeout = 5 * cicadapitch.Second
		for _, d := range []cicadapitch.Driver{driver.NewEngine(), driver.NewService()} {
			start := time.Now()
			_, err := d.Call(context.Background(), c, nil)
			require.Equal(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(err))
			require.Less(t, time.Since(start), 2*time.Second)
			require.Less(t, <-written, int64(3*driver.DefaultMaxOutput))
		}
	}
}

// TestServiceRejectsACallThatResumes guards against an output that is joined to a part of
// itself: a plain service answers whole.
func TestServiceRejectsACallThatResumes(t *testing.T) {
	service := standin.NewService(clock, standin.WithBookings())
	c := newCall(t, service)
	c.Resume = "a part"
	_, err := driver.NewService().Call(context.Background(), c, nil)
	require.Equal(t, cicadapitch.NotRun, cicadapitch.KindOf(err))
	require.Empty(t, service.Bookings())
}
