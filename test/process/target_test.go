package process

import (
	"syscall"
	"testing"
	"time"

	"clementineflow/internal/standin/worker"
)

// leaveLimit is the time after which a leaving target gets no new work.
const leaveLimit = 5 * time.Second

// TestLeavingTarget guards against requests that are still sent to a target which has announced that it
// leaves, and against requests in progress there that are cut off.
func TestLeavingTarget(t *testing.T) {
	c := startCluster(t)
	victim := c.workers[0]
	requests := startLoad(c, c.entries, loadConfig{nonIdempotent: true, timeout: 20 * time.Second})
	// A few slow requests keep the leaving target running. For all others it is as fast as the rest, and
	// these are busy, so that routing has no other reason to leave it out.
	c.put(victim.control, worker.PathSettings, worker.TargetSettings{ServiceMillis: 12000})
	time.Sleep(500 * time.Millisecond) // the fast requests that were in progress have ended
	c.eventually("slow requests are in progress at the target", func() error {
		if _, target := c.truth(victim); target.Concurrent == 0 {
			return errNotAnswered
		}
		return nil
	})
	for _, w := range c.workers {
		c.put(w.control, worker.PathSettings, worker.TargetSettings{ServiceMillis: 400})
	}
	more := []*load{}
	for range 2 {
		more = append(more, startLoad(c, c.entries, loadConfig{nonIdempotent: true, timeout: 20 * time.Second}))
	}
	time.Sleep(time.Second)
	victim.vm.signal(syscall.SIGTERM)
	left := time.Now()
	time.Sleep(leaveLimit)
	_, before := c.truth(victim)
	if !before.Leaving || before.Concurrent == 0 {
		t.Errorf("leaving %t with %d requests in progress, so the rule was not put to the test", before.Leaving, before.Concurrent)
	}
	last := before
	for victim.vm.running() && time.Since(left) < stopLimit {
		if state, err := getJSON[worker.TargetState](victim.control, worker.PathTarget); err == nil {
			last = state
		}
		time.Sleep(50 * time.Millisecond)
	}
	if len(last.Executions) != len(before.Executions) {
		t.Errorf("%d requests reached the target later than %s after it announced its leaving",
			len(last.Executions)-len(before.Executions), leaveLimit)
	}
	for id, count := range last.Executions {
		victim.archiveRequest[id] += count
	}
	for _, each := range append(more, requests) {
		requireOnly(each, each.finish(), "a target left", told)
	}
}
