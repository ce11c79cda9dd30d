package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/gateway"
	"clementineflow/internal/job"
)

// TestTasksThatTheirWorkerLosesRunAgain guards against tasks that stand for good because their worker neither runs them any
// more nor lists their ends, also while agents and the coordinator start again.
func TestTasksThatTheirWorkerLosesRunAgain(t *testing.T) {
	cases := []struct {
		name   string
		faults func(r *region)
	}{
		{"no other fault", func(*region) {}},
		{"agents restarted", func(r *region) {
			for _, a := range r.agents {
				a.kill()
				a.start()
			}
		}},
		{"coordinator killed", func(r *region) { r.leader().kill() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runInRegion(t, func(is *is.I, r *region) {
				submitWatch(is, r)
				for i, a := range r.agents {
					for index := i; index < watchTasks; index += 2 {
						a.worker.LoseRun(job.TaskName{Job: watchID, Index: index}.String())
					}
				}
				c.faults(r)
				time.Sleep(maxIdleTime)
				if runs := activeRuns(r); runs != watchTasks {
					t.Errorf("%d of %d tasks that last run", runs, watchTasks)
				}
			})
		})
	}
}

// TestLateConfirmationLosesNoTask guards against jobs that never end because a poll that was meant for the previous
// incarnation of a worker has confirmed the first ends of the next one.
func TestLateConfirmationLosesNoTask(t *testing.T) {
	const (
		jobCount  = 6
		pollDelay = 2 * time.Second
	)
	runInRegion(t, func(is *is.I, r *region) {
		submit := func(first int) {
			for i := first; i < first+jobCount; i++ {
				is.Equal(r.submit(r.leader(), newSpec(fmt.Sprintf("%016x", i), 4)), gateway.Accepted)
			}
		}
		submit(0)
		time.Sleep(5 * time.Second)
		for _, a := range r.agents {
			a.worker.DelayCalls(1, pollDelay)
		}
		time.Sleep(pollDelay / 2)
		for _, a := range r.agents {
			a.worker.Crash()
		}
		time.Sleep(pollDelay/2 - 10*time.Millisecond)
		for _, a := range r.agents {
			a.worker.Restart()
		}
		time.Sleep(3 * time.Second)
		submit(jobCount)
		time.Sleep(maxIdleTime)
		for i := range 2 * jobCount {
			state, err := r.state(r.leader(), fmt.Sprintf("%016x", i))
			is.NoErr(err)
			if state != job.StateDone {
				t.Errorf("job %d is %s", i, state)
			}
		}
	})
}
