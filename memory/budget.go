package memory

import (
	"cicadapitch.example/cicadapitch"
)

const (
	// optionalShare is the share of the limit up to which Optional bytes are granted. Half of the limit is left
	// for what requests cannot do without, and for what the kernel holds, which nothing can refuse.
	optionalShare = 0.5
	// shedShare is the share of the limit above which slow requests are shed. Sound requests that come until a
	// slow one is known as such (minWait) need the rest.
	shedShare = 0.75
	// requiredShare is the share up to which Required bytes are granted to a request that holds more than
	// SmallHolding: long bodies must not keep out the short ones. With an eighth of the limit left for these, 500
	// slow callers that came at once beside long bodies kept sound requests out until the first were shed.
	requiredShare = 0.625
	// SmallHolding is the most that a request holds that may use the whole limit: its fixed part and a short
	// body.
	SmallHolding cicadapitch.Bytes = 64 << 10
	// minWait is how long the host must have waited for the other side before its speed is judged. A packet that
	// is lost and sent again takes some 200 ms.
	minWait cicadapitch.Millis = 500
	// slowBytesPerSecond is the speed from which on a request is never shed: 128 kbit/s, which is little on the
	// slowest links of hosts (10 Mbit/s) and on those of callers.
	slowBytesPerSecond = 16 << 10
)

//go:generate go tool -modfile=../tools/go.mod enumer -type=Purpose -output=purpose_enumer.go

// Purpose says what bytes are for.
type Purpose int

const (
	// Required bytes are those without which the request cannot go on.
	Required Purpose = iota
	// Optional bytes make a request more robust or faster.
	Optional
)

// ID identifies a request in a Budget. It is never 0.
type ID uint64

// Budget is the memory that requests may hold together. Its zero value has no limit.
type Budget struct {
	limit cicadapitch.Bytes
	// reserved is what was granted, queued what the kernel holds as far as is known, shedding the part of both
	// that belongs to requests that are being shed.
	reserved, queued, shedding cicadapitch.Bytes
	last                       ID
	holders                    map[ID]*holder
}

// holder is one request.
type holder struct {
	openedAt         cicadapitch.Instant
	reserved, queued cicadapitch.Bytes
	waited           cicadapitch.Millis
	moved            cicadapitch.Bytes
	shed             bool
}

// held returns what the request holds in all.
func (h *holder) held() cicadapitch.Bytes { return h.reserved + h.queued }

// NewBudget returns a budget of limit bytes, or one without a limit if that is not positive.
func NewBudget(limit cicadapitch.Bytes) *Budget {
	return &Budget{limit: max(limit, 0), holders: map[ID]*holder{}}
}

// Limit returns the limit, or 0 if there is none.
func (b *Budget) Limit() cicadapitch.Bytes { return b.limit }

// Reserved returns what was granted and not released. It is at most the limit.
func (b *Budget) Reserved() cicadapitch.Bytes { return b.reserved }

// Held returns what requests hold, with the bytes that the kernel holds for them.
func (b *Budget) Held() cicadapitch.Bytes { return b.reserved + b.queued }

// Requests returns the number of requests.
func (b *Budget) Requests() int { return len(b.holders) }

// Open adds a request that holds n bytes from the start. It reports false if there is no room.
func (b *Budget) Open(now cicadapitch.Instant, n cicadapitch.Bytes) (ID, bool) {
	h := &holder{openedAt: now}
	if !b.fits(h, n, Required) {
		return 0, false
	}
	b.last++
	b.holders[b.last] = h
	b.grant(h, n)
	return b.last, true
}

// Reserve grants n more bytes to a request, or none. It reports false if there is no room or no such request.
func (b *Budget) Reserve(id ID, n cicadapitch.Bytes, p Purpose) bool {
	h := b.holders[id]
	if h == nil || n < 0 || !b.fits(h, n, p) {
		return false
	}
	b.grant(h, n)
	return true
}

// fits reports whether a request may get n more bytes. What the kernel holds keeps only Optional bytes from
// being granted: it belongs to slow requests, which are shed for it, and must not get sound ones rejected.
func (b *Budget) fits(h *holder, n cicadapitch.Bytes, p Purpose) bool {
	switch {
	case b.limit == 0:
		return true
	case p == Optional:
		return n <= share(b.limit, optionalShare)-b.Held()
	case h.reserved+n > SmallHolding:
		return n <= share(b.limit, requiredShare)-b.reserved
	}
	return n <= b.limit-b.reserved
}

