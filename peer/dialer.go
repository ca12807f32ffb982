package peer

import (
	"context"
	"net/http"
	"sync"

	"github.com/coder/websocket"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/internal/answer"
)

// Dialer makes calls to other hosts. All calls to an address share one
// connection, which the first call opens. A Dialer may be used concurrently.
type Dialer struct {
	opts   options
	self   cicadapitch.HostID
	key    []byte
	client *http.Client
	ctx    context.Context
	cancel context.CancelCauseFunc
	// activeCalls counts the calls in progress, activeConns the open
	// connections and running dials.
	activeCalls sync.WaitGroup
	activeConns sync.WaitGroup

	mu sync.RWMutex
	// conns holds the current connection for each address.
	conns   map[string]*sharedConn
	closing bool
}

// sharedConn is the connection that all calls to an address share. It is being
// opened until done is closed; then either conn or err is set.
type sharedConn struct {
	done chan struct{}
	conn *clientConn
	err  error
}

// NewDialer returns a dialer that presents the host id self and authenticates
// with the deployment key.
func NewDialer(self cicadapitch.HostID, key []byte, opts ...Option) *Dialer {
	o := newOptions(opts)
	ctx, cancel := context.WithCancelCause(context.Background())
	transport := &http.Transport{
		DialContext:       answer.CheckDial(o.dialContext),
		DisableKeepAlives: true,
	}
	return &Dialer{
		opts:   o,
		self:   self,
		key:    key,
		client: &http.Client{Transport: transport},
		ctx:    ctx,
		cancel: cancel,
		conns:  make(map[string]*sharedConn),
	}
}

// Close makes new calls fail with NotRun, waits for the pending calls and
// closes the connections. If ctx ends first, Close fails the pending calls and
// returns the error of ctx.
func (d *Dialer) Close(ctx context.Context) error {
	d.mu.Lock()
	d.closing = true
	d.mu.Unlock()
	err := waitFor(ctx, d.activeCalls.Wait)
	d.cancel(errClosed)
	d.activeConns.Wait()
	return err
}

// beginCall counts a call in activeCalls. It fails once Close has been called.
func (d *Dialer) beginCall() error {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if d.closing {
		return errClosed
	}
	d.activeCalls.Add(1)
	return nil
}

// connection returns a live connection to address and opens one if necessary. A
// connection without a recent frame is probed first and replaced if it does not
// answer.
func (d *Dialer) connection(ctx context.Context, address string) (*clientConn, error) {
	for {
		shared := d.connFor(address)
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-shared.done:
		}
		if shared.err != nil {
			return nil, shared.err
		}
		c := shared.conn
		if c.conn.ctx.Err() == nil && (c.conn.receivedRecently() || c.conn.probe(ctx)) {
			return c, nil
		}
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		d.removeConn(address, shared)
		c.drain()
	}
}

// connFor returns the current connection for address. If there is none, it starts
// to open one.
func (d *Dialer) connFor(address string) *sharedConn {
	d.mu.RLock()
	known := d.conns[address]
	d.mu.RUnlock()
	if known != nil {
		return known
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if known := d.conns[address]; known != nil {
		return known
	}
	shared := &sharedConn{done: make(chan struct{})}
	d.conns[address] = shared
	d.activeConns.Go(func() { d.runConn(address, shared) })
	return shared
}

// removeConn removes a connection, so that the next call to address opens a new
// one. It does nothing if a newer connection is current.
func (d *Dialer) removeConn(address string, shared *sharedConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conns[address] == shared {
		delete(d.conns, address)
	}
}

// runConn opens a connection and runs it until it ends.
func (d *Dialer) runConn(address string, shared *sharedConn) {
	ws, err := d.openConn(address)
	if err != nil {
		shared.err = err
		d.removeConn(address, shared)
		close(shared.done)
		return
	}
	c := newConn(d.ctx, d.opts, ws)
	shared.conn = newClientConn(c)
	close(shared.done)
	c.run(shared.conn)
	d.removeConn(address, shared)
	d.opts.log.Info().Str("Address", address).Err(context.Cause(c.ctx)).Msg("outgoing peer connection ended")
}

// openConn dials address and performs the handshake.
func (d *Dialer) openConn(address string) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(d.ctx, d.opts.handshakeTimeout.Duration())
	defer cancel()
	ws, resp, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{HTTPClient: d.client})
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return nil, cicadapitch.Wrap(err)
	}
	ws.SetReadLimit(maxHandshakeBytes)
	if err := clientHandshake(ctx, ws, d.self, d.key); err != nil {
		_ = ws.CloseNow()
		return nil, err
	}
	return ws, nil
}
