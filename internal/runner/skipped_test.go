package runner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/resource"
	"clementineflow/internal/runner"
	"clementineflow/internal/standin/jobworker"
)

// slowStopWorker is a worker whose stops take long and whose rows of active runs can't be read.
type slowStopWorker struct{ *jobworker.Worker }

// StopRun accepts the stop; the run stays active.
func (slowStopWorker) StopRun(context.Context, runner.Target, string, uint32) error { return nil }

// Poll skips the rows of active runs.
func (w slowStopWorker) Poll(ctx context.Context, request runner.PollRequest) (runner.Snapshot, error) {
	request.Wait = 0
	snapshot, err := w.Worker.Poll(ctx, request)
	snapshot.RowsSkipped = len(snapshot.Runs) > 0
	snapshot.Runs = nil
	return snapshot, err
}

// TestStopOfARunInASkippedRow guards against a run that is reported as absent, so that its task starts elsewhere too, while
// it is still active in a row that can't be read.
func TestStopOfARunInASkippedRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := jobworker.New(jobworker.Config{
			ID: "w", Capacity: resource.Quantity{MilliCPU: 4000}, Observer: noopObserver{},
			Work: func(string) jobworker.Work { return jobworker.Work{Duration: time.Hour} },
		})
		agent, stop := startAgentWith(slowStopWorker{w})
		status, _ := w.Describe("north", 1)
		conn := openLink(t, agent, 1)
		agent.UpdateStatus(status)
		startRun(is, conn, w, 1)
		time.Sleep(10 * time.Millisecond)
		sendStop(is, conn)
		_, absent := collectReports(is, conn, time.Second)
		conn.Close()
		active := w.ActiveRuns()
		stop()
		is.Equal(active, 1)
		is.Equal(len(absent), 0) // the run is still active
	})
}
