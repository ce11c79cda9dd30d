package jobs

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/gateway"
)

// longCut is longer than the coordinator keeps the record of an agent that it can't reach.
const longCut = 150 * time.Second

// TestAgentsReturnAfterALongCut guards against workers that get no task for good, because the coordinator removed the
// records of their agents while these were cut off, and an agent that goes on running never writes its record again.
func TestAgentsReturnAfterALongCut(t *testing.T) {
	runInRegion(t, func(is *is.I, r *region) {
		for _, a := range r.agents {
			r.cutOff(a, true)
		}
		time.Sleep(longCut)
		for _, a := range r.agents {
			r.cutOff(a, false)
		}
		is.Equal(r.submit(r.leader(), newSpec("0000000000000001", 2)), gateway.Accepted)
		time.Sleep(10 * time.Second)
		is.Equal(r.recorder.Starts(), 2)
	})
}
