package daemon

import (
	"net/http"

	"cicadapitch.example/cicadapitch"
)

// Bounds of the listeners.
const (
	headerTimeout  cicadapitch.Millis = 5 * cicadapitch.Second
	idleTimeout    cicadapitch.Millis = 60 * cicadapitch.Second
	maxHeaderBytes cicadapitch.Bytes  = 16 << 10
)

func (d *Daemon) callerServer() *http.Server {
	return boundedServer(d.callerHandler())
}

func (d *Daemon) peerServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle("/peer", d.peers)
	return boundedServer(mux)
}

func boundedServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout.Duration(),
		IdleTimeout:       idleTimeout.Duration(),
		MaxHeaderBytes:    int(maxHeaderBytes),
	}
}
