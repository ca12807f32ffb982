package answer

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// Conn is the client side of a connection whose answers are checked as they are read, for clients that parse them
// by themselves, such as http.Transport. One request at a time is written to it. Requests in chunks and connections
// with TLS are not checked.
type Conn struct {
	net.Conn

	mu      sync.Mutex
	request requestScanner
	head    HeadScanner
}

// NewConn returns a checked connection over c, which has carried nothing yet.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.request.scan(b, c.head.Begin)
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// Read implements net.Conn. It returns a HeadError in place of the bytes that show that a head is invalid.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if invalid := c.head.Scan(b[:n]); invalid != nil {
		return 0, invalid
	}
	return n, err
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
