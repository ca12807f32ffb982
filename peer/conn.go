package peer

import (
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"

	"cicadapitch.example/cicadapitch"
)

const (
	// maxReusedBufferBytes is the capacity above which a write buffer is not
	// kept for the next message.
	maxReusedBufferBytes = 1 << 20
	// flushPollInterval is the time between checks whether all frames are
	// written.
	flushPollInterval = 2 * time.Millisecond
)

// frameHandler handles the frames of calls. It is implemented by clientConn,
// which makes calls, and serverConn, which serves them.
type frameHandler interface {
	// handleFrame handles a frame. An error closes the connection.
	handleFrame(f frame) error
	// connectionClosed is called once, after the connection has ended.
	connectionClosed(err error)
}

// conn is a connection after its handshake. It reads and writes frames and
// sends heartbeats.
type conn struct {
	opts  options
	ws    *websocket.Conn
	queue *sendQueue
	// ctx ends with the connection.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// callStarted wakes runHeartbeats when the first call begins.
	callStarted chan struct{}

	mu          sync.Mutex
	liveness    liveness
	activeCalls int
	// echoReceived is closed and replaced on every echo.
	echoReceived chan struct{}
}

func newConn(ctx context.Context, opts options, ws *websocket.Conn) *conn {
	ctx, cancel := context.WithCancelCause(ctx)
	ws.SetReadLimit(int64(opts.maxMessage + maxBatchBytes))
	return &conn{
		opts:         opts,
		ws:           ws,
		queue:        newSendQueue(),
		ctx:          ctx,
		cancel:       cancel,
		callStarted:  make(chan struct{}, 1),
		liveness:     liveness{interval: opts.heartbeatInterval, echoTimeout: opts.echoTimeout, lastReceivedAt: opts.clock.Now()},
		echoReceived: make(chan struct{}),
	}
}

// run exchanges frames until the connection ends.
func (c *conn) run(h frameHandler) {
	var wg sync.WaitGroup
	wg.Go(c.writeFrames)
	wg.Go(c.runHeartbeats)
	c.closeWithError(c.readFrames(h))
	wg.Wait()
	h.connectionClosed(context.Cause(c.ctx))
}

// closeWithError closes the connection. The first error becomes the cause of
// c.ctx.
func (c *conn) closeWithError(err error) {
	c.cancel(err)
	_ = c.ws.CloseNow()
}

// readFrames dispatches incoming frames until reading or handling one fails.
func (c *conn) readFrames(h frameHandler) error {
	for {
		_, message, err := c.ws.Read(c.ctx)
		if err != nil {
			return cicadapitch.Wrap(err)
		}
		c.recordReceived()
		frames, err := decodeFrames(message)
		if err != nil {
			return err
		}
		for _, f := range frames {
			if err := c.dispatch(h, f); err != nil {
				return err
			}
		}
	}
}

// dispatch handles heartbeats and echoes and passes other frames to h.
func (c *conn) dispatch(h frameHandler, f frame) error {
	switch f.Kind {
	case heartbeatFrame:
		return c.sendControl(frame{Kind: echoFrame, Number: f.Number})
	case echoFrame:
		c.recordEcho(f.Number)
		return nil
	default:
		return h.handleFrame(f)
	}
}

// writeFrames writes queued frames until the connection ends.
func (c *conn) writeFrames() {
	var buf []byte
	for {
		buf = c.queue.appendBatch(buf[:0])
		if len(buf) == 0 {
			select {
			case <-c.ctx.Done():
				return
			case <-c.queue.frameAdded:
				continue
			}
		}
		if err := c.ws.Write(c.ctx, websocket.MessageBinary, buf); err != nil {
			c.closeWithError(cicadapitch.Wrap(err))
			return
		}
		if cap(buf) > maxReusedBufferBytes {
			buf = nil
		}
	}
}

