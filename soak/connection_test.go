package soak_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
)

// ending is how an exchange on a caller's connection ended.
type ending string

const (
	answered ending = "answered"
	// unsent means that the connection was closed before the request was sent whole.
	unsent ending = "closed before the request was sent"
	// The request was sent whole, but no byte of an answer came.
	closedWithoutAnswer ending = "closed without an answer"
	resetWithoutAnswer  ending = "reset without an answer"
	// A part of the answer came.
	cutInHead ending = "cut in the head"
	cutInBody ending = "cut in the body"
	// timedOut means that the caller has closed the connection, since the answer did not end in
	// time.
	timedOut ending = "no answer in time"
)

// callerConn is a connection of a caller that it uses for as long as the host allows.
type callerConn struct {
	conn net.Conn
	r    *bufio.Reader
	// received counts the bytes that came in.
	received *countingReader
	run      *processRun
	// notBefore is when the caller uses the idle connection again.
	notBefore time.Time
	// used is true once a request was answered.
	used bool
}

// countingReader counts the bytes that it reads.
type countingReader struct {
	io.Reader
	n int64
}

// Read implements io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.n += int64(n)
	return n, err
}

// dialHost opens a connection to a host.
func dialHost(p *hostProcess) (*callerConn, error) {
	run := p.currentRun()
	c, err := net.DialTimeout("tcp", p.ip+":8001", time.Second)
	if err != nil {
		return nil, err
	}
	received := &countingReader{Reader: c}
	return &callerConn{conn: c, r: bufio.NewReader(received), received: received, run: run}, nil
}

// reply is what came of an exchange.
type reply struct {
	ending ending
	// resp is nil if no whole head came. body is what came of the body, and complete whether that
	// is all.
	resp     *http.Response
	body     []byte
	complete bool
	// sentAt is when the last byte of the request was sent.
	sentAt, endedAt time.Time
	// kept is true if the connection can carry another request.
	kept bool
}

// exchange sends a request and reads its answer until timeout.
func (c *callerConn) exchange(req *http.Request, timeout time.Duration) reply {
	r := reply{}
	var b bytes.Buffer
	_ = c.conn.SetDeadline(time.Now().Add(timeout)) // fails only on a closed connection
	before := c.received.n
	err := req.Write(&b)
	if err == nil {
		_, err = c.conn.Write(b.Bytes())
	}
	r.sentAt = time.Now()
	if err != nil {
		r.ending, r.endedAt = unsent, r.sentAt
		return r
	}
	r.resp, err = http.ReadResponse(c.r, req)
	if err == nil {
		r.body, err = io.ReadAll(r.resp.Body)
	}
	r.endedAt = time.Now()
	r.ending = endingOf(err, c.received.n > before, r.resp != nil)
	r.complete = r.ending == answered
	r.kept = r.complete && !r.resp.Close
	c.used = true
	return r
}

// endingOf returns the ending of an exchange whose request was sent and that ended with err.
func endingOf(err error, begun, head bool) ending {
	switch {
	case err == nil:
		return answered
	case errors.Is(err, os.ErrDeadlineExceeded):
		return timedOut
	case head:
		return cutInBody
	case begun:
		return cutInHead
	case errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE):
		return resetWithoutAnswer
	}
	return closedWithoutAnswer
}
