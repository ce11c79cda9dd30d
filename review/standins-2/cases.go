package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// Queues of the cases.
const (
	quickRoute = `{"name":"quick","host":"h.example","prefix":"/quick/","kind":"unsafe","timeoutMs":3000,"sloMs":250,"priority":0,"service":"pool","maxAttempts":4,"slackFactor":1.5}`
	bakeRoute  = `{"name":"bake","host":"h.example","prefix":"/bake/","kind":"unsafe","timeoutMs":3000,"sloMs":1000,"priority":2,"service":"pool","maxAttempts":4,"slackFactor":2}`
	watchRoute = `{"name":"watch","host":"h.example","prefix":"/watch/","kind":"unsafe","timeoutMs":3000,"sloMs":2500,"priority":0,"service":"pool","maxAttempts":3,"slackFactor":2.2}`
	allRoutes  = quickRoute + "," + bakeRoute + "," + watchRoute
)

// begin starts a region with its workers and waits until it serves.
func begin(record *record, entries, workers int, prepare func(g *region) error) (*region, error) {
	return beginWith(record, entries, workers, nil, prepare)
}

// beginWith is like begin, with the processor shares of entries that differ from the usual one.
func beginWith(record *record, entries, workers int, shares map[string]string, prepare func(g *region) error) (*region, error) {
	g, err := newRegion(record, entries, workers, allRoutes, shares)
	if err != nil {
		return nil, err
	}
	if prepare != nil {
		err = prepare(g)
	}
	for _, slot := range g.slots {
		if err == nil {
			err = g.startWorker(slot)
		}
	}
	if err == nil {
		err = g.awaitReady("/quick/")
	}
	if err != nil {
		g.close()
		return nil, err
	}
	time.Sleep(time.Second)
	return g, nil
}

// overlaps lists the pairs of runs of one task that were active at the same time.
func (g *region) overlaps() []string {
	var found []string
	runs := g.snapshot()
	now := time.Now()
	for i := range runs {
		for j := range i {
			x, y := &runs[i], &runs[j]
			if x.task != y.task {
				continue
			}
			begin := x.began
			if y.began.After(begin) {
				begin = y.began
			}
			end := now
			for _, r := range []*runInterval{x, y} {
				if !r.end.IsZero() && r.end.Before(end) {
					end = r.end
				}
			}
			if end.After(begin) {
				found = append(found, fmt.Sprintf("TWICE: %s ran as run %d on %s and as run %d on %s at the same time, from %.3f to %.3f s",
					x.task, y.run, y.worker, x.run, x.worker, g.record.seconds(begin), g.record.seconds(end)))
			}
		}
	}
	return found
}

// lateLeave delays the leave call of a worker's former life until its next life, under the same id, has work.
func lateLeave(record *record, trouble bool) ([]string, error) {
	const (
		// The leave call is held up until the first retransmission after the cut.
		cutTime  = 3500 * time.Millisecond
		holdTime = 6300 * time.Millisecond
		// serveTime is how long the worker serves after it has said that it drains.
		serveTime   = 3200 * time.Millisecond
		restartTime = 1500 * time.Millisecond
		submitTime  = 5 * time.Second
	)
	var network *proxy
	g, err := begin(record, 3, 7, func(g *region) (err error) {
		slot := g.slots[0]
		slot.control = slot.ip + ":8170"
		network, err = newProxy(record, slot.control, fmt.Sprintf("%s:%d", slot.ip, controlPort))
		return err
	})
	if err != nil {
		return nil, err
	}
	defer g.close()
	slot := g.slots[0]
	fmt.Fprintln(slot.worker.input, "drain 3000")
	time.Sleep(serveTime)
	if trouble {
		record.add("case", "the path from %s to its agent is cut one way for %s", slot.name, cutTime)
		network.cut(cutTime, holdTime)
	}
	left := time.Now()
	fmt.Fprintln(slot.worker.input, "leave")
	<-slot.worker.exited
	time.Sleep(time.Until(left.Add(restartTime)))
	if err := g.startWorker(slot); err != nil {
		return nil, err
	}
	time.Sleep(time.Until(left.Add(submitTime)))
	var ids []string
	for range 5 {
		id := newID()
		if !g.submit("/bake/", id, submission("ms=5000;cpu=1800", step{Count: 8, CPU: 1800, MemMb: 256, EstimateMs: 5000})) {
			return nil, fmt.Errorf("submission not accepted")
		}
		ids = append(ids, id)
	}
	for _, id := range ids {
		if state := g.awaitState("/bake/", id, 40*time.Second, "done"); state != "done" {
			record.add("case", "submission %s is %q", id, state)
		}
	}
	return g.overlaps(), nil
}

