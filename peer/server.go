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
	opts       options
	key        []byte
	handshakes chan struct{}
	ctx        context.Context
	cancel     context.CancelCauseFunc
	// calls counts the running handlers, links the open connections.
	calls sync.WaitGroup
	links sync.WaitGroup

	mu       sync.RWMutex
	handlers map[string]handler
	open     map[*link]struct{}
	closing  bool
}

// NewServer returns a server for hosts that prove the key.
func NewServer(key []byte, opts ...Option) *Server {
	o := newOptions(opts)
	ctx, cancel := context.WithCancelCause(context.Background())
	return &Server{
		opts:       o,
		key:        key,
		handshakes: make(chan struct{}, o.maxHandshakes),
		ctx:        ctx,
		cancel:     cancel,
		handlers:   make(map[string]handler),
		open:       make(map[*link]struct{}),
	}
}

// ServeHTTP implements http.Handler. It returns when the connection has ended.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case s.handshakes <- struct{}{}:
	default:
		http.Error(w, "too many handshakes; come back later", http.StatusServiceUnavailable)
		return
	}
	ws, host, err := s.handshake(w, r)
	<-s.handshakes
	if err != nil {
		s.opts.log.Warn().Str("Remote", r.RemoteAddr).Err(err).Msg("peer refused")
		return
	}
	s.serve(ws, host)
}

func (s *Server) handshake(w http.ResponseWriter, r *http.Request) (*websocket.Conn, cicadapitch.HostID, error) {
	ws, err := websocket.Accept(rareKeepAlive{w}, r, nil)
	if err != nil {
		return nil, "", cicadapitch.Wrap(err)
	}
	ws.SetReadLimit(handshakeMaxBytes)
	ctx, cancel := context.WithTimeout(s.ctx, s.opts.handshake.Duration())
	defer cancel()
	host, err := acceptPeer(ctx, ws, s.key)
	if err != nil {
		_ = ws.CloseNow()
		return nil, "", err
	}
	return ws, host, nil
}

func (s *Server) serve(ws *websocket.Conn, host cicadapitch.HostID) {
	l := newLink(s.ctx, s.opts, ws)
	if !s.track(l) {
		l.fail(errClosed)
		return
	}
	defer s.untrack(l)
	l.run(&serving{server: s, link: l, host: host, runs: make(map[uint64]*run)})
	s.opts.log.Info().Str("Host", string(host)).Err(context.Cause(l.ctx)).Msg("peer connection ended")
}

func (s *Server) track(l *link) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.open[l] = struct{}{}
	s.links.Add(1)
	return true
}

func (s *Server) untrack(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, l)
	s.links.Done()
}

func (s *Server) register(name string, h handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[name] = h
}

// lookup returns the handler of a name and counts a call that has begun.
func (s *Server) lookup(name string) (handler, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.closing {
		return nil, cicadapitch.NewNotRun("the host is leaving", closingRetry)
	}
	h, ok := s.handlers[name]
	if !ok {
		return nil, cicadapitch.NewError(cicadapitch.NotFound,
			"unknown message name "+name, "run the same version on every host")
	}
	s.calls.Add(1)
	return h, nil
}

// Close refuses new calls with NotRun, waits until the running ones have ended
// and been answered, and ends the connections. When ctx ends first, it cancels
// them.
func (s *Server) Close(ctx context.Context) error {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	err := waitFor(ctx, s.calls.Wait)
	for _, l := range s.connections() {
		l.flush(ctx)
		l.fail(errClosed)
	}
	s.cancel(errClosed)
	s.links.Wait()
	return err
}

func (s *Server) connections() []*link {
	s.mu.RLock()
	defer s.mu.RUnlock()
	list := make([]*link, 0, len(s.open))
	for l := range s.open {
		list = append(list, l)
	}
	return list
}

// waitFor waits for wait to return or for ctx to end.
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

// keepAlive finds idle connections whose other end is gone. It is rare,
// because a host has an idle connection with nearly every other host.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Minute, Interval: 15 * time.Second, Count: 4}

// rareKeepAlive sets keepAlive on the connection behind an HTTP request.
type rareKeepAlive struct{ http.ResponseWriter }

// Hijack implements http.Hijacker.
func (w rareKeepAlive) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	h, ok := w.ResponseWriter.(http.Hijacker)
	if !ok {
		return nil, nil, cicadapitch.Wrap(errors.ErrUnsupported)
	}
	conn, rw, err := h.Hijack()
	if tcp, ok := conn.(*net.TCPConn); ok && err == nil {
		_ = tcp.SetKeepAliveConfig(keepAlive)
	}
	return conn, rw, err
}
