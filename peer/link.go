package peer

import (
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"

	"cicadapitch.example/cicadapitch"
)

const (
	keptBufferBytes = 1 << 20
	flushPoll       = 2 * time.Millisecond
)

// side is the half of a connection that makes calls or serves them.
type side interface {
	// accept handles a frame. An error ends the connection.
	accept(f frame) error
	// lost is called once, after the connection has ended.
	lost(err error)
}

// link is one connection after its handshake.
type link struct {
	opts options
	ws   *websocket.Conn
	out  *outbox
	// ctx ends with the connection.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// busy wakes the heartbeats when the first call begins.
	busy chan struct{}

	mu    sync.Mutex
	live  liveness
	calls int
	// echoed is closed and replaced on every echo.
	echoed chan struct{}
}

func newLink(ctx context.Context, opts options, ws *websocket.Conn) *link {
	ctx, cancel := context.WithCancelCause(ctx)
	ws.SetReadLimit(int64(opts.maxMessage + batchBytes))
	return &link{
		opts:   opts,
		ws:     ws,
		out:    newOutbox(),
		ctx:    ctx,
		cancel: cancel,
		busy:   make(chan struct{}, 1),
		live:   liveness{interval: opts.interval, silence: opts.silence, received: opts.clock.Now()},
		echoed: make(chan struct{}),
	}
}

// run carries frames until the connection ends.
func (l *link) run(s side) {
	var wg sync.WaitGroup
	wg.Go(l.write)
	wg.Go(l.heartbeat)
	l.fail(l.read(s))
	wg.Wait()
	s.lost(context.Cause(l.ctx))
}

// fail ends the connection. Only the first reason counts.
func (l *link) fail(err error) {
	l.cancel(err)
	_ = l.ws.CloseNow()
}

func (l *link) read(s side) error {
	for {
		_, message, err := l.ws.Read(l.ctx)
		if err != nil {
			return cicadapitch.Wrap(err)
		}
		l.received()
		frames, err := decodeFrames(message)
		if err != nil {
			return err
		}
		for _, f := range frames {
			if err := l.dispatch(s, f); err != nil {
				return err
			}
		}
	}
}

func (l *link) dispatch(s side, f frame) error {
	switch f.Kind {
	case heartbeatFrame:
		return l.sendControl(frame{Kind: echoFrame, Number: f.Number})
	case echoFrame:
		l.echo(f.Number)
		return nil
	default:
		return s.accept(f)
	}
}

func (l *link) write() {
	var buf []byte
	for {
		buf = l.out.take(buf[:0])
		if len(buf) == 0 {
			select {
			case <-l.ctx.Done():
				return
			case <-l.out.filled:
				continue
			}
		}
		if err := l.ws.Write(l.ctx, websocket.MessageBinary, buf); err != nil {
			l.fail(cicadapitch.Wrap(err))
			return
		}
		if cap(buf) > keptBufferBytes {
			buf = nil
		}
	}
}

// heartbeat judges the connection while it has calls.
func (l *link) heartbeat() {
	for {
		if !l.active() {
			select {
			case <-l.ctx.Done():
				return
			case <-l.busy:
			}
		}
		// A call that ends within the interval costs no heartbeat.
		if l.opts.clock.Sleep(l.ctx, l.opts.interval) != nil {
			return
		}
		if l.active() && !l.tick() {
			return
		}
	}
}

func (l *link) tick() bool {
	l.mu.Lock()
	v := l.live.tick(l.opts.clock.Now())
	l.mu.Unlock()
	if v.GiveUp {
		l.fail(errSilent)
		return false
	}
	if err := l.sendControl(frame{Kind: heartbeatFrame, Number: v.Heartbeat}); err != nil {
		l.fail(err)
		return false
	}
	return true
}

func (l *link) active() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.calls > 0 {
		return true
	}
	l.live.rest()
	return false
}

// begin and end count the calls that are judged by heartbeats.
func (l *link) begin() {
	l.mu.Lock()
	l.calls++
	first := l.calls == 1
	l.mu.Unlock()
	if !first {
		return
	}
	select {
	case l.busy <- struct{}{}:
	default:
	}
}

func (l *link) end() {
	l.mu.Lock()
	l.calls--
	l.mu.Unlock()
}

func (l *link) received() {
	now := l.opts.clock.Now()
	l.mu.Lock()
	l.live.receive(now)
	l.mu.Unlock()
}

func (l *link) echo(number uint64) {
	now := l.opts.clock.Now()
	l.mu.Lock()
	l.live.echo(number, now)
	close(l.echoed)
	l.echoed = make(chan struct{})
	l.mu.Unlock()
}

// sendControl queues a frame ahead of the others without waiting.
func (l *link) sendControl(f frame) error {
	data, err := encodeFrame(f)
	if err != nil {
		return err
	}
	if !l.out.putControl(data) {
		return errFlooded
	}
	return nil
}

// fresh reports whether a frame came lately, so that the connection need not
// be probed.
func (l *link) fresh() bool {
	now := l.opts.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.live.received) < l.opts.idle
}

// probe sends a heartbeat and reports whether its echo came in time.
func (l *link) probe(ctx context.Context) bool {
	l.mu.Lock()
	number := l.live.beat(l.opts.clock.Now())
	l.mu.Unlock()
	if l.sendControl(frame{Kind: heartbeatFrame, Number: number}) != nil {
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	late := make(chan struct{})
	go func() {
		defer close(late)
		_ = l.opts.clock.Sleep(ctx, l.opts.interval)
	}()
	for {
		l.mu.Lock()
		ok, echoed := l.live.echoed >= number, l.echoed
		l.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-echoed:
		case <-late:
			return false
		case <-l.ctx.Done():
			return false
		}
	}
}

// flush waits until all queued frames are written.
func (l *link) flush(ctx context.Context) {
	t := time.NewTicker(flushPoll)
	defer t.Stop()
	for !l.out.empty() {
		select {
		case <-ctx.Done():
			return
		case <-l.ctx.Done():
			return
		case <-t.C:
		}
	}
}
