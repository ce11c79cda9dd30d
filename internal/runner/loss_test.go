package runner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/link"
	"clementineflow/internal/runner"
	"clementineflow/internal/standin/jobworker"
	"clementineflow/internal/wire"
)

const (
	// maxLossDelay is how long the agent may take to tell that its worker refuses connections.
	maxLossDelay = 1500 * time.Millisecond
	// testAuthority is the authority of the agents that runWithAgent starts.
	testAuthority = 5 * time.Second
)

// collectReports answers pings for the duration and returns the reports and the absent runs that arrive.
func collectReports(is *is.I, conn link.Conn, d time.Duration) (reports []*wire.AgentReport, absent []*wire.RunAbsent) {
	for deadline := time.Now().Add(d); time.Now().Before(deadline); {
		message, err := conn.Receive()
		is.NoErr(err)
		switch message := message.(type) {
		case *wire.AgentPing:
			is.NoErr(conn.Send(&wire.PingReply{Sequence: message.Sequence}))
		case *wire.AgentReport:
			reports = append(reports, message)
		case *wire.RunAbsent:
			absent = append(absent, message)
		}
	}
	return reports, absent
}

// sendStop orders the agent to stop a run of the first incarnation.
func sendStop(is *is.I, conn link.Conn) {
	is.NoErr(conn.Send(&wire.StopRun{Task: testTask, Run: 1, WorkerID: "w", Incarnation: 1}))
}

// TestLossIsReportedToTheNextCoordinator guards against a loss of a worker that only the coordinator at that time is told.
func TestLossIsReportedToTheNextCoordinator(t *testing.T) {
	runWithAgent(t, func(is *is.I, conn link.Conn, w *jobworker.Worker, agent *runner.Agent) {
		startBeforeCrash(is, conn, w, 10*time.Millisecond)
		conn.Close()
		time.Sleep(maxLossDelay)
		next := openLink(t, agent, 2)
		sendStop(is, next)
		reports, absent := collectReports(is, next, time.Second)
		is.True(reports[0].WorkerLost)
		is.Equal(len(absent), 1)
		is.Equal(absent[0].Incarnation, int64(1))
		next.Close()
	})
}

// runWithoutStatus runs an agent to which the worker has sent no status.
func runWithoutStatus(t *testing.T, test func(is *is.I, conn link.Conn, w *jobworker.Worker, agent *runner.Agent)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w, agent, stop := startAgent(t)
		coordinatorEnd := openLink(t, agent, 1)
		test(is.New(t), coordinatorEnd, w, agent)
		coordinatorEnd.Close()
		stop()
	})
}

// TestRestartedAgentReportsAMissingWorker guards against runs that are assigned for good to a worker that ended
// while its agent restarted: the new process has no worker that it could lose.
func TestRestartedAgentReportsAMissingWorker(t *testing.T) {
	runWithoutStatus(t, func(is *is.I, conn link.Conn, w *jobworker.Worker, _ *runner.Agent) {
		w.Crash()
		reports, _ := collectReports(is, conn, maxLossDelay)
		is.True(reports[len(reports)-1].WorkerLost)
		sendStop(is, conn)
		_, absent := collectReports(is, conn, time.Second)
		is.Equal(len(absent), 1)
	})
}

// TestRestartedAgentWaitsForTheLease guards against runs that a restarted agent reports as absent while they are
// active on a worker whose status has not arrived yet, so that they would run twice.
func TestRestartedAgentWaitsForTheLease(t *testing.T) {
	runWithoutStatus(t, func(is *is.I, conn link.Conn, _ *jobworker.Worker, _ *runner.Agent) {
		for waited := time.Duration(0); waited < testAuthority-time.Second; waited += time.Second {
			sendStop(is, conn)
			reports, absent := collectReports(is, conn, time.Second)
			is.Equal(len(absent), 0)
			for _, report := range reports {
				is.True(!report.WorkerLost)
			}
		}
		// Every lease that the previous process has extended ends with its authority.
		reports, _ := collectReports(is, conn, 2*time.Second)
		is.True(reports[len(reports)-1].WorkerLost)
	})
}

// TestWorkerLostBeforeItsFirstAnswer guards against the same gap for a worker that ends between its first status and
// the first poll.
func TestWorkerLostBeforeItsFirstAnswer(t *testing.T) {
	runWithoutStatus(t, func(is *is.I, conn link.Conn, w *jobworker.Worker, agent *runner.Agent) {
		status, _ := w.Describe("north", 1)
		w.Crash()
		is.True(agent.UpdateStatus(status))
		reports, _ := collectReports(is, conn, maxLossDelay)
		is.True(reports[len(reports)-1].WorkerLost)
	})
}

