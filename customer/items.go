package customer

// items is a heap of entries, earliest deadline first. It implements
// heap.Interface.
type items[V any] []*Item[V]

func (h items[V]) Len() int { return len(h) }

func (h items[V]) Less(i, j int) bool { return h[i].before(h[j]) }

func (h items[V]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *items[V]) Push(v any) {
	it := v.(*Item[V])
	it.index = len(*h)
	*h = append(*h, it)
}

func (h *items[V]) Pop() any {
	old := *h
	last := len(old) - 1
	it := old[last]
	old[last] = nil
	*h = old[:last]
	it.index = -1
	return it
}
