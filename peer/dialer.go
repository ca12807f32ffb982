package peer

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/coder/websocket"

	"cicadapitch.example/cicadapitch"
)

// Dialer makes calls to other hosts. It keeps a connection per address.
type Dialer struct {
	opts   options
	self   cicadapitch.HostID
	key    []byte
	client *http.Client
	ctx    context.Context
	cancel context.CancelCauseFunc
	// calls counts the pending calls, links the connections and dials.
	calls sync.WaitGroup
	links sync.WaitGroup

	mu      sync.RWMutex
	dials   map[string]*dial
	closing bool
}

// dial is a connection that is open or will be, or the failure to make it.
type dial struct {
	done    chan struct{}
	calling *calling
	err     error
}

// NewDialer returns a dialer that speaks for self and proves the key.
func NewDialer(self cicadapitch.HostID, key []byte, opts ...Option) *Dialer {
	o := newOptions(opts)
	ctx, cancel := context.WithCancelCause(context.Background())
	transport := &http.Transport{
		DialContext:       (&net.Dialer{KeepAliveConfig: keepAlive}).DialContext,
		DisableKeepAlives: true,
	}
	return &Dialer{
		opts:   o,
		self:   self,
		key:    key,
		client: &http.Client{Transport: transport},
		ctx:    ctx,
		cancel: cancel,
		dials:  make(map[string]*dial),
	}
}

// Close refuses new calls, waits for the pending ones and ends the
// connections. When ctx ends first, the pending calls fail.
func (d *Dialer) Close(ctx context.Context) error {
	d.mu.Lock()
	d.closing = true
	d.mu.Unlock()
	err := waitFor(ctx, d.calls.Wait)
	d.cancel(errClosed)
	d.links.Wait()
	return err
}

// enter counts a call, unless the dialer is closed.
func (d *Dialer) enter() error {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if d.closing {
		return errClosed
	}
	d.calls.Add(1)
	return nil
}

// connection returns a connection that was heard of lately, or a new one.
func (d *Dialer) connection(ctx context.Context, address string) (*calling, error) {
	for {
		dial := d.dial(address)
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-dial.done:
		}
		if dial.err != nil {
			return nil, dial.err
		}
		c := dial.calling
		if c.link.ctx.Err() == nil && (c.link.fresh() || c.link.probe(ctx)) {
			return c, nil
		}
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		d.forget(address, dial)
		c.abandon()
	}
}

// dial returns the dial of an address and starts it where there is none.
func (d *Dialer) dial(address string) *dial {
	d.mu.RLock()
	known := d.dials[address]
	d.mu.RUnlock()
	if known != nil {
		return known
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if known := d.dials[address]; known != nil {
		return known
	}
	started := &dial{done: make(chan struct{})}
	d.dials[address] = started
	d.links.Go(func() { d.connect(address, started) })
	return started
}

func (d *Dialer) forget(address string, old *dial) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.dials[address] == old {
		delete(d.dials, address)
	}
}

// connect dials and then carries the connection until it ends.
func (d *Dialer) connect(address string, started *dial) {
	ws, err := d.handshake(address)
	if err != nil {
		started.err = err
		d.forget(address, started)
		close(started.done)
		return
	}
	l := newLink(d.ctx, d.opts, ws)
	started.calling = newCalling(l)
	close(started.done)
	l.run(started.calling)
	d.forget(address, started)
	d.opts.log.Info().Str("Address", address).Err(context.Cause(l.ctx)).Msg("peer connection ended")
}

func (d *Dialer) handshake(address string) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(d.ctx, d.opts.handshake.Duration())
	defer cancel()
	ws, resp, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{HTTPClient: d.client})
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return nil, cicadapitch.Wrap(err)
	}
	ws.SetReadLimit(handshakeMaxBytes)
	if err := introduce(ctx, ws, d.self, d.key); err != nil {
		_ = ws.CloseNow()
		return nil, err
	}
	return ws, nil
}
