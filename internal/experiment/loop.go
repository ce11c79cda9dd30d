package experiment

import (
	"container/heap"
	"time"
)

// event is a function that runs at a virtual time.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// loop runs events in the order of their times, then of their scheduling.
type loop struct {
	now      time.Duration
	sequence uint64
	events   eventHeap
}

// at schedules a function.
func (l *loop) at(at time.Duration, run func()) {
	l.sequence++
	heap.Push(&l.events, event{max(at, l.now), l.sequence, run})
}

// after schedules a function after a delay.
func (l *loop) after(delay time.Duration, run func()) { l.at(l.now+delay, run) }

// every runs a function at an interval from a first time on.
func (l *loop) every(first, interval time.Duration, run func()) {
	l.at(first, func() {
		run()
		l.every(first+interval, interval, run)
	})
}

// runUntil runs the events before the end.
func (l *loop) runUntil(end time.Duration) {
	for len(l.events) > 0 && l.events[0].at < end {
		next := heap.Pop(&l.events).(event)
		l.now = next.at
		next.run()
	}
	l.now = end
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last].run = nil
	*h = (*h)[:last]
	return popped
}
