package ledger

// expiryHeap orders entries by expiry time, earliest first. It implements heap.Interface.
type expiryHeap []*entry

// Len implements heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresAt.Before(h[j].expiresAt) }

// Swap implements heap.Interface.
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.heapIndex = -1
	return last
}
