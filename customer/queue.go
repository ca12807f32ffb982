package customer

import (
	"container/heap"
	"slices"

	"cicadapitch.example/cicadapitch"
)

// Work is slot time in milliseconds: one slot busy for one millisecond.
type Work float64

// Item is one waiting entry of a Queue.
type Item[V any] struct {
	Value    V
	Customer cicadapitch.CustomerID
	Work     Work
	Deadline cicadapitch.Instant

	flow  *flow[V]
	order uint64
	index int
}

// Queue orders entries by start-time fair queueing over customers. Within the
// lead that Quantum allows one customer over another, the earliest deadline
// goes first. It is not safe for concurrent use.
type Queue[V any] struct {
	// Quantum is the work per unit of share by which a customer may be
	// served ahead of the one that is furthest behind.
	Quantum Work

	flows   map[cicadapitch.CustomerID]*flow[V]
	active  []*flow[V]
	virtual Work
	order   uint64
	length  int
}

// flow is the state of one customer. Its tag is the virtual time at which its
// next entry starts.
type flow[V any] struct {
	share Work
	tag   Work
	work  Work
	items items[V]
}

// minShare keeps a customer without a share from waiting for ever.
const minShare = 0.01

// NewQueue returns an empty queue.
func NewQueue[V any](quantum Work) *Queue[V] {
	return &Queue[V]{Quantum: quantum, flows: make(map[cicadapitch.CustomerID]*flow[V])}
}

// Len counts the entries.
func (q *Queue[V]) Len() int { return q.length }

// Push adds an entry and returns its handle.
func (q *Queue[V]) Push(it Item[V], share cicadapitch.Share) *Item[V] {
	f := q.flow(it.Customer, share)
	if len(f.items) == 0 {
		f.tag = max(f.tag, q.virtual)
		q.active = append(q.active, f)
	}
	q.order++
	it.flow = f
	it.order = q.order
	f.work += it.Work
	heap.Push(&f.items, &it)
	q.length++
	return &it
}

// Pop removes and returns the entry that goes next, or nil.
func (q *Queue[V]) Pop() *Item[V] {
	f := q.next()
	if f == nil {
		return nil
	}
	it := f.items[0]
	q.Remove(it)
	f.tag += it.Work / f.share
	return it
}

// Remove takes an entry out without charging its customer. An entry that is
// no longer queued is left alone.
func (q *Queue[V]) Remove(it *Item[V]) {
	if it.index < 0 {
		return
	}
	f := it.flow
	heap.Remove(&f.items, it.index)
	f.work = max(f.work-it.Work, 0)
	q.length--
	if len(f.items) == 0 {
		f.work = 0
		q.active = slices.DeleteFunc(q.active, func(g *flow[V]) bool { return g == f })
	}
}

// Requeue puts back an entry that Pop returned and undoes its charge.
func (q *Queue[V]) Requeue(it *Item[V]) {
	f := it.flow
	f.tag -= it.Work / f.share
	if len(f.items) == 0 {
		q.active = append(q.active, f)
	}
	f.work += it.Work
	heap.Push(&f.items, it)
	q.length++
}

// AdjustCharge corrects what a customer was charged for an entry by the difference
// between its true and its expected work.
func (q *Queue[V]) AdjustCharge(it *Item[V], trueWork Work) {
	it.flow.tag += (trueWork - it.Work) / it.flow.share
}

// WorkAhead returns the work that would be served before a new entry of a
// customer.
func (q *Queue[V]) WorkAhead(id cicadapitch.CustomerID) Work {
	if q.length == 0 {
		return 0
	}
	own, ok := q.flows[id]
	start, ahead := q.virtual, Work(0)
	if ok {
		start = max(own.tag, q.virtual) + own.work/own.share
		ahead = own.work
	}
	for _, f := range q.active {
		if f == own {
			continue
		}
		ahead += min(f.work, max(start-f.tag, 0)*f.share)
	}
	return ahead
}

// Expire removes the entries for which dead returns true and passes each to
// drop.
func (q *Queue[V]) Expire(dead func(*Item[V]) bool, drop func(*Item[V])) {
	if q.length == 0 {
		return
	}
	var gone []*Item[V]
	for _, f := range q.active {
		for _, it := range f.items {
			if dead(it) {
				gone = append(gone, it)
			}
		}
	}
	for _, it := range gone {
		q.Remove(it)
		drop(it)
	}
}

func (q *Queue[V]) flow(id cicadapitch.CustomerID, share cicadapitch.Share) *flow[V] {
	f, ok := q.flows[id]
	if !ok {
		f = &flow[V]{}
		q.flows[id] = f
	}
	f.share = max(Work(share), minShare)
	return f
}

// next returns the flow with the earliest deadline among those that are at
// most Quantum ahead of the one furthest behind.
func (q *Queue[V]) next() *flow[V] {
	if len(q.active) == 0 {
		return nil
	}
	lowest := q.active[0].tag
	for _, f := range q.active[1:] {
		lowest = min(lowest, f.tag)
	}
	q.virtual = max(q.virtual, lowest)
	var best *flow[V]
	for _, f := range q.active {
		if f.tag > lowest+q.Quantum {
			continue
		}
		if best == nil || f.items[0].before(best.items[0]) {
			best = f
		}
	}
	return best
}

func (it *Item[V]) before(other *Item[V]) bool {
	if it.Deadline != other.Deadline {
		return it.Deadline < other.Deadline
	}
	return it.order < other.order
}
