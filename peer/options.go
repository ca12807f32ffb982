package peer

import (
	"context"
	"net"

	"github.com/rs/zerolog"

	"cicadapitch.example/cicadapitch"
)

// Path is the URL path at which a Server is mounted.
const Path = "/peer"

// ProtocolVersion is the version of the protocol. The handshake fails between
// hosts of different versions.
const ProtocolVersion = 1

const (
	defaultMaxMessage        cicadapitch.Bytes  = 8 << 20
	defaultStreamWindow      cicadapitch.Bytes  = 256 << 10
	defaultHandshakeTimeout  cicadapitch.Millis = 2000
	defaultHeartbeatInterval cicadapitch.Millis = 500
	defaultEchoTimeout       cicadapitch.Millis = 1500
	defaultProbeAfterIdle    cicadapitch.Millis = 1000
	defaultMaxCalls                             = 8192
	defaultMaxHandshakes                        = 256
)

type options struct {
	clock             cicadapitch.Clock
	log               zerolog.Logger
	maxMessage        cicadapitch.Bytes
	streamWindow      cicadapitch.Bytes
	handshakeTimeout  cicadapitch.Millis
	heartbeatInterval cicadapitch.Millis
	echoTimeout       cicadapitch.Millis
	probeAfterIdle    cicadapitch.Millis
	maxCalls          int
	maxHandshakes     int
	dialContext       func(ctx context.Context, network, address string) (net.Conn, error)
}

// Option configures a Server or a Dialer.
type Option func(*options)

func newOptions(opts []Option) options {
	o := options{
		clock:             cicadapitch.NewSystemClock(),
		log:               zerolog.Nop(),
		maxMessage:        defaultMaxMessage,
		streamWindow:      defaultStreamWindow,
		handshakeTimeout:  defaultHandshakeTimeout,
		heartbeatInterval: defaultHeartbeatInterval,
		echoTimeout:       defaultEchoTimeout,
		probeAfterIdle:    defaultProbeAfterIdle,
		maxCalls:          defaultMaxCalls,
		maxHandshakes:     defaultMaxHandshakes,
		dialContext:       (&net.Dialer{KeepAliveConfig: keepAliveConfig}).DialContext,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// WithClock sets the clock for heartbeats and probes. Timeouts of calls and
// handshakes use the system clock.
func WithClock(c cicadapitch.Clock) Option { return func(o *options) { o.clock = c } }

// WithLog sets the logger. By default nothing is logged.
func WithLog(log zerolog.Logger) Option { return func(o *options) { o.log = log } }

// WithMaxMessage sets the maximum size of a message in bytes. A larger call
// fails with an Invalid error before it is sent, a larger response fails its call
// with OutcomeUnknown. All hosts need the same value, since a host closes a
// connection with messages far above its own. The default is 8 MiB.
func WithMaxMessage(n cicadapitch.Bytes) Option { return func(o *options) { o.maxMessage = n } }

// WithStreamWindow sets the flow-control window of a stream: how many bytes of
// items the server may send before the caller has read them. The caller's
// Dialer sets the window, a Server ignores this option. The default is 256 KiB.
func WithStreamWindow(n cicadapitch.Bytes) Option { return func(o *options) { o.streamWindow = n } }

// WithHandshakeTimeout bounds the time for a dial and its handshake. The default
// is 2 seconds.
func WithHandshakeTimeout(m cicadapitch.Millis) Option {
	return func(o *options) { o.handshakeTimeout = m }
}

// WithHeartbeat sets the interval of heartbeats and the time without an echo
// after which a connection is closed. The defaults are 500 and 1500 ms.
func WithHeartbeat(interval, echoTimeout cicadapitch.Millis) Option {
	return func(o *options) { o.heartbeatInterval, o.echoTimeout = interval, echoTimeout }
}

// WithProbeAfterIdle sets how long a connection may receive nothing before it
// must answer a probe to carry another request. The default is 1 second.
func WithProbeAfterIdle(m cicadapitch.Millis) Option {
	return func(o *options) { o.probeAfterIdle = m }
}

// WithMaxCalls sets how many calls a Server handles concurrently on one
// connection. The default is 8192.
func WithMaxCalls(n int) Option { return func(o *options) { o.maxCalls = n } }

// WithMaxHandshakes sets how many handshakes a Server performs concurrently. The
// default is 256.
func WithMaxHandshakes(n int) Option { return func(o *options) { o.maxHandshakes = n } }

// WithDialContext sets the function with which a Dialer opens connections. A Server
// ignores this option.
func WithDialContext(f func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(o *options) { o.dialContext = f }
}