// Times of the freeze of an agent.
const (
	freezeTime  = 3500 * time.Millisecond
	cancelAfter = 1500 * time.Millisecond
	// goneAfter is contactMs, cancel_ms and stopMs after the end of the freeze, and a second more.
	goneAfter = 7400 * time.Millisecond
)

// stopFence cancels submissions while one agent is frozen, in up to four rounds.
func stopFence(record *record, trouble bool) ([]string, error) {
	const rounds = 4
	g, err := begin(record, 3, 7, nil)
	if err != nil {
		return nil, err
	}
	defer g.close()
	for range rounds {
		found, err := g.cancelDuringFreeze(trouble)
		if err != nil || len(found) > 0 {
			return found, err
		}
	}
	return nil, nil
}

// cancelDuringFreeze hands in watches, freezes the agent with the most runs, cancels the watches and lists the runs that
// are not gone in time.
func (g *region) cancelDuringFreeze(trouble bool) ([]string, error) {
	var ids []string
	for range 10 {
		id := newID()
		tasks := step{Count: 6, CPU: 300, MemMb: 64, Perpetual: true, Image: "watch", TargetMs: 500}
		if !g.submit("/watch/", id, submission("lasts=1;cpu=300;serves=1", tasks)) {
			return nil, fmt.Errorf("submission not accepted")
		}
		ids = append(ids, id)
	}
	time.Sleep(2 * time.Second)
	slot := g.busiest()
	frozen := time.Now()
	if trouble {
		g.record.add("case", "the agent beside %s is frozen for %s", slot.name, freezeTime)
		slot.agent.signal(syscall.SIGSTOP)
	}
	time.Sleep(time.Until(frozen.Add(cancelAfter)))
	cancelled := map[string]time.Time{}
	for i, id := range ids {
		if status, _ := g.call(http.MethodDelete, i%3, "/watch/"+id, "", clientTimeout); status/100 == 2 {
			cancelled[id] = time.Now()
		}
	}
	if len(cancelled) == 0 {
		return nil, fmt.Errorf("no cancelling was acknowledged")
	}
	time.Sleep(time.Until(frozen.Add(freezeTime)))
	if trouble {
		slot.agent.signal(syscall.SIGCONT)
		g.record.add("case", "the agent beside %s goes on", slot.name)
	}
	bound := time.Now().Add(goneAfter)
	time.Sleep(goneAfter + time.Second)
	found := g.runningAfter(cancelled, bound)
	if len(found) > 0 {
		// Show that the runs do not end later either.
		time.Sleep(15 * time.Second)
		found = g.runningAfter(cancelled, bound)
	}
	return found, nil
}

// busiest returns the machine on whose worker the most runs are active.
func (g *region) busiest() *workerSlot {
	counts := map[string]int{}
	for _, r := range g.snapshot() {
		if r.end.IsZero() {
			counts[r.worker]++
		}
	}
	best := g.slots[0]
	for _, slot := range g.slots {
		if counts[slot.name] > counts[best.name] {
			best = slot
		}
	}
	return best
}

// runningAfter lists the runs of cancelled submissions that work on after the time.
func (g *region) runningAfter(cancelled map[string]time.Time, bound time.Time) []string {
	var found []string
	for _, r := range g.snapshot() {
		id, _, _ := strings.Cut(r.task, ".")
		at, ok := cancelled[id]
		if !ok || !r.end.IsZero() && r.end.Before(bound) {
			continue
		}
		until := "still works"
		if !r.end.IsZero() {
			until = fmt.Sprintf("works until %.3f s", g.record.seconds(r.end))
		}
		found = append(found, fmt.Sprintf("UNASKED: %s run %d on %s %s; its cancelling was acknowledged at %.3f s, and it had to be gone by %.3f s",
			r.task, r.run, r.worker, until, g.record.seconds(at), g.record.seconds(bound)))
	}
	return found
}

