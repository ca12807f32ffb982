package host

import "cicadapitch.example/cicadapitch"

const (
	// tickInterval is the interval at which a Group calls Core.Tick.
	tickInterval cicadapitch.Millis = 100
	// probeInterval is the interval between direct probes by one host.
	probeInterval cicadapitch.Millis = 500
	// probeTimeout is the timeout of each ping that is not an indirect probe.
	probeTimeout cicadapitch.Millis = 500
	// indirectProbeTimeout is the timeout of a probe through another host.
	indirectProbeTimeout cicadapitch.Millis = 800
	// indirectProbes is the number of hosts that are asked to probe a target
	// after a direct probe has failed.
	indirectProbes = 3
	// suspicionTimeout is the time in which a suspected host may refute the
	// suspicion before it is Gone.
	suspicionTimeout cicadapitch.Millis = 3 * cicadapitch.Second
	// fanout is the number of hosts that receive one push.
	fanout = 3
	// pauseThreshold is the gap between two ticks from which on this process
	// counts as having been paused.
	pauseThreshold cicadapitch.Millis = 2 * cicadapitch.Second
	// joinPeriod is the time after its start in which a process treats other
	// processes with its host id as predecessors. Later it treats them as its
	// replacements.
	joinPeriod cicadapitch.Millis = 10 * cicadapitch.Second
	// retention is how long hosts that are Gone and replaced incarnations are
	// kept.
	retention = 10 * cicadapitch.Minute
	// evictInterval is the interval between evictions of expired entries.
	evictInterval cicadapitch.Millis = 10 * cicadapitch.Second
	// reconnectInterval is the interval between pings of addresses at which no
	// live host is known.
	reconnectInterval cicadapitch.Millis = 5 * cicadapitch.Second
	// quietPeriod is how long the table must be unchanged before a differing digest
	// starts a comparison.
	quietPeriod cicadapitch.Millis = 2 * cicadapitch.Second
	// maxComparisonDelay bounds how long changes and pending updates may delay a
	// comparison.
	maxComparisonDelay cicadapitch.Millis = 20 * cicadapitch.Second
	// comparisonInterval is the least time between two comparisons.
	comparisonInterval cicadapitch.Millis = cicadapitch.Second
	// maxComparisonBytes bounds the statuses in the answer to a comparison.
	maxComparisonBytes cicadapitch.Bytes = 4 << 10

	// updateBytesPerSecond is the rate at which the byte budget for updates is
	// refilled.
	updateBytesPerSecond cicadapitch.Bytes = 4 << 10
	// updateBurstBytes is the upper limit of the byte budget.
	updateBurstBytes cicadapitch.Bytes = 48 << 10
	// pushOverheadBytes is charged to the byte budget for each ping of a push,
	// besides the updates in it.
	pushOverheadBytes cicadapitch.Bytes = 300
	// maxUpdateBytes bounds the updates in one message.
	maxUpdateBytes cicadapitch.Bytes = 1400
	// minUpdateBytes is the size of updates that a message may hold regardless
	// of the byte budget.
	minUpdateBytes cicadapitch.Bytes = 256
	// maxUrgentUpdates bounds the urgent updates in the queue.
	maxUrgentUpdates = 16
	// minTableBytes is the size of records that may be sent to a host that knows
	// few others, regardless of the byte budget.
	minTableBytes cicadapitch.Bytes = 8 << 10
)
