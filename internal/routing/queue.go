package routing

import (
	"container/heap"
	"time"

	"clementineflow/internal/task"
)

// QueueLimit is the number of requests that may wait per service and priority.
const QueueLimit = 256

// Refusal is the reason for which a request was not queued, or Accepted.
type Refusal uint8

// Results of Queue.Offer.
const (
	// Accepted: the request was queued.
	Accepted Refusal = iota
	// RefusedFull: the queue of the priority is full.
	RefusedFull
	// RefusedDeadline: the expected wait behind the requests ahead exceeds the deadline.
	RefusedDeadline
)

// Item is a request that waits for a worker. Offer sets the unexported fields.
type Item struct {
	ID       string
	Priority task.Priority
	Deadline time.Time
	sequence uint64
	index    int
}

// Queue holds the waiting requests of one service, ordered by priority, then deadline.
type Queue struct {
	items    itemHeap
	byID     map[string]*Item
	counts   map[task.Priority]int
	sequence uint64
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{byID: make(map[string]*Item), counts: make(map[task.Priority]int)}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// Count returns the number of waiting requests of a priority.
func (q *Queue) Count(priority task.Priority) int { return q.counts[priority] }

// Offer adds a request, or refuses it if the queue is full or its deadline cannot be met. The second
// result is the expected wait.
func (q *Queue) Offer(now time.Time, item Item, load Load) (Refusal, time.Duration) {
	wait := q.expectedWait(item, load)
	if q.counts[item.Priority] >= QueueLimit {
		return RefusedFull, wait
	}
	if now.Add(wait + load.ServiceTime).After(item.Deadline) {
		return RefusedDeadline, wait
	}
	q.sequence++
	item.sequence = q.sequence
	queued := &item
	q.byID[item.ID] = queued
	q.counts[item.Priority]++
	heap.Push(&q.items, queued)
	return Accepted, wait
}

// expectedWait estimates the wait from the number of requests ahead. It assumes that each slot becomes
// free once per service time.
func (q *Queue) expectedWait(item Item, load Load) time.Duration {
	ahead := 0
	for _, other := range q.items {
		if other.before(&item) {
			ahead++
		}
	}
	if load.Limit <= 0 || load.InProgress < load.Limit && ahead == 0 {
		return 0
	}
	return load.ServiceTime * time.Duration(ahead+1) / time.Duration(load.Limit)
}

// Pop removes and returns the first request. It returns false if the queue is empty.
func (q *Queue) Pop() (Item, bool) {
	if len(q.items) == 0 {
		return Item{}, false
	}
	item := heap.Pop(&q.items).(*Item)
	q.untrack(item)
	return *item, true
}

// Remove removes a request from the queue. It returns false if the request is not queued.
func (q *Queue) Remove(id string) bool {
	item, ok := q.byID[id]
	if !ok {
		return false
	}
	heap.Remove(&q.items, item.index)
	q.untrack(item)
	return true
}

// untrack removes an item from the index and the counts, but not from the heap.
func (q *Queue) untrack(item *Item) {
	delete(q.byID, item.ID)
	q.counts[item.Priority]--
}

// before reports whether the item is served before another: higher priority first, then earlier
// deadline, then earlier arrival. A sequence of 0 means that the other item is not queued yet.
func (i *Item) before(other *Item) bool {
	if i.Priority != other.Priority {
		return i.Priority > other.Priority
	}
	if !i.Deadline.Equal(other.Deadline) {
		return i.Deadline.Before(other.Deadline)
	}
	return i.sequence < other.sequence || other.sequence == 0
}

// itemHeap orders items by before. It implements heap.Interface.
type itemHeap []*Item

func (h itemHeap) Len() int           { return len(h) }
func (h itemHeap) Less(i, j int) bool { return h[i].before(h[j]) }

func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *itemHeap) Push(x any) {
	item := x.(*Item)
	item.index = len(*h)
	*h = append(*h, item)
}

func (h *itemHeap) Pop() any {
	old := *h
	item := old[len(old)-1]
	*h = old[:len(old)-1]
	return item
}

// Peek returns the first request without removing it. It returns false if the queue is empty.
func (q *Queue) Peek() (Item, bool) {
	if len(q.items) == 0 {
		return Item{}, false
	}
	return *q.items[0], true
}
