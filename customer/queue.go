package customer

import (
	"container/heap"
	"slices"

	"cicadapitch.example/cicadapitch"
)

// Work is slot time in milliseconds: one slot busy for one millisecond.
type Work float64

// Item is an entry of a Queue.
type Item[V any] struct {
	Value    V
	Customer cicadapitch.CustomerID
	// Work is the expected work of the entry.
	Work     Work
	Deadline cicadapitch.Instant

	flow  *flow[V]
	order uint64
	index int
}

// Queue orders entries by start-time fair queueing among customers. Each customer
// has a start tag, the work charged to it per unit of share. Among the customers
// whose start tags exceed the lowest start tag by at most Quantum, the entry with
// the earliest deadline is next. A Queue is not safe for concurrent use.
type Queue[V any] struct {
	// Quantum is the lead, in work per unit of share, that a customer may have
	// over the customer that has received the least.
	Quantum Work

	flows       map[cicadapitch.CustomerID]*flow[V]
	active      []*flow[V]
	virtualTime Work
	order       uint64
	length      int
}

// flow holds the queued entries and the start tag of one customer. Fair queueing
// calls this a flow.
type flow[V any] struct {
	share Work
	// startTag is the virtual time at which the next entry starts: the work per
	// unit of share that was charged, raised to the queue's virtual time when
	// Push adds an entry to an empty flow.
	startTag Work
	// work is the total work of the queued entries.
	work  Work
	items itemHeap[V]
}

// minShare is the least share, so that a customer with share 0 is still served.
const minShare = 0.01

// NewQueue returns an empty queue.
func NewQueue[V any](quantum Work) *Queue[V] {
	return &Queue[V]{Quantum: quantum, flows: make(map[cicadapitch.CustomerID]*flow[V])}
}

// Len returns the number of entries.
func (q *Queue[V]) Len() int { return q.length }

// Push adds an entry and sets its customer's share. It returns the queued item,
// which the other methods take.
func (q *Queue[V]) Push(item Item[V], share cicadapitch.Share) *Item[V] {
	f := q.flow(item.Customer, share)
	if len(f.items) == 0 {
		f.startTag = max(f.startTag, q.virtualTime)
		q.active = append(q.active, f)
	}
	q.order++
	item.flow = f
	item.order = q.order
	f.work += item.Work
	heap.Push(&f.items, &item)
	q.length++
	return &item
}

// Pop removes the next entry, charges its work to its customer and returns it.
// It returns nil if the queue is empty.
func (q *Queue[V]) Pop() *Item[V] {
	f := q.next()
	if f == nil {
		return nil
	}
	item := f.items[0]
	q.Remove(item)
	f.startTag += item.Work / f.share
	return item
}

// Remove removes an entry without charging its customer. It does nothing if the
// entry is no longer queued.
func (q *Queue[V]) Remove(item *Item[V]) {
	if item.index < 0 {
		return
	}
	f := item.flow
	heap.Remove(&f.items, item.index)
	f.work = max(f.work-item.Work, 0)
	q.length--
	if len(f.items) == 0 {
		f.work = 0
		q.active = slices.DeleteFunc(q.active, func(g *flow[V]) bool { return g == f })
	}
}

// Requeue puts an entry that Pop returned back into the queue and refunds its
// charge.
func (q *Queue[V]) Requeue(item *Item[V]) {
	f := item.flow
	f.startTag -= item.Work / f.share
	if len(f.items) == 0 {
		q.active = append(q.active, f)
	}
	f.work += item.Work
	heap.Push(&f.items, item)
	q.length++
}

// AdjustCharge corrects the charge for an entry that Pop returned, from its
// expected work to the actual work.
func (q *Queue[V]) AdjustCharge(item *Item[V], actual Work) {
	item.flow.startTag += (actual - item.Work) / item.flow.share
}

// WorkAhead estimates the queued work that would be served before a new entry
// of the customer.
func (q *Queue[V]) WorkAhead(id cicadapitch.CustomerID) Work {
	if q.length == 0 {
		return 0
	}
	own, ok := q.flows[id]
	start, ahead := q.virtualTime, Work(0)
	if ok {
		start = max(own.startTag, q.virtualTime) + own.work/own.share
		ahead = own.work
	}
	for _, f := range q.active {
		if f == own {
			continue
		}
		ahead += min(f.work, max(start-f.startTag, 0)*f.share)
	}
	return ahead
}

// RemoveFunc removes the entries for which remove returns true, without charging
// their customers, and then passes each of them to onRemove.
func (q *Queue[V]) RemoveFunc(remove func(*Item[V]) bool, onRemove func(*Item[V])) {
	if q.length == 0 {
		return
	}
	var removed []*Item[V]
	for _, f := range q.active {
		for _, item := range f.items {
			if remove(item) {
				removed = append(removed, item)
			}
		}
	}
	for _, item := range removed {
		q.Remove(item)
		onRemove(item)
	}
}

// flow returns the state of a customer, created if necessary, with the share
// updated.
func (q *Queue[V]) flow(id cicadapitch.CustomerID, share cicadapitch.Share) *flow[V] {
	f, ok := q.flows[id]
	if !ok {
		f = &flow[V]{}
		q.flows[id] = f
	}
	f.share = max(Work(share), minShare)
	return f
}

// next returns the flow with the earliest deadline among those whose start tags
// exceed the lowest one by at most Quantum. It advances the virtual time to the
// lowest start tag.
func (q *Queue[V]) next() *flow[V] {
	if len(q.active) == 0 {
		return nil
	}
	lowest := q.active[0].startTag
	for _, f := range q.active[1:] {
		lowest = min(lowest, f.startTag)
	}
	q.virtualTime = max(q.virtualTime, lowest)
	var best *flow[V]
	for _, f := range q.active {
		if f.startTag > lowest+q.Quantum {
			continue
		}
		if best == nil || f.items[0].before(best.items[0]) {
			best = f
		}
	}
	return best
}

// before orders by deadline, then by arrival.
func (item *Item[V]) before(other *Item[V]) bool {
	if item.Deadline != other.Deadline {
		return item.Deadline < other.Deadline
	}
	return item.order < other.order
}