// runHeartbeats sends heartbeats while the connection has active calls, and
// closes the connection if they are not answered in time.
func (c *conn) runHeartbeats() {
	for {
		if !c.checkActiveCalls() {
			select {
			case <-c.ctx.Done():
				return
			case <-c.callStarted:
			}
		}
		// Waiting first saves the heartbeat for calls shorter than the interval.
		if c.opts.clock.Sleep(c.ctx, c.opts.heartbeatInterval) != nil {
			return
		}
		if c.checkActiveCalls() && !c.checkLiveness() {
			return
		}
	}
}

// checkLiveness sends the next heartbeat, or closes the connection if echoes
// are overdue. It reports whether the connection is still open.
func (c *conn) checkLiveness() bool {
	c.mu.Lock()
	v := c.liveness.tick(c.opts.clock.Now())
	c.mu.Unlock()
	if v.TimedOut {
		c.closeWithError(errHeartbeatTimeout)
		return false
	}
	if err := c.sendControl(frame{Kind: heartbeatFrame, Number: v.Heartbeat}); err != nil {
		c.closeWithError(err)
		return false
	}
	return true
}

// checkActiveCalls reports whether there are active calls. If there are none, it
// clears the last tick, so that the time without calls is not taken for a pause
// of the process.
func (c *conn) checkActiveCalls() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.activeCalls > 0 {
		return true
	}
	c.liveness.clearLastTick()
	return false
}

// beginCall adds a call to activeCalls. Heartbeats are sent only while there is
// one.
func (c *conn) beginCall() {
	c.mu.Lock()
	c.activeCalls++
	first := c.activeCalls == 1
	c.mu.Unlock()
	if !first {
		return
	}
	select {
	case c.callStarted <- struct{}{}:
	default:
	}
}

// endCall subtracts an ended call from activeCalls.
func (c *conn) endCall() {
	c.mu.Lock()
	c.activeCalls--
	c.mu.Unlock()
}

// recordReceived records that a message arrived.
func (c *conn) recordReceived() {
	now := c.opts.clock.Now()
	c.mu.Lock()
	c.liveness.recordReceived(now)
	c.mu.Unlock()
}

// recordEcho records the echo of the heartbeat number and wakes probes.
func (c *conn) recordEcho(number uint64) {
	now := c.opts.clock.Now()
	c.mu.Lock()
	c.liveness.recordEcho(number, now)
	close(c.echoReceived)
	c.echoReceived = make(chan struct{})
	c.mu.Unlock()
}

// sendControl queues a frame ahead of the ordinary frames. It never blocks and
// fails if too many control frames are queued.
func (c *conn) sendControl(f frame) error {
	data, err := encodeFrame(f)
	if err != nil {
		return err
	}
	if !c.queue.enqueueControl(data) {
		return errControlQueueFull
	}
	return nil
}

// receivedRecently reports whether the connection opened or a message arrived
// less than probeAfterIdle ago, so that no probe is needed.
func (c *conn) receivedRecently() bool {
	now := c.opts.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.liveness.lastReceivedAt) < c.opts.probeAfterIdle
}

// probe sends a heartbeat and reports whether its echo arrived within the
// heartbeat interval.
func (c *conn) probe(ctx context.Context) bool {
	c.mu.Lock()
	number := c.liveness.nextHeartbeat(c.opts.clock.Now())
	c.mu.Unlock()
	if c.sendControl(frame{Kind: heartbeatFrame, Number: number}) != nil {
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timedOut := make(chan struct{})
	go func() {
		defer close(timedOut)
		_ = c.opts.clock.Sleep(ctx, c.opts.heartbeatInterval)
	}()
	for {
		c.mu.Lock()
		ok, echoed := c.liveness.lastEchoedNumber >= number, c.echoReceived
		c.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-echoed:
		case <-timedOut:
			return false
		case <-c.ctx.Done():
			return false
		}
	}
}

// flush waits until all queued frames are written, or until ctx or the
// connection ends.
func (c *conn) flush(ctx context.Context) {
	t := time.NewTicker(flushPollInterval)
	defer t.Stop()
	for !c.queue.allWritten() {
		select {
		case <-ctx.Done():
			return
		case <-c.ctx.Done():
			return
		case <-t.C:
		}
	}
}
