package planner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/job"
	"clementineflow/internal/resource"
)

// TestRepeatedStartsBeginNoProbation guards against suspected tasks that are never placed because start orders without an
// answer, when they are sent again, count as new starts that have to be alone.
func TestRepeatedStartsBeginNoProbation(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(1)
	addJob(p, "batch", "q", job.Step{Count: 70, Need: resource.Quantity{MilliCPU: 30}})
	commit(p)
	for i := range 12 {
		p.HandleReport(testReport(i))
	}
	is.True(crashUnder(p, "batch.0.0.0", func(string) time.Duration { return 10 * time.Millisecond }))
	advance(p, time.Minute)
	is.Equal(waitingTasks(p, "batch", 70), 0)
}
