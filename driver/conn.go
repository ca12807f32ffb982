package driver

import (
	"errors"
	"net"
	"sync"
)

var errSealed = errors.New("the connection was given up before the call was written")

// sealableConn counts the bytes that were handed to a connection. Once it is
// sealed, no byte follows.
type sealableConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write implements net.Conn. Bytes count as written before they are.
func (c *sealableConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written += int64(len(b))
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *sealableConn) position() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal returns whether nothing was written since a position. If so, nothing
// ever will be.
func (c *sealableConn) seal(since int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written != since {
		return false
	}
	c.sealed = true
	return true
}
