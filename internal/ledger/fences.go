package ledger

// fenceHeap orders entries by their fence, earliest first. It implements heap.Interface.
type fenceHeap []*entry

// Len implements heap.Interface.
func (h fenceHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h fenceHeap) Less(i, j int) bool { return h[i].fence.Before(h[j].fence) }

// Swap implements heap.Interface.
func (h fenceHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *fenceHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *fenceHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.heapIndex = -1
	return last
}
