package host

import "cicadapitch.example/cicadapitch"

const (
	// tick is the resolution of the core's own timers.
	tick cicadapitch.Millis = 100
	// probeInterval is the span between two direct probes of this host.
	probeInterval cicadapitch.Millis = 500
	// probeTimeout bounds a direct probe.
	probeTimeout cicadapitch.Millis = 500
	// relayTimeout bounds the probes through other hosts.
	relayTimeout cicadapitch.Millis = 800
	// relays is how many other hosts probe in turn.
	relays = 3
	// suspicion is how long a host may refute.
	suspicion cicadapitch.Millis = 3 * cicadapitch.Second
	// fanout is how many hosts are told at once of what is urgent.
	fanout = 3
	// thawGap is a span between two ticks that shows that this process was
	// paused itself.
	thawGap cicadapitch.Millis = 2 * cicadapitch.Second
	// joining is how long a new process may outbid its predecessors.
	joining cicadapitch.Millis = 10 * cicadapitch.Second
	// retention is how long a host that is Gone is remembered.
	retention = 10 * cicadapitch.Minute
	// forgetInterval is the span between two looks for what to forget.
	forgetInterval cicadapitch.Millis = 10 * cicadapitch.Second
	// reconnectInterval is the span between two pings of an address that is
	// not known to be alive.
	reconnectInterval cicadapitch.Millis = 5 * cicadapitch.Second
	// settling is how long nothing may have changed before a digest that
	// differs is compared.
	settling cicadapitch.Millis = 2 * cicadapitch.Second
	// spreading is how long comparisons wait while there are news.
	spreading cicadapitch.Millis = 20 * cicadapitch.Second
	// compareInterval is the span between two comparisons.
	compareInterval cicadapitch.Millis = cicadapitch.Second
	// compareBytes bounds the statuses that one comparison answers with.
	compareBytes cicadapitch.Bytes = 4 << 10

	// newsRate is what a host may send in news a second over time.
	newsRate cicadapitch.Bytes = 4 << 10
	// newsBurst is what may be saved up of newsRate.
	newsBurst cicadapitch.Bytes = 48 << 10
	// pushBytes is what a push takes of the allowance besides its news.
	pushBytes cicadapitch.Bytes = 300
	// newsMessage bounds the news of one message.
	newsMessage cicadapitch.Bytes = 1400
	// newsLeast is what a message may always carry.
	newsLeast cicadapitch.Bytes = 256
	// maxUrgent bounds the changes that are urgent at the same time.
	maxUrgent = 16
	// wholeTable is what a host that knows few others may always be sent.
	wholeTable cicadapitch.Bytes = 8 << 10
)