// openCancel cancels a submission after a 504, while its write is still on its way in the store.
func openCancel(record *record, trouble bool) ([]string, error) {
	const (
		lateBy   = 3 * time.Second
		cancelMs = 3 * time.Second
	)
	g, err := begin(record, 3, 7, nil)
	if err != nil {
		return nil, err
	}
	defer g.close()
	id := newID()
	key := "in/job/" + id
	lost := 0
	if trouble {
		g.store.mu.Lock()
		g.store.lose = func(body *txnBody) time.Duration {
			for _, write := range body.Writes {
				if write.Key == key {
					lost++
					record.add("store", "write %d of %s gets no answer and is carried out %s later", lost, key, lateBy)
					return lateBy
				}
			}
			return 0
		}
		g.store.mu.Unlock()
	}
	// Other submissions arrive at the same time, so that a small share of the writes is lost.
	others := make(chan struct{})
	go func() {
		defer close(others)
		for range 12 {
			g.submit("/quick/", newID(), submission("ms=800;cpu=240", step{Count: 6, CPU: 240, MemMb: 64, EstimateMs: 800}))
			time.Sleep(150 * time.Millisecond)
		}
	}()
	bake := step{Count: 4, CPU: 1800, MemMb: 256, EstimateMs: 2500}
	second, third := bake, bake
	second.After, third.After = []int{0}, []int{1}
	g.call(http.MethodPost, 0, "/bake/"+id, submission("ms=2500;cpu=1800", bake, second, third), clientTimeout)
	status, _ := g.call(http.MethodDelete, 0, "/bake/"+id, "", clientTimeout)
	if status/100 != 2 && status != http.StatusGone {
		return nil, fmt.Errorf("the cancelling was answered %d", status)
	}
	acknowledged := time.Now()
	record.add("case", "the cancelling is acknowledged with %d", status)
	<-others
	for range 12 {
		time.Sleep(time.Second)
		g.call(http.MethodGet, 1, "/bake/"+id, "", clientTimeout)
	}
	var found []string
	for _, r := range g.snapshot() {
		if strings.HasPrefix(r.task, id) && r.began.Sub(acknowledged) > cancelMs {
			found = append(found, fmt.Sprintf("UNASKED: %s run %d starts %.1f s after the cancelling was acknowledged", r.task, r.run, r.began.Sub(acknowledged).Seconds()))
		}
	}
	return found, nil
}

