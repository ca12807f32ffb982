package host

import "cicadapitch.example/cicadapitch"

const (
	// tickInterval is the resolution of the core's own timers.
	tickInterval cicadapitch.Millis = 100
	// probeInterval is the span between two direct probes of this host.
	probeInterval cicadapitch.Millis = 500
	// probeTimeout bounds a direct probe.
	probeTimeout cicadapitch.Millis = 500
	// indirectProbeTimeout bounds the probes through other hosts.
	indirectProbeTimeout cicadapitch.Millis = 800
	// indirectProbes is how many other hosts probe in turn.
	indirectProbes = 3
	// suspicionTimeout is how long a host may refute.
	suspicionTimeout cicadapitch.Millis = 3 * cicadapitch.Second
	// fanout is how many hosts are told at once of what is urgent.
	fanout = 3
	// pauseThreshold is a span between two ticks that shows that this process was
	// paused itself.
	pauseThreshold cicadapitch.Millis = 2 * cicadapitch.Second
	// joinPeriod is how long a new process may outbid its predecessors.
	joinPeriod cicadapitch.Millis = 10 * cicadapitch.Second
	// retention is how long a host that is Gone is remembered.
	retention = 10 * cicadapitch.Minute
	// evictInterval is the span between two looks for what to forget.
	evictInterval cicadapitch.Millis = 10 * cicadapitch.Second
	// reconnectInterval is the span between two pings of an address that is
	// not known to be alive.
	reconnectInterval cicadapitch.Millis = 5 * cicadapitch.Second
	// quietPeriod is how long nothing may have changed before a digest that
	// differs is compared.
	quietPeriod cicadapitch.Millis = 2 * cicadapitch.Second
	// maxComparisonDelay is how long comparisons wait while there are news.
	maxComparisonDelay cicadapitch.Millis = 20 * cicadapitch.Second
	// comparisonInterval is the span between two comparisons.
	comparisonInterval cicadapitch.Millis = cicadapitch.Second
	// maxComparisonBytes bounds the statuses that one comparison answers with.
	maxComparisonBytes cicadapitch.Bytes = 4 << 10

	// updateBytesPerSecond is what a host may send in news a second over time.
	updateBytesPerSecond cicadapitch.Bytes = 4 << 10
	// updateBurstBytes is what may be saved up of newsRate.
	updateBurstBytes cicadapitch.Bytes = 48 << 10
	// pushOverheadBytes is what a push takes of the allowance besides its news.
	pushOverheadBytes cicadapitch.Bytes = 300
	// maxUpdateBytes bounds the news of one message.
	maxUpdateBytes cicadapitch.Bytes = 1400
	// minUpdateBytes is what a message may always carry.
	minUpdateBytes cicadapitch.Bytes = 256
	// maxUrgentUpdates bounds the changes that are urgent at the same time.
	maxUrgentUpdates = 16
	// minTableBytes is what a host that knows few others may always be sent.
	minTableBytes cicadapitch.Bytes = 8 << 10
)
