package planner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/job"
	"clementineflow/internal/wire"
)

// ordersOf returns the number of start and stop orders, and clears the list.
func ordersOf(p *Planner) (starts, stops int) {
	for _, order := range p.TakeOrders() {
		switch order.Message.(type) {
		case *wire.StartRun:
			starts++
		case *wire.StopRun:
			stops++
		}
	}
	return starts, stops
}

// resized returns a report of the first agent's worker with other processors, on which the named runs are present.
func resized(milliCPU int64, running ...string) *wire.AgentReport {
	report := testReport(0)
	report.Capacity.MilliCPU = milliCPU
	for _, task := range running {
		report.Runs = append(report.Runs, wire.RunRow{Task: task, Run: 1})
	}
	return report
}

// TestNoStartOnAShrunkWorker guards against starts that bring a worker over a capacity that has shrunk, and against
// room that is not used again after it has grown.
func TestNoStartOnAShrunkWorker(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(1)
	addJob(p, "a", "q", job.Step{Count: 2})
	is.Equal(totalStarts(commit(p)), 2)
	p.HandleReport(resized(1000, "a.0.0.0", "a.0.0.1"))
	addJob(p, "b", "q", job.Step{Count: 2})
	is.Equal(totalStarts(commit(p)), 0)
	p.HandleReport(resized(4000, "a.0.0.0", "a.0.0.1"))
	p.Advance(p.now + time.Second)
	is.Equal(totalStarts(commit(p)), 2)
}

// TestLostStartIsNotRepeatedOnAShrunkWorker guards against a start order that was lost with a link and is sent again
// to a worker whose capacity has shrunk meanwhile.
func TestLostStartIsNotRepeatedOnAShrunkWorker(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(1)
	addJob(p, "a", "q", job.Step{Count: 4})
	is.Equal(totalStarts(commit(p)), 4)
	p.HandleDisconnect(agentName(0), p.now)
	p.HandleReport(resized(3000, "a.0.0.0", "a.0.0.1"))
	starts, stops := ordersOf(p)
	is.Equal(starts, 1)
	is.Equal(stops, 1)
}