// crashLoop lets one of eight workers crash soon after it gets work, again and again.
func crashLoop(record *record, trouble bool) ([]string, error) {
	const (
		crashAfter = 120 * time.Millisecond
		downTime   = time.Second
	)
	g, err := begin(record, 3, 8, nil)
	if err != nil {
		return nil, err
	}
	defer g.close()
	done := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		slot := g.slots[0]
		for trouble {
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
			began, ok := g.firstStart(slot)
			if !ok || time.Since(began) < crashAfter {
				continue
			}
			record.add("case", "%s crashes", slot.name)
			slot.worker.kill()
			time.Sleep(downTime)
			if g.startWorker(slot) != nil {
				return
			}
		}
	}()
	var ids []string
	for range 16 {
		id := newID()
		if g.submit("/bake/", id, submission("ms=2200;cpu=1800", step{Count: 8, CPU: 1800, MemMb: 256, EstimateMs: 2200},
			step{Count: 8, CPU: 1800, MemMb: 256, EstimateMs: 2200, After: []int{0}})) {
			ids = append(ids, id)
		}
		time.Sleep(900 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	close(done)
	<-stopped
	var found []string
	for _, id := range ids {
		state := g.awaitState("/bake/", id, 20*time.Second, "done", "failed", "cancelled")
		if state != "done" {
			failed := 0
			for _, r := range g.snapshot() {
				if strings.HasPrefix(r.task, id) && r.how == "failed" {
					failed++
				}
			}
			found = append(found, fmt.Sprintf("LOST: submission %s is shown as %q; %d of its runs ended failed", id, state, failed))
		}
	}
	return found, nil
}

// firstStart returns the first start on the current life of a worker.
func (g *region) firstStart(slot *workerSlot) (time.Time, bool) {
	for _, r := range g.snapshot() {
		if r.worker == slot.name && r.life == slot.life {
			return r.began, true
		}
	}
	return time.Time{}, false
}

// pausedWork restarts an agent while the tasks that fill beside its serving tasks are paused.
func pausedWork(record *record, trouble bool) ([]string, error) {
	const (
		highLatencyMs = 150
		highLoadTime  = 4 * time.Second
		restartTime   = time.Second
		// finishTime is finish_s and the 3 s of the rule.
		finishTime = 17 * time.Second
	)
	g, err := begin(record, 3, 3, nil)
	if err != nil {
		return nil, err
	}
	defer g.close()
	serving := step{Count: 3, CPU: 800, MemMb: 64, Perpetual: true, Image: "watch", TargetMs: 100, MaxPerServer: 1}
	if !g.submit("/watch/", newID(), submission("lasts=1;cpu=800;serves=1", serving)) {
		return nil, fmt.Errorf("submission not accepted")
	}
	time.Sleep(1500 * time.Millisecond)
	id := newID()
	filling := step{Count: 9, CPU: 1800, MemMb: 64, FillCount: true, Image: "bake", EstimateMs: 6000}
	if !g.submit("/bake/", id, submission("ms=6000;cpu=1800;fills=1", filling)) {
		return nil, fmt.Errorf("submission not accepted")
	}
	time.Sleep(2 * time.Second)
	for _, slot := range g.slots {
		fmt.Fprintln(slot.worker.input, "latency", highLatencyMs)
	}
	time.Sleep(highLoadTime)
	slot := g.slots[0]
	if trouble {
		record.add("case", "the agent beside %s gets SIGTERM", slot.name)
		slot.agent.signal(syscall.SIGTERM)
		<-slot.agent.exited
	}
	for _, slot := range g.slots {
		fmt.Fprintln(slot.worker.input, "latency", usualLatencyMs)
	}
	time.Sleep(restartTime)
	if trouble {
		if slot.agent, err = g.restart(slot.agent); err != nil {
			return nil, err
		}
		record.add("case", "the agent beside %s has started again", slot.name)
	}
	state := g.awaitState("/bake/", id, 40*time.Second, "done")
	if state == "done" {
		return nil, nil
	}
	var found []string
	for _, r := range g.snapshot() {
		if strings.HasPrefix(r.task, id) && r.end.IsZero() {
			still := time.Since(r.pacedAt)
			if r.pace > 0 || still < finishTime {
				return nil, fmt.Errorf("%s is not done, but works", r.task)
			}
			found = append(found, fmt.Sprintf("LOST: submission %s is %q; %s run %d on %s stands still at pace 0 for %.1f s", id, state, r.task, r.run, r.worker, still.Seconds()))
		}
	}
	return found, nil
}

// failingWorkers lets the worker of one task fail its calls 0.2 s after the start, and crash 2 s later, twice.
func failingWorkers(record *record, trouble bool) ([]string, error) {
	const (
		failsAfter = 200 * time.Millisecond
		failTime   = 2 * time.Second
		downTime   = 4 * time.Second
	)
	g, err := begin(record, 3, 10, nil)
	if err != nil {
		return nil, err
	}
	defer g.close()
	id := newID()
	if !g.submit("/bake/", id, submission("ms=5000;cpu=1800", step{Count: 1, CPU: 1800, MemMb: 256, EstimateMs: 5000})) {
		return nil, fmt.Errorf("submission not accepted")
	}
	handled := map[uint32]bool{}
	for end := time.Now().Add(15 * time.Second); trouble && len(handled) < 2 && time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		for _, r := range g.snapshot() {
			if !strings.HasPrefix(r.task, id) || !r.end.IsZero() || handled[r.run] || time.Since(r.began) < failsAfter {
				continue
			}
			handled[r.run] = true
			for _, slot := range g.slots {
				if slot.name != r.worker {
					continue
				}
				record.add("case", "%s resets its calls for %s, and crashes then", slot.name, failTime)
				fmt.Fprintln(slot.worker.input, "reset", (failTime + time.Second).Milliseconds())
				time.Sleep(failTime)
				slot.worker.kill()
				time.AfterFunc(downTime, func() { _ = g.startWorker(slot) })
			}
		}
	}
	state := g.awaitState("/bake/", id, 30*time.Second, "done", "failed", "cancelled")
	if state != "done" {
		return []string{fmt.Sprintf("LOST: submission %s is shown as %q; no run of it ended failed", id, state)}, nil
	}
	return nil, nil
}

