package runner_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/link"
	"clementineflow/internal/runner"
	"clementineflow/internal/wire"
)

// maxStopDelay bounds the time from a stop order to the end of its run if the worker ignores the first stop call.
const maxStopDelay = 4 * time.Second

// startLongRun starts the first run of the long task.
func startLongRun(is *is.I, conn link.Conn, w *changedPolls) {
	lastPing := waitForReport(is, conn)
	is.NoErr(conn.Send(&wire.StartRun{Task: longTask, Run: 1, WorkerID: "w", Incarnation: 1, LastPing: lastPing}))
	collectReports(is, conn, time.Second)
	is.Equal(w.ActiveRuns(), 1)
}

// orderStop orders the agent to stop a run of the long task and returns the runs that it reports as absent within the
// duration.
func orderStop(is *is.I, conn link.Conn, run uint32, d time.Duration) []*wire.RunAbsent {
	is.NoErr(conn.Send(&wire.StopRun{Task: longTask, Run: run, WorkerID: "w", Incarnation: 1}))
	_, absent := collectReports(is, conn, d)
	return absent
}

// TestStopThatWasNotCarriedOutIsRepeated guards against a run of a cancelled job that works on for good, because the worker
// answered the stop call, or rejected it as invalid, and the run is still there (UNASKED).
func TestStopThatWasNotCarriedOutIsRepeated(t *testing.T) {
	for name, answer := range map[string]error{"answered": nil, "invalid": runner.ErrInvalid} {
		t.Run(name, func(t *testing.T) {
			w := &changedPolls{}
			w.stop = func(ctx context.Context, target runner.Target, task string, run uint32) error {
				if w.stops.Load() == 1 {
					return answer
				}
				return w.Worker.StopRun(ctx, target, task, run)
			}
			runWithWorker(t, w, func(is *is.I, conn link.Conn) {
				startLongRun(is, conn, w)
				orderStop(is, conn, 1, maxStopDelay)
				is.Equal(w.ActiveRuns(), 0)
			})
		})
	}
}

// TestRefusedStopWaitsForANewerLink guards against an agent that calls its worker again and again with a fence that the
// worker has refused, since the holder of a higher one has taken over.
func TestRefusedStopWaitsForANewerLink(t *testing.T) {
	w := &changedPolls{}
	w.stop = func(context.Context, runner.Target, string, uint32) error { return runner.ErrFenced }
	runWithWorker(t, w, func(is *is.I, conn link.Conn) {
		startLongRun(is, conn, w)
		is.Equal(len(orderStop(is, conn, 1, 2*time.Second)), 0)
		is.Equal(w.stops.Load(), int64(1))
	})
}

// TestStopOfAnotherRunIsNotRepeated guards against an agent that starts one more loop of stop calls with each stop order for
// a run that it doesn't track.
func TestStopOfAnotherRunIsNotRepeated(t *testing.T) {
	w := &changedPolls{}
	w.stop = func(context.Context, runner.Target, string, uint32) error { return context.DeadlineExceeded }
	runWithWorker(t, w, func(is *is.I, conn link.Conn) {
		startLongRun(is, conn, w)
		const orders = 3
		for range orders {
			orderStop(is, conn, 2, 10*time.Millisecond)
		}
		collectReports(is, conn, time.Second)
		is.Equal(w.stops.Load(), int64(orders))
	})
}
