package jobs

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/gateway"
	"clementineflow/internal/resource"
	"clementineflow/internal/standin/jobworker"
	"clementineflow/internal/standin/kvstore"
)

// TestQueueLengthAfterAKill guards against a new coordinator that says that no job waits before it has read the jobs.
func TestQueueLengthAfterAKill(t *testing.T) {
	runInRegion(t, func(is *is.I, r *region) {
		r.work = func(string) jobworker.Work {
			return jobworker.Work{Duration: 20 * time.Second, Need: resource.Quantity{MilliCPU: 1000}}
		}
		const jobs, running = 40, 12
		for i := range jobs {
			is.Equal(r.submit(r.leader(), newSpec(fmt.Sprintf("%016x", i), 1)), gateway.Accepted)
		}
		time.Sleep(time.Second)
		leader, asked := r.leader(), r.nonLeader()
		asked.faulty.SetFaults(kvstore.Faults{DelayMillis: 100})
		leader.kill()
		answers := 0
		for range 1000 {
			time.Sleep(3 * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			waiting, err := asked.gateway.Waiting(ctx, "queue")
			cancel()
			if err != nil {
				continue
			}
			answers++
			if waiting != jobs-running {
				t.Errorf("%d jobs are said to wait, of %d", waiting, jobs-running)
				break
			}
		}
		is.True(answers > 0)
	})
}
