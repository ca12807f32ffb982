package customer

// itemHeap implements heap.Interface with the earliest deadline on top, and
// keeps the index of each Item up to date. The index is -1 outside the heap.
type itemHeap[V any] []*Item[V]

func (h itemHeap[V]) Len() int { return len(h) }

func (h itemHeap[V]) Less(i, j int) bool { return h[i].before(h[j]) }

func (h itemHeap[V]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *itemHeap[V]) Push(v any) {
	item := v.(*Item[V])
	item.index = len(*h)
	*h = append(*h, item)
}

func (h *itemHeap[V]) Pop() any {
	old := *h
	last := len(old) - 1
	item := old[last]
	old[last] = nil
	*h = old[:last]
	item.index = -1
	return item
}
