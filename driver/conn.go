package driver

import (
	"errors"
	"net"
	"sync"
)

// errSealed is the error of a Write to a sealed connection.
var errSealed = errors.New("the connection was given up before the call was written")

// sealableConn counts the bytes written to a connection. Once it is sealed,
// every Write fails with errSealed.
type sealableConn struct {
	net.Conn
	mu           sync.Mutex
	bytesWritten int64
	sealed       bool
}

// Write implements net.Conn. It counts the bytes before it writes them, so that
// a write in progress or a failed write counts too.
func (c *sealableConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.bytesWritten += int64(len(b))
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// retire closes the connection and seals it, in case another call has got it already.
func (c *sealableConn) retire() {
	c.mu.Lock()
	c.sealed = true
	c.mu.Unlock()
	c.Close()
}

// writtenBytes returns the count of bytes written so far.
func (c *sealableConn) writtenBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytesWritten
}

// sealIfUnwritten seals the connection if the count of written bytes still equals
// offset. It reports whether it did.
func (c *sealableConn) sealIfUnwritten(offset int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bytesWritten != offset {
		return false
	}
	c.sealed = true
	return true
}