func (b *Budget) grant(h *holder, n cicadapitch.Bytes) {
	h.reserved += n
	b.reserved += n
	if h.shed {
		b.shedding += n
	}
}

// Release takes back n bytes, or what the request holds if that is less.
func (b *Budget) Release(id ID, n cicadapitch.Bytes) {
	if h := b.holders[id]; h != nil {
		b.grant(h, -min(max(n, 0), h.reserved))
	}
}

// Close removes a request and takes back all that it holds.
func (b *Budget) Close(id ID) {
	h := b.holders[id]
	if h == nil {
		return
	}
	b.setQueued(h, 0)
	b.grant(h, -h.reserved)
	delete(b.holders, id)
}

// Wait is a time in which the host waited for the other side of a request.
type Wait struct {
	Took cicadapitch.Millis
	// Moved is what the other side took or sent meanwhile.
	Moved cicadapitch.Bytes
	// Queued is what the kernel holds for the request at the end.
	Queued cicadapitch.Bytes
}

// Observe records a wait of a request. Times in which the host waits for nobody, such as those between
// two events of a stream, say nothing of the other side's speed and must not be recorded.
func (b *Budget) Observe(id ID, w Wait) {
	h := b.holders[id]
	if h == nil {
		return
	}
	h.waited += max(w.Took, 0)
	h.moved += max(w.Moved, 0)
	b.setQueued(h, max(w.Queued, 0))
}

// ForgetWaits drops the waits of a request, since it waits for another side from now on.
func (b *Budget) ForgetWaits(id ID) {
	if h := b.holders[id]; h != nil {
		h.waited, h.moved = 0, 0
		b.setQueued(h, 0)
	}
}

func (b *Budget) setQueued(h *holder, n cicadapitch.Bytes) {
	change := n - h.queued
	h.queued = n
	b.queued += change
	if h.shed {
		b.shedding += change
	}
}

// Shed is a request that has to give back what it holds, and the figures that decided.
type Shed struct {
	ID ID
	// Reserved and Queued are what it holds and what the kernel holds for it.
	Reserved, Queued cicadapitch.Bytes
	// Age is the time since Open, Waited the part in which the other side moved Moved bytes.
	Age, Waited cicadapitch.Millis
	Moved       cicadapitch.Bytes
	// Total is what all requests held, Requests their number.
	Total    cicadapitch.Bytes
	Requests int
}

// NextShed returns the slowest request if those that are not being shed hold too much. It never returns a
// request twice, nor one whose other side is not slow.
func (b *Budget) NextShed(now cicadapitch.Instant) (Shed, bool) {
	if b.limit == 0 || b.Held()-b.shedding <= share(b.limit, shedShare) {
		return Shed{}, false
	}
	var (
		id      ID
		slowest *holder
	)
	for i, h := range b.holders {
		if h.slow() && (slowest == nil || h.before(slowest) || !slowest.before(h) && i < id) {
			id, slowest = i, h
		}
	}
	if slowest == nil {
		return Shed{}, false
	}
	slowest.shed = true
	b.shedding += slowest.held()
	return Shed{
		ID: id, Reserved: slowest.reserved, Queued: slowest.queued, Age: now.Sub(slowest.openedAt),
		Waited: slowest.waited, Moved: slowest.moved, Total: b.Held(), Requests: len(b.holders),
	}, true
}

// slow reports whether the request may be shed.
func (h *holder) slow() bool {
	return !h.shed && h.waited >= minWait && h.speed() < slowBytesPerSecond
}

// speed returns the bytes per second that the other side moves while the host waits for it.
func (h *holder) speed() float64 {
	return float64(h.moved) * float64(cicadapitch.Second) / float64(max(h.waited, 1))
}

// before reports whether the request is shed before another one: the slower one, or of two equally slow ones
// the one that holds more.
func (h *holder) before(o *holder) bool {
	if a, b := h.speed(), o.speed(); a != b {
		return a < b
	}
	return h.held() > o.held()
}

func share(n cicadapitch.Bytes, of float64) cicadapitch.Bytes {
	return cicadapitch.Bytes(of * float64(n))
}
