package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// Sizes of the case.
const (
	crashTraffic = 40 * time.Second
	// crashGap is the time between two crashes, crashDown how long the worker is down.
	crashGap  = 500 * time.Millisecond
	crashDown = 300 * time.Millisecond
	// finishTime is finish_s of the settings.
	finishTime = 14 * time.Second
)

// playCrashes hands in sound work while one worker of eleven at a time crashes and starts again. A submission is broken if it
// is shown as failed although no run of it has ended as failed.
func playCrashes(d *deployment, trouble bool) (verdict, error) {
	ctx, cancel := context.WithTimeout(context.Background(), crashTraffic)
	defer cancel()
	var group sync.WaitGroup
	if trouble {
		group.Go(func() {
			for ctx.Err() == nil {
				d.workers[rand.IntN(len(d.workers))].restart(crashDown)
				sleep(ctx, crashGap-crashDown)
			}
		})
	}
	for ctx.Err() == nil {
		group.Go(func() {
			d.submit(d.queues[0], fmt.Sprintf("ms=%d", 400+rand.IntN(800)), step{Count: 4 + rand.IntN(6), CPU: 240, Memory: 480, Estimate: 800})
		})
		sleep(ctx, 130*time.Millisecond)
	}
	group.Wait()
	d.journal.add("the traffic has ended")
	failedRuns := map[string]int{}
	shown := map[string]string{}
	for end := time.Now().Add(finishTime); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for i, s := range d.jobs.all() {
			if shown[s.id] == "done" || shown[s.id] == "failed" || s.accepted == 0 {
				continue
			}
			_, shown[s.id] = d.state(s, d.entries[i%len(d.entries)])
		}
	}
	gone := map[string]int{}
	for _, e := range d.journal.events() {
		id, _, _ := strings.Cut(e.task, ".")
		switch {
		case e.kind == "end" && e.how == "failed":
			failedRuns[id]++
		case e.kind == "gone":
			gone[e.task]++
		}
	}
	broken := 0
	for _, s := range d.jobs.all() {
		if shown[s.id] != "failed" || failedRuns[s.id] > 0 {
			continue
		}
		broken++
		most := 0
		for task, count := range gone {
			if strings.HasPrefix(task, s.id+".") {
				most = max(most, count)
			}
		}
		d.journal.add("%s is shown as failed; no run of it has ended as failed; at most %d runs of one task were lost with their worker", s.id, most)
	}
	return verdict{broken: broken > 0, text: fmt.Sprintf("%d of %d accepted submissions are shown as failed without an end that is failed",
		broken, len(d.jobs.all()))}, nil
}
