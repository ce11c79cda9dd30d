package runner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/link"
	"clementineflow/internal/runner"
	"clementineflow/internal/standin/jobworker"
	"clementineflow/internal/wire"
)

// maxLeaveDelay is how long the agent may take to report the runs of a worker that has left.
const maxLeaveDelay = 700 * time.Millisecond

// startOnSecondIncarnation lets the worker's first incarnation end as planned, and starts a long run on the second one.
func startOnSecondIncarnation(is *is.I, conn link.Conn, w *jobworker.Worker, agent *runner.Agent) {
	waitForReport(is, conn)
	leaving, _ := w.Describe("north", 2)
	leaving.Leaving = true
	is.True(agent.UpdateStatus(leaving))
	w.Crash()
	w.Restart()
	status, _ := w.Describe("north", 1)
	is.True(agent.UpdateStatus(status))
	lastPing := waitForReport(is, conn)
	is.NoErr(conn.Send(&wire.StartRun{Task: longTask, Run: 1, WorkerID: "w", Incarnation: 2, LastPing: lastPing}))
	collectReports(is, conn, time.Second)
	is.Equal(w.ActiveRuns(), 1)
}

// TestLateLeaveCallEndsNoRuns guards against runs that are reported as gone, and run again elsewhere, while they go on: the
// leave call of the worker's previous incarnation arrives late (TWICE). The present one may be about to leave itself.
func TestLateLeaveCallEndsNoRuns(t *testing.T) {
	for name, leaving := range map[string]bool{"ready": false, "leaving": true} {
		t.Run(name, func(t *testing.T) {
			runWithAgent(t, func(is *is.I, conn link.Conn, w *jobworker.Worker, agent *runner.Agent) {
				startOnSecondIncarnation(is, conn, w, agent)
				status, _ := w.Describe("north", 2)
				status.Leaving, status.Remaining = leaving, time.Minute
				is.True(agent.UpdateStatus(status))
				agent.HandleWorkerLeft("w")
				reports, absent := collectReports(is, conn, 5*time.Second)
				is.Equal(len(absent), 0)
				for _, report := range reports {
					is.True(!report.WorkerLost)
				}
				is.Equal(w.ActiveRuns(), 1)
			})
		})
	}
}

// TestLeaveCallIsFollowedByTheLoss guards against tasks that wait because the leave call of their worker is not believed,
// and against a crash that is blamed on them, also if the worker could not say before that it is leaving.
func TestLeaveCallIsFollowedByTheLoss(t *testing.T) {
	runWithAgent(t, func(is *is.I, conn link.Conn, w *jobworker.Worker, agent *runner.Agent) {
		startOnSecondIncarnation(is, conn, w, agent)
		agent.HandleWorkerLeft("w")
		collectReports(is, conn, 50*time.Millisecond)
		w.Crash()
		reports, absent := collectReports(is, conn, maxLeaveDelay)
		is.Equal(len(absent), 1)
		is.True(reports[len(reports)-1].WorkerLost)
		is.Equal(reports[len(reports)-1].Crash, nil)
	})
}

// TestCrashAfterALateLeaveCall guards against a crash that is not reported because a late leave call of the previous
// incarnation counts for the present one for good.
func TestCrashAfterALateLeaveCall(t *testing.T) {
	runWithAgent(t, func(is *is.I, conn link.Conn, w *jobworker.Worker, agent *runner.Agent) {
		startOnSecondIncarnation(is, conn, w, agent)
		agent.HandleWorkerLeft("w")
		collectReports(is, conn, 5*time.Second)
		w.Crash()
		is.Equal(receiveCrash(t, conn).Runs[0].Task, longTask)
	})
}
