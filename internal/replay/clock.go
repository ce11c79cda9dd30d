package replay

import (
	"container/heap"
	"time"
)

// epoch is the virtual time at which every trace begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// action is work that is due at a time.
type action struct {
	at       time.Time
	sequence uint64
	do       func()
}

// clock is the virtual time with the actions that are due. Actions of the same time run in the order
// in which they were added, so that equal traces give equal replays.
type clock struct {
	now      time.Time
	sequence uint64
	actions  actionHeap
}

func newClock() *clock { return &clock{now: epoch} }

// after adds an action that is due after the delay.
func (c *clock) after(delay time.Duration, do func()) {
	c.sequence++
	heap.Push(&c.actions, action{at: c.now.Add(max(0, delay)), sequence: c.sequence, do: do})
}

// runUntil runs the actions that are due by the time and sets the time.
func (c *clock) runUntil(at time.Time) int {
	ran := 0
	for len(c.actions) > 0 && !c.actions[0].at.After(at) {
		next := heap.Pop(&c.actions).(action)
		c.now = next.at
		next.do()
		ran++
	}
	c.now = at
	return ran
}

// actionHeap implements heap.Interface.
type actionHeap []action

func (h actionHeap) Len() int { return len(h) }

func (h actionHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}

func (h actionHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *actionHeap) Push(x any) { *h = append(*h, x.(action)) }

func (h *actionHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = action{}
	*h = old[:len(old)-1]
	return last
}
