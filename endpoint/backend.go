package endpoint

import (
	"slices"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/customer"
)

// job is a Job on its way through the shard.
type job struct {
	Job
	item     *customer.Item[*job]
	arrived  cicadapitch.Instant
	started  cicadapitch.Instant
	on       *backend
	hit      float64
	first    cicadapitch.Millis
	proven   bool
	load     float64
	declines int
}

// backend is what the shard knows about one endpoint.
type backend struct {
	cicadapitch.Endpoint

	// out is set by operators, leaving by the endpoint itself, removed by a
	// configuration without the endpoint, paused while it is ordered to load.
	out     bool
	leaving bool
	removed bool
	paused  bool

	running []*job
	// unproven counts running calls that have shown no output yet.
	unproven cicadapitch.Slots
	// held is true while a call is so late that no new work is sent.
	held bool
	// line holds jobs that wait for this endpoint's prefix cache.
	line []*job
	// untracked are the instants by which calls have ended that this owner no
	// longer follows, or never did.
	untracked []cicadapitch.Instant

	// bears is the number of calls the endpoint is trusted with.
	bears cicadapitch.Slots
	// since is when the endpoint was last taken as cold.
	since cicadapitch.Instant
	// credit counts good calls towards the next slot, need is its price.
	credit int
	need   int

	// ended is when the last call ended.
	ended cicadapitch.Instant
	// added is when the shard got the endpoint.
	added cicadapitch.Instant
	// seen is true once its running work is known.
	seen       bool
	reportCold bool
	// read is when the last load report was asked for.
	read    cicadapitch.Instant
	polled  cicadapitch.Instant
	polling bool

	// speed is the endpoint's latency as a multiple of the shard's.
	speed    movingAverage
	failures int
	// ejected is the end of the ejection, 0 for none.
	ejected   cicadapitch.Instant
	ejections int

	prefixes prefixView
}

func newBackend(now cicadapitch.Instant, e cicadapitch.Endpoint, p Policy, pool cicadapitch.Pool) *backend {
	return &backend{
		Endpoint: e,
		bears:    pool.ColdSlots,
		since:    now,
		need:     1,
		added:    now,
		polled:   now.Add(-p.PollEvery),
		prefixes: newPrefixView(p.MaxPrefixes),
	}
}

// inService is true while the endpoint may get new work.
func (b *backend) inService() bool { return !b.out && !b.leaving && !b.removed && !b.paused }

// busy counts the calls that are or may be running at the endpoint.
func (b *backend) busy() cicadapitch.Slots {
	return cicadapitch.Slots(len(b.running) + len(b.untracked))
}

// The bounds of pace.
const (
	minPace = 0.25
	maxPace = 8
)

func (b *backend) drop(j *job) {
	b.running = slices.DeleteFunc(b.running, func(k *job) bool { return k == j })
	b.prove(j)
}

// prove counts the first output, or the end, of a call.
func (b *backend) prove(j *job) {
	if !j.proven {
		j.proven = true
		b.unproven--
	}
}

func (b *backend) addUntracked(until cicadapitch.Instant) {
	b.untracked = append(b.untracked, until)
	slices.Sort(b.untracked)
}

func (b *backend) expireUntracked(now cicadapitch.Instant) {
	n := 0
	for n < len(b.untracked) && b.untracked[n] <= now {
		n++
	}
	b.untracked = b.untracked[n:]
}
