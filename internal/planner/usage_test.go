package planner

import (
	"testing"

	"github.com/matryer/is"

	"clementineflow/internal/backlog"
	"clementineflow/internal/job"
	"clementineflow/internal/wire"
)

// TestUsageEndsWithTheJob guards against memory that stays counted after a job is gone, and against the tasks of ended jobs
// that are kept as long as their state is readable.
func TestUsageEndsWithTheJob(t *testing.T) {
	is := is.New(t)
	p := New(testTiming, 0)
	spec := &job.Spec{ID: "a", Queue: "q", Payload: "x", Steps: []job.Step{{Count: 100}}}
	p.AddJob(spec, nil, 0, 0)
	is.Equal(p.Usage().Total(), backlog.JobBytes(spec))
	p.Cancel("a")
	p.Cancel("unknown")
	p.Cancel("unknown")
	is.Equal(p.Usage().Total(), backlog.JobBytes(spec)+backlog.CancellationBytes)
	p.Tick() // not released before its end is stored
	is.Equal(p.Usage().Total(), backlog.JobBytes(spec)+backlog.CancellationBytes)
	p.HandleCommitted(p.NextCommit(10, 1, false), 1)
	p.Tick()
	is.Equal(p.Usage().Total(), backlog.FinishedJobBytes(spec)+backlog.CancellationBytes)
	state, known := p.JobState("a")
	is.True(known && state == job.StateCancelled)
	p.Advance(2 * testTiming.StatusPeriod)
	p.ExpireJobs((2 * testTiming.StatusPeriod).Milliseconds())
	p.HandleCommitted(p.NextCommit(10, 1, false), 2)
	is.Equal(p.Usage().Total(), int64(0))
	_, known = p.JobState("a")
	is.True(!known)
}

// TestLateEndOfAReleasedJob guards against a job that is released while its run may exist, and against an end of a run that
// is not confirmed since it comes again after that.
func TestLateEndOfAReleasedJob(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(1)
	addJob(p, "a", "q", job.Step{Count: 1})
	commit(p)
	p.Cancel("a")
	commit(p)
	p.Tick()
	_, ok := p.findTask("a.0.0.0")
	is.True(ok)
	ended := &wire.RunEnded{WorkerID: "w-agent-0", Incarnation: 1, Ends: []wire.EndRow{{
		Number: 1, Task: "a.0.0.0", Run: 1, Outcome: uint8(job.OutcomeStopped),
	}}}
	p.HandleRunsEnded("agent-0", ended)
	commit(p)
	p.Tick()
	_, ok = p.findTask("a.0.0.0")
	is.True(!ok)
	p.TakeOrders()
	p.HandleRunsEnded("agent-0", ended)
	orders := p.TakeOrders()
	is.Equal(len(orders), 1)
	_, confirmed := orders[0].Message.(*wire.ConfirmEnds)
	is.True(confirmed)
}
