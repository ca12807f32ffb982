package relay

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/peer"
	"cicadapitch.example/cicadapitch/platform"
)

const (
	// maxConnections bounds the connections that a host relays at once.
	maxConnections = 256
	// openTimeout bounds the attempt to connect to an endpoint for another host. It is shorter
	// than that for this host's own requests: the other host can ask a second relay.
	openTimeout cicadapitch.Millis = 300
	// claimTimeout is how long an open connection waits for the host that asked for it.
	claimTimeout = 2 * cicadapitch.Second
	// copyBufferBytes is the size of the buffer for one direction of a connection.
	copyBufferBytes = 8 << 10
	// busyRetryAfter is the retry delay for hosts that this one does not relay for now.
	busyRetryAfter cicadapitch.Millis = 500
)

// Server relays connections of other hosts to endpoints. Create it with NewServer.
type Server struct {
	dial  platform.DialFunc
	table *Table
	clock cicadapitch.Clock
	log   zerolog.Logger

	// mu guards the fields below.
	mu sync.Mutex
	// open counts the relayed connections, those that wait to be claimed included.
	open    int
	pending map[string]net.Conn
	stopped bool
}

// NewServer returns a server that connects with dial, unless the table says that this host
// does not reach an endpoint either.
func NewServer(dial platform.DialFunc, table *Table, clock cicadapitch.Clock, log zerolog.Logger) *Server {
	return &Server{dial: dial, table: table, clock: clock, log: log, pending: map[string]net.Conn{}}
}

// RegisterHandlers registers the handler for calls of other hosts at s.
func (s *Server) RegisterHandlers(p *peer.Server) {
	peer.Handle(p, callOpen, func(ctx context.Context, r OpenRequest) (OpenReply, error) {
		reply, err := s.connect(ctx, r)
		s.log.Info().Str("For", string(r.Host)).Str("Address", r.Address).Int("Open", s.Open()).Err(err).Msg("relay")
		return reply, err
	})
}

// Open returns the number of connections that are relayed.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// Stop makes the server refuse new connections. Open ones go on.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
}

// connect opens a connection to an endpoint for another host. Its errors are NotRun.
func (s *Server) connect(ctx context.Context, r OpenRequest) (OpenReply, error) {
	if s.table.State(s.clock.Now(), r.Address) == Relayed {
		return OpenReply{}, cicadapitch.NewNotRun("this host does not reach "+r.Address+" either", busyRetryAfter)
	}
	if !s.begin() {
		return OpenReply{}, cicadapitch.NewNotRun("this host relays no further connections", busyRetryAfter)
	}
	ctx, cancel := context.WithTimeout(ctx, openTimeout.Duration())
	defer cancel()
	c, err := s.dial(ctx, "tcp", r.Address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		s.end()
		return OpenReply{Refused: true}, nil
	}
	if err != nil {
		s.end()
		return OpenReply{}, cicadapitch.NewNotRun("no connection to "+r.Address+": "+err.Error(), busyRetryAfter)
	}
	token := rand.Text()
	s.mu.Lock()
	s.pending[token] = c
	s.mu.Unlock()
	time.AfterFunc(claimTimeout.Duration(), func() {
		if c := s.claim(token); c != nil {
			c.Close()
			s.end()
		}
	})
	return OpenReply{Token: token}, nil
}

// begin counts a connection, unless there are too many or the server has stopped.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || s.open >= maxConnections {
		return false
	}
	s.open++
	return true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
}

// claim returns the connection with a token and forgets it, or nil if there is none.
func (s *Server) claim(token string) net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.pending[token]
	delete(s.pending, token)
	return c
}

// ServeHTTP implements http.Handler. It takes the connection of the request over for the
// endpoint's connection whose token the path names.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	endpoint := s.claim(strings.TrimPrefix(r.URL.Path, Path))
	if endpoint == nil {
		http.Error(w, "no such connection; open another one", http.StatusNotFound)
		return
	}
	defer s.end()
	defer endpoint.Close()
	host, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		s.log.Error().Err(err).Msg("taking over a relayed connection failed")
		return
	}
	defer host.Close()
	if c, ok := host.(*net.TCPConn); ok {
		// A host that is gone is noticed by keep-alive probes; failing to set them only delays that.
		_ = c.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2})
	}
	if _, err := fmt.Fprint(host, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: relay\r\n\r\n"); err != nil {
		return // the host has closed the connection
	}
	splice(host, buffered.Reader, endpoint)
}

// splice copies bytes between a host and an endpoint until either closes its connection.
func splice(host net.Conn, fromHost io.Reader, endpoint net.Conn) {
	go func() {
		// The end of the host's connection is the end of the call; nothing is left to pass on.
		_, _ = copyBytes(endpoint, fromHost)
		endpoint.Close()
	}()
	_, err := copyBytes(host, endpoint)
	if c, ok := host.(*net.TCPConn); ok && err != nil {
		// A broken connection must not look like one that the endpoint closed in order.
		_ = c.SetLinger(0) // fails only if the connection is closed
	}
	host.Close()
}

// copyBytes is io.Copy with a small buffer.
func copyBytes(dst io.Writer, src io.Reader) (int64, error) {
	return io.CopyBuffer(struct{ io.Writer }{dst}, struct{ io.Reader }{src}, make([]byte, copyBufferBytes))
}
