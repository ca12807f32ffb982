package daemon

import (
	"net/http"

	"cicadapitch.example/cicadapitch"
)

// Limits of the HTTP servers for callers and peers.
const (
	headerTimeout  cicadapitch.Millis = 5 * cicadapitch.Second
	idleTimeout    cicadapitch.Millis = 60 * cicadapitch.Second
	maxHeaderBytes cicadapitch.Bytes  = 16 << 10
)

func (d *Daemon) newCallerServer() *http.Server {
	return newHTTPServer(d.closeConnections(d.callerHandler()))
}

func (d *Daemon) newPeerHTTPServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle("/peer", d.peerServer)
	return newHTTPServer(mux)
}

// newHTTPServer returns a server with timeouts and a limit on the size of headers.
func newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout.Duration(),
		IdleTimeout:       idleTimeout.Duration(),
		MaxHeaderBytes:    int(maxHeaderBytes),
	}
}