// handOver removes a machine while an entry leads that will soon hand over to a stronger one, without any fault near.
func handOver(record *record, trouble bool) ([]string, error) {
	const (
		restartTime = 500 * time.Millisecond
		// calmTime is contactMs and the 4 s and 3 s of the rule.
		calmTime = 10 * time.Second
		// lastingTime is the time after the last run of a task that lasts.
		lastingTime = 6 * time.Second
		watchTime   = 24 * time.Second
	)
	g, err := beginWith(record, 2, 4, map[string]string{"front-1": "0.8", "front-2": "0.19"}, nil)
	if err != nil {
		return nil, err
	}
	defer g.close()
	if !g.submit("/watch/", newID(), submission("lasts=1;cpu=800", step{Count: 8, CPU: 800, MemMb: 64, Perpetual: true})) {
		return nil, fmt.Errorf("submission not accepted")
	}
	if err := g.awaitCoordinator(0); err != nil {
		return nil, err
	}
	if !trouble {
		time.Sleep(watchTime)
		return g.standStill(time.Now(), calmTime, lastingTime), nil
	}
	// stopFirst stops the stronger entry as planned and starts it again.
	stopFirst := func() error {
		record.add("case", "front-1 gets SIGTERM")
		g.entries[0].signal(syscall.SIGTERM)
		<-g.entries[0].exited
		time.Sleep(restartTime)
		p, err := g.restart(g.entries[0])
		if err != nil {
			return err
		}
		g.entries[0] = p
		record.add("case", "front-1 has started again")
		return nil
	}
	if err := stopFirst(); err != nil {
		return nil, err
	}
	if err := g.awaitCoordinator(0); err != nil {
		return nil, err
	}
	handedOver := time.Now()
	record.add("case", "front-1 leads again")
	time.Sleep(restartTime)
	if err := stopFirst(); err != nil {
		return nil, err
	}
	time.Sleep(time.Until(handedOver.Add(5 * time.Second)))
	slot := g.busiest()
	record.add("case", "the machine of %s is removed for good; front-%d leads", slot.name, g.coordinator()+1)
	slot.agent.kill()
	slot.worker.kill()
	removed := time.Now()
	go func() {
		leader := g.coordinator()
		for time.Since(removed) < watchTime {
			time.Sleep(10 * time.Millisecond)
			if now := g.coordinator(); now != leader {
				leader = now
				record.add("case", "front-%d leads", leader+1)
			}
		}
	}()
	time.Sleep(watchTime)
	return g.standStill(removed, calmTime, lastingTime), nil
}

// awaitCoordinator waits until the entry leads.
func (g *region) awaitCoordinator(entry int) error {
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if g.coordinator() == entry {
			return nil
		}
	}
	return fmt.Errorf("front-%d does not lead", entry+1)
}

// standStill lists the tasks that last and did not run at calm after the latest disturbance, although their last run had
// ended longer ago than lasting.
func (g *region) standStill(disturbed time.Time, calm, lasting time.Duration) []string {
	var found []string
	judged := disturbed.Add(calm)
	last := map[string]runInterval{}
	for _, r := range g.snapshot() {
		if !strings.Contains(r.task, ".") || r.how == "done" {
			continue
		}
		former, ok := last[r.task]
		last[r.task] = r
		if !ok || former.end.IsZero() {
			continue
		}
		if r.began.After(judged) && r.began.Sub(former.end) > lasting {
			found = append(found, fmt.Sprintf("LOST: %s has nothing running from %.3f to %.3f s; the last disturbance was at %.3f s",
				r.task, g.record.seconds(former.end), g.record.seconds(r.began), g.record.seconds(disturbed)))
		}
	}
	for task, r := range last {
		if !r.end.IsZero() && time.Now().After(judged) && time.Since(r.end) > lasting {
			found = append(found, fmt.Sprintf("LOST: %s has nothing running since %.3f s; the last disturbance was at %.3f s", task, g.record.seconds(r.end), g.record.seconds(disturbed)))
		}
	}
	return found
}
