package peer

import (
	"github.com/rs/zerolog"

	"cicadapitch.example/cicadapitch"
)

// Path is where a Server is mounted.
const Path = "/peer"

// ProtocolVersion is the version of the messages. Hosts of another version are
// refused.
const ProtocolVersion = 1

const (
	defaultMaxMessage    cicadapitch.Bytes  = 8 << 20
	defaultWindow        cicadapitch.Bytes  = 256 << 10
	defaultHandshake     cicadapitch.Millis = 2000
	defaultInterval      cicadapitch.Millis = 500
	defaultSilence       cicadapitch.Millis = 1500
	defaultIdle          cicadapitch.Millis = 1000
	defaultMaxCalls                         = 8192
	defaultMaxHandshakes                    = 256
)

type options struct {
	clock         cicadapitch.Clock
	log           zerolog.Logger
	maxMessage    cicadapitch.Bytes
	window        cicadapitch.Bytes
	handshake     cicadapitch.Millis
	interval      cicadapitch.Millis
	silence       cicadapitch.Millis
	idle          cicadapitch.Millis
	maxCalls      int
	maxHandshakes int
}

// Option changes a Server or a Dialer.
type Option func(*options)

func newOptions(opts []Option) options {
	o := options{
		clock:         cicadapitch.NewSystemClock(),
		log:           zerolog.Nop(),
		maxMessage:    defaultMaxMessage,
		window:        defaultWindow,
		handshake:     defaultHandshake,
		interval:      defaultInterval,
		silence:       defaultSilence,
		idle:          defaultIdle,
		maxCalls:      defaultMaxCalls,
		maxHandshakes: defaultMaxHandshakes,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// WithClock sets the clock for heartbeats and timeouts.
func WithClock(c cicadapitch.Clock) Option { return func(o *options) { o.clock = c } }

// WithLog sets the logger.
func WithLog(log zerolog.Logger) Option { return func(o *options) { o.log = log } }

// WithMaxMessage bounds the size of one message in bytes.
func WithMaxMessage(n cicadapitch.Bytes) Option { return func(o *options) { o.maxMessage = n } }

// WithWindow sets how many bytes of items a stream may have on the way before
// its reader has taken them. The side that reads decides.
func WithWindow(n cicadapitch.Bytes) Option { return func(o *options) { o.window = n } }

// WithHandshakeTimeout bounds the time of a dial and its handshake.
func WithHandshakeTimeout(m cicadapitch.Millis) Option {
	return func(o *options) { o.handshake = m }
}

// WithHeartbeat sets the interval of heartbeats and the span after which a
// connection that does not answer them is given up.
func WithHeartbeat(interval, silence cicadapitch.Millis) Option {
	return func(o *options) { o.interval, o.silence = interval, silence }
}

// WithIdle sets the span without any received frame after which a connection
// is probed before it carries another request.
func WithIdle(m cicadapitch.Millis) Option { return func(o *options) { o.idle = m } }

// WithMaxCalls bounds the calls that one connection serves at the same time.
func WithMaxCalls(n int) Option { return func(o *options) { o.maxCalls = n } }

// WithMaxHandshakes bounds the handshakes that a Server carries out at the
// same time.
func WithMaxHandshakes(n int) Option { return func(o *options) { o.maxHandshakes = n } }
