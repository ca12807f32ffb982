package host

import (
	"math/rand/v2"

	"github.com/rs/zerolog"

	"cicadapitch.example/cicadapitch"
)

type options struct {
	clock      cicadapitch.Clock
	log        zerolog.Logger
	seeds      []string
	hostList   cicadapitch.HostList
	randomSeed uint64
	transport  Transport
}

// Option configures a Group.
type Option func(*options)

// WithClock sets the clock. The default is the system clock.
func WithClock(c cicadapitch.Clock) Option { return func(o *options) { o.clock = c } }

// WithLog sets the logger. The default discards all messages.
func WithLog(log zerolog.Logger) Option { return func(o *options) { o.log = log } }

// WithSeeds sets the addresses, ip:port, of hosts through which to join.
func WithSeeds(addresses []string) Option { return func(o *options) { o.seeds = addresses } }

// WithHostList sets the platform's host list, which provides further seeds and
// marks hosts as leaving.
func WithHostList(l cicadapitch.HostList) Option { return func(o *options) { o.hostList = l } }

// WithTransport sets the transport of pings. Without one each ping fails.
func WithTransport(t Transport) Option { return func(o *options) { o.transport = t } }

func newOptions(opts []Option) options {
	o := options{clock: cicadapitch.NewSystemClock(), log: zerolog.Nop(), randomSeed: rand.Uint64(), transport: noTransport{}}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
