package entry

import (
	"context"
	"errors"
	"sync"

	"cicadapitch.example/cicadapitch"
)

// drainRetryAfter is the time after which a caller should try another host.
const drainRetryAfter cicadapitch.Millis = 50

// runningRequests counts the running requests and refuses new ones while the host
// drains.
type runningRequests struct {
	mu       sync.Mutex
	running  int
	draining bool
	// latestDeadline is the latest deadline of new requests, or 0.
	latestDeadline cicadapitch.Instant
	// idle is closed once the host drains and no request is running.
	idle chan struct{}
}

func newRunningRequests() *runningRequests { return &runningRequests{idle: make(chan struct{})} }

// begin counts a new request. It returns a NotRun error while the host drains, and for a
// request whose deadline is later than the host runs.
func (r *runningRequests) begin(deadline cicadapitch.Instant) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining || r.latestDeadline > 0 && deadline > r.latestDeadline {
		return &cicadapitch.Error{
			Kind:       cicadapitch.NotRun,
			Reason:     "the host is leaving",
			Remedy:     "send the request to another host",
			RetryAfter: drainRetryAfter,
		}
	}
	r.running++
	return nil
}

// beginForwarded counts a request that is forwarded to another host. It succeeds
// even while the host drains.
func (r *runningRequests) beginForwarded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running++
}

// limitDeadlines sets the latest deadline of new requests.
func (r *runningRequests) limitDeadlines(latest cicadapitch.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.latestDeadline = latest
}

func (r *runningRequests) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	r.closeIdle()
}

// close starts draining: new requests are refused from now on. Requests that are
// forwarded to another host are still counted.
func (r *runningRequests) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	r.closeIdle()
}

// closeIdle closes the channel idle once the condition for it holds. The caller
// must hold mu.
func (r *runningRequests) closeIdle() {
	if !r.draining || r.running > 0 {
		return
	}
	select {
	case <-r.idle:
	default:
		close(r.idle)
	}
}

func (r *runningRequests) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running
}

// LimitDeadlines makes the server refuse new requests whose deadline is later than latest,
// when the host ends, with a NotRun error.
func (s *Server) LimitDeadlines(latest cicadapitch.Instant) { s.running.limitDeadlines(latest) }

// StopAccepting refuses new requests with a NotRun error, as Drain does.
func (s *Server) StopAccepting() { s.running.close() }

// errEnding is the cause with which the contexts of requests end that the host gives up.
var errEnding = errors.New("the host ends")

// GiveUp ends the running requests. Each gets an error that says whether its work may have
// run.
func (s *Server) GiveUp() { s.giveUp() }

// withEnd returns a context that also ends with GiveUp.
func (s *Server) withEnd(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.givenUp, func() { cancel(errEnding) })
	return ctx, func() { stop(); cancel(context.Canceled) }
}

// Drain refuses new requests with a NotRun error and waits until the running ones
// have ended. It returns the error of ctx if ctx ends first. Retries of a request
// that is already running still get its answer, and requests that belong to
// another host are still forwarded.
func (s *Server) Drain(ctx context.Context) error {
	s.running.close()
	select {
	case <-s.running.idle:
		return nil
	case <-ctx.Done():
		return cicadapitch.Wrap(ctx.Err())
	}
}
