package ticket

// expiryHeap is a min-heap of entries by expiresAt. It implements heap.Interface and
// maintains the heapIndex of each entry.
type expiryHeap[R Run] []*entry[R]

func (h expiryHeap[R]) Len() int           { return len(h) }
func (h expiryHeap[R]) Less(i, j int) bool { return h[i].expiresAt < h[j].expiresAt }
func (h expiryHeap[R]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *expiryHeap[R]) Push(value any) {
	added := value.(*entry[R]) //nolint:forcetypeassert // heap.Push is called with entries only
	added.heapIndex = len(*h)
	*h = append(*h, added)
}

func (h *expiryHeap[R]) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
