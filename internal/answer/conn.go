package answer

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
)

// Conn is the client side of a connection whose answers are checked as they are read, for clients that parse them
// by themselves, such as http.Transport. One request at a time is written to it. Requests in chunks and connections
// with TLS are not checked.
type Conn struct {
	net.Conn

	// mu guards the fields below.
	mu      sync.Mutex
	request requestScanner
	head    HeadScanner
	// writes is the number of writes in progress, writeErr the error of the first that failed.
	writes   int
	writeErr error
	closed   bool
	// changed is signaled when a write has ended and when the connection is closed.
	changed sync.Cond
}

// NewConn returns a checked connection over c, which has carried nothing yet.
func NewConn(c net.Conn) *Conn {
	checked := &Conn{Conn: c}
	checked.changed.L = &checked.mu
	return checked
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.request.scan(b, c.head.Begin)
	c.writes++
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes--
	if c.writeErr == nil {
		c.writeErr = err
	}
	c.changed.Broadcast()
	return n, err
}

// Read implements net.Conn. It returns a HeadError in place of the bytes that show that a head is invalid, and an
// UnprovenEndError at the end of a body that is not known to be whole. It waits for the end of the write of the request
// there, or until the connection is closed.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if invalid := c.head.Scan(b[:n]); invalid != nil {
		return 0, invalid
	}
	if err == io.EOF && c.head.EndsWithConnection() {
		err = c.awaitRequest()
	}
	return n, err
}

// awaitRequest waits until the request was written. It returns io.EOF if it was written whole. The caller holds mu.
func (c *Conn) awaitRequest() error {
	for c.writeErr == nil && (c.writes > 0 || !c.request.whole()) {
		if c.closed {
			return net.ErrClosed
		}
		c.changed.Wait()
	}
	if c.writeErr != nil {
		return &UnprovenEndError{Request: c.writeErr}
	}
	return io.EOF
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// CheckDial returns a function that opens connections with dial and checks their answers.
func CheckDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}

// NewTransport returns a copy of http.DefaultTransport that checks answers.
func NewTransport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.DialContext = CheckDial(t.DialContext)
	return t
}