// TestNewWorkerEndsALoss guards against an agent that calls its worker lost after a new one has reported itself.
func TestNewWorkerEndsALoss(t *testing.T) {
	runWithAgent(t, func(is *is.I, conn link.Conn, w *jobworker.Worker, agent *runner.Agent) {
		waitForReport(is, conn)
		w.Crash()
		reports, _ := collectReports(is, conn, maxLossDelay)
		is.True(reports[len(reports)-1].WorkerLost)
		w.Restart()
		status, _ := w.Describe("north", 1)
		is.True(agent.UpdateStatus(status))
		reports, _ = collectReports(is, conn, maxLossDelay)
		is.Equal(reports[len(reports)-1].Incarnation, int64(2))
		is.True(!reports[len(reports)-1].WorkerLost)
	})
}

// TestForeignStatusHidesNoWorker guards against a status that names an incarnation that never existed, after which the
// agent takes the worker's own reports for those of a previous one.
func TestForeignStatusHidesNoWorker(t *testing.T) {
	runWithAgent(t, func(is *is.I, conn link.Conn, w *jobworker.Worker, agent *runner.Agent) {
		waitForReport(is, conn)
		status, _ := w.Describe("north", 1)
		foreign := status
		foreign.Incarnation = 1000
		agent.UpdateStatus(foreign)
		collectReports(is, conn, time.Second)
		is.True(agent.UpdateStatus(status))
		reports, _ := collectReports(is, conn, time.Second)
		is.Equal(reports[len(reports)-1].Incarnation, int64(1))
	})
}

// TestEndOnALostWorkerIsReported guards against a task that is done and runs again, because its worker was lost before the
// end was recorded and the agent calls the run absent.
func TestEndOnALostWorkerIsReported(t *testing.T) {
	runWithAgent(t, func(is *is.I, conn link.Conn, w *jobworker.Worker, agent *runner.Agent) {
		lastPing := waitForReport(is, conn)
		is.NoErr(conn.Send(&wire.StartRun{Task: testTask, Run: 1, WorkerID: "w", Incarnation: 1, LastPing: lastPing}))
		collectReports(is, conn, taskDuration+time.Second)
		w.Crash()
		conn.Close()
		time.Sleep(maxLossDelay)
		next := openLink(t, agent, 2)
		sendStop(is, next)
		ended, ok := receiveMessage(t, next, wire.KindAgentReport).(*wire.RunEnded)
		is.True(ok) // not RunAbsent
		is.Equal(ended.Ends[0].Task, testTask)
		next.Close()
	})
}

// startByFormerProcess starts a run as a former process of the agent.
func startByFormerProcess(t *testing.T, w runner.Worker, task string) {
	t.Helper()
	_, err := w.StartRun(context.Background(), runner.StartRequest{
		Target: runner.Target{ID: "w"}, Task: task, Run: 1, LeaseEnd: time.Minute,
	})
	if err != nil {
		t.Error(err)
	}
}

// TestMissingOrdersAreReportedToTheNextCoordinator guards against a restarted agent that doesn't protect the runs on its
// worker from fillers: the first coordinator that it told that it lacks their orders was about to end, and the next one
// was not told (HARM).
func TestMissingOrdersAreReportedToTheNextCoordinator(t *testing.T) {
	runWithPreparedWorker(t, func(w *jobworker.Worker) {
		startByFormerProcess(t, w, testTask)
	}, func(is *is.I, conn link.Conn, _ *jobworker.Worker, agent *runner.Agent) {
		is.True(receiveCompleteReport(is, conn).Restarted)
		conn.Close()
		next := openLink(t, agent, 2)
		is.True(receiveCompleteReport(is, next).Restarted)
		is.NoErr(next.Send(&wire.StartRun{Task: testTask, Run: 1, WorkerID: "w", Incarnation: 1}))
		synctest.Wait()
		next.Close()
		last := openLink(t, agent, 3)
		is.True(!receiveCompleteReport(is, last).Restarted)
		last.Close()
	})
}

// TestMissingOrdersAreReportedAgain guards against a restarted agent that doesn't protect the runs on its worker from
// fillers, because the coordinator dropped its answer to the only report on the link that orders are missing (HARM).
func TestMissingOrdersAreReportedAgain(t *testing.T) {
	runWithPreparedWorker(t, func(w *jobworker.Worker) {
		startByFormerProcess(t, w, longTask)
	}, func(is *is.I, conn link.Conn, _ *jobworker.Worker, _ *runner.Agent) {
		is.True(receiveCompleteReport(is, conn).Restarted)
		const resent = 4 * time.Second
		reports, _ := collectReports(is, conn, resent)
		is.True(len(reports) > 0)
		is.True(reports[len(reports)-1].Restarted)
		is.NoErr(conn.Send(&wire.StartRun{Task: longTask, Run: 1, WorkerID: "w", Incarnation: 1}))
		synctest.Wait()
		reports, _ = collectReports(is, conn, resent)
		for _, report := range reports {
			is.True(!report.Restarted)
		}
	})
}
