package rig

import (
	"io"
	"net"
	"sync"
)

// Proxy passes TCP connections on to an address.
type Proxy struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// silence is closed once the connections that were open at that time carry nothing any more.
	silence chan struct{}
}

// NewProxy starts a proxy on a loopback port.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, silence: make(chan struct{})}
	go p.accept()
	return p, nil
}

// Address returns the ip:port of the proxy.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close ends the proxy for new connections.
func (p *Proxy) Close() { _ = p.listener.Close() }

// SilenceOpen makes the connections that are open now fall silent for good, without a reset. New
// ones work.
func (p *Proxy) SilenceOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silence)
	p.silence = make(chan struct{})
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		p.mu.Lock()
		silence := p.silence
		p.mu.Unlock()
		go p.serve(c, silence)
	}
}

// serve passes the bytes of a connection on in both directions until it falls silent.
func (p *Proxy) serve(c net.Conn, silence <-chan struct{}) {
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	go pass(c, t, silence)
	pass(t, c, silence)
}

// pass copies bytes from src to dst. Once the connection is silent it drops them and keeps both open.
func pass(dst, src net.Conn, silence <-chan struct{}) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		select {
		case <-silence:
			_, _ = io.Copy(io.Discard, src)
			_ = src.Close()
			return
		default:
		}
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			_ = dst.Close()
			_ = src.Close()
			return
		}
	}
}
