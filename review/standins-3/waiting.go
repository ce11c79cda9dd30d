package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// waitingBound is visible_ms of the settings and two seconds: the age of the submissions that the length of a queue must hold.
	waitingBound = 5 * time.Second
	// sickTime is how long the unhealthy worker refuses starts.
	sickTime = 6500 * time.Millisecond
)

// playWaiting fills all workers but one with work that lasts, and lets that one refuse what it is told to start. The submissions
// that come then can't begin, and the length of their queue has to tell so. Without the disruption the last worker is full too.
func playWaiting(d *deployment, trouble bool) (verdict, error) {
	const count = 8
	full := len(d.workers)
	if trouble {
		full--
	}
	watch := d.submit(d.queues[2], "last", step{Count: full, CPU: 16000, Memory: 1000, Perpetual: true, MaxPerServer: 1, Estimate: 400})
	if watch.accepted == 0 {
		return verdict{}, fmt.Errorf("the first submission was not accepted")
	}
	for deadline := time.Now().Add(15 * time.Second); d.started(watch.id) < full; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			return verdict{}, fmt.Errorf("the first submission has not begun")
		}
	}
	d.journal.add("%d of %d workers are full", full, len(d.workers))
	sickFrom := time.Now()
	sick := d.free()
	if sick != nil {
		sick.setUnhealthy(true)
		d.journal.add("worker %s refuses starts from now on", sick.name)
	}
	for range count {
		s := d.submit(d.queues[0], "ms=800", step{Count: 2, CPU: 500, Memory: 200, Estimate: 800})
		if s.accepted == 0 {
			return verdict{}, fmt.Errorf("a submission was not accepted")
		}
	}
	time.Sleep(waitingBound + 400*time.Millisecond)
	least, asked := count, 0
	for i := 0; i < 4 && time.Since(sickFrom) < sickTime; i++ {
		status, waiting := d.waiting(d.queues[0], d.entries[i%len(d.entries)])
		if status == 200 {
			least = min(least, waiting)
			asked++
		}
		time.Sleep(100 * time.Millisecond)
	}
	unbegun := 0
	for _, s := range d.jobs.all() {
		if s != watch && d.started(s.id) == 0 {
			unbegun++
		}
	}
	if sick != nil {
		sick.setUnhealthy(false)
		d.journal.add("worker %s is healthy again after %s", sick.name, time.Since(sickFrom).Round(time.Millisecond))
	}
	if asked == 0 {
		return verdict{}, fmt.Errorf("no entry tells the length of the queue")
	}
	return verdict{broken: 2*least < unbegun, text: fmt.Sprintf("%d submissions have not begun %s after they were accepted; the queue is said to hold %d",
		unbegun, waitingBound, least)}, nil
}

// free returns a worker without a run, or nil if there is none.
func (d *deployment) free() *worker {
	for _, w := range d.workers {
		w.mu.Lock()
		idle := len(w.runs) == 0
		w.mu.Unlock()
		if idle {
			return w
		}
	}
	return nil
}

// setUnhealthy makes the worker refuse starts with 503, or not.
func (w *worker) setUnhealthy(unhealthy bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unhealthy = unhealthy
}

// started returns the number of runs of a submission that workers have begun.
func (d *deployment) started(id string) int {
	count := 0
	for _, e := range d.journal.events() {
		if e.kind == "start" && strings.HasPrefix(e.task, id+".") {
			count++
		}
	}
	return count
}
