package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"

	"cicadapitch.example/cicadapitch"
)

// Server serves the calls of other hosts. It is an http.Handler for Path.
type Server struct {
	opts options
	key  []byte
	// handshakeSlots limits the concurrent handshakes.
	handshakeSlots chan struct{}
	ctx            context.Context
	cancel         context.CancelCauseFunc
	// activeCalls counts the running handlers, activeConns the open
	// connections.
	activeCalls sync.WaitGroup
	activeConns sync.WaitGroup

	mu       sync.RWMutex
	handlers map[string]handler
	conns    map[*conn]struct{}
	closing  bool
}

// NewServer returns a server that accepts hosts with the deployment key.
func NewServer(key []byte, opts ...Option) *Server {
	o := newOptions(opts)
	ctx, cancel := context.WithCancelCause(context.Background())
	return &Server{
		opts:           o,
		key:            key,
		handshakeSlots: make(chan struct{}, o.maxHandshakes),
		ctx:            ctx,
		cancel:         cancel,
		handlers:       make(map[string]handler),
		conns:          make(map[*conn]struct{}),
	}
}

// ServeHTTP implements http.Handler. It authenticates the client and returns
// when the connection has ended.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case s.handshakeSlots <- struct{}{}:
	default:
		http.Error(w, "too many handshakes; come back later", http.StatusServiceUnavailable)
		return
	}
	ws, host, err := s.handshake(w, r)
	<-s.handshakeSlots
	if err != nil {
		s.opts.log.Warn().Str("Remote", r.RemoteAddr).Err(err).Msg("peer handshake failed")
		return
	}
	s.serveConn(ws, host)
}

// handshake upgrades the request to a WebSocket and authenticates the client.
// It returns the host id that the client presents.
func (s *Server) handshake(w http.ResponseWriter, r *http.Request) (*websocket.Conn, cicadapitch.HostID, error) {
	ws, err := websocket.Accept(keepAliveWriter{w}, r, nil)
	if err != nil {
		return nil, "", cicadapitch.Wrap(err)
	}
	ws.SetReadLimit(maxHandshakeBytes)
	ctx, cancel := context.WithTimeout(s.ctx, s.opts.handshakeTimeout.Duration())
	defer cancel()
	host, err := serverHandshake(ctx, ws, s.key)
	if err != nil {
		_ = ws.CloseNow()
		return nil, "", err
	}
	return ws, host, nil
}

// serveConn serves the calls of a connection until it ends.
func (s *Server) serveConn(ws *websocket.Conn, host cicadapitch.HostID) {
	c := newConn(s.ctx, s.opts, ws)
	if !s.addConn(c) {
		c.closeWithError(errClosed)
		return
	}
	defer s.removeConn(c)
	c.run(&serverConn{server: s, conn: c, peerHost: host, calls: make(map[uint64]*activeCall)})
	s.opts.log.Info().Str("Host", string(host)).Err(context.Cause(c.ctx)).Msg("incoming peer connection ended")
}

// addConn records an open connection. It returns false once Close has been
// called.
func (s *Server) addConn(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.conns[c] = struct{}{}
	s.activeConns.Add(1)
	return true
}

// removeConn removes a connection that has ended.
func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.activeConns.Done()
}

// register sets the handler of calls to name.
func (s *Server) register(name string, h handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[name] = h
}

// beginCall returns the handler of name and counts the call in activeCalls. It
// fails once Close has been called or if there is no such handler.
func (s *Server) beginCall(name string) (handler, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.closing {
		return nil, cicadapitch.NewNotRun("the host is leaving", closingRetryAfter)
	}
	h, ok := s.handlers[name]
	if !ok {
		return nil, cicadapitch.NewError(cicadapitch.NotFound,
			"unknown message name "+name, "run the same version on every host")
	}
	s.activeCalls.Add(1)
	return h, nil
}

// Close makes new calls fail with NotRun, waits until the running calls have
// ended and their responses are sent, and closes the connections. If ctx ends
// first, Close ends the contexts of the handlers, waits for the handlers and
// returns the error of ctx.
func (s *Server) Close(ctx context.Context) error {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	err := waitFor(ctx, s.activeCalls.Wait)
	for _, c := range s.openConns() {
		c.flush(ctx)
		c.closeWithError(errClosed)
	}
	s.cancel(errClosed)
	s.activeConns.Wait()
	return err
}

// openConns returns the open connections.
func (s *Server) openConns() []*conn {
	s.mu.RLock()
	defer s.mu.RUnlock()
	list := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	return list
}

// waitFor returns nil when wait has returned, or an error when ctx ends first. In
// that case wait keeps running in the background.
func waitFor(ctx context.Context, wait func()) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		wait()
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return cicadapitch.Wrap(ctx.Err())
	}
}

// keepAliveConfig detects idle connections whose other end no longer exists.
// The interval is long because each host has an idle connection to nearly every
// other host.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Minute, Interval: 15 * time.Second, Count: 4}

// keepAliveWriter is a ResponseWriter that applies keepAliveConfig to the
// hijacked connection.
type keepAliveWriter struct{ http.ResponseWriter }

// Hijack implements http.Hijacker.
func (w keepAliveWriter) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	h, ok := w.ResponseWriter.(http.Hijacker)
	if !ok {
		return nil, nil, cicadapitch.Wrap(errors.ErrUnsupported)
	}
	conn, rw, err := h.Hijack()
	if tcp, ok := conn.(*net.TCPConn); ok && err == nil {
		_ = tcp.SetKeepAliveConfig(keepAliveConfig)
	}
	return conn, rw, err
}
