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

// Option changes a Group.
type Option func(*options)

// WithClock sets the clock.
func WithClock(c cicadapitch.Clock) Option { return func(o *options) { o.clock = c } }

// WithLog sets the logger.
func WithLog(log zerolog.Logger) Option { return func(o *options) { o.log = log } }

// WithSeeds names addresses, ip:port, of hosts to begin with.
func WithSeeds(addresses []string) Option { return func(o *options) { o.seeds = addresses } }

// WithHostList sets the platform's list of hosts, which gives addresses to
// begin with and hosts that leave.
func WithHostList(l cicadapitch.HostList) Option { return func(o *options) { o.hostList = l } }

// WithTransport sets what carries the pings.
func WithTransport(t Transport) Option { return func(o *options) { o.transport = t } }

func newOptions(opts []Option) options {
	o := options{clock: cicadapitch.NewSystemClock(), log: zerolog.Nop(), randomSeed: rand.Uint64(), transport: noTransport{}}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
