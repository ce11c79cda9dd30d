package runner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/link"
	"clementineflow/internal/runner"
	"clementineflow/internal/standin/jobworker"
	"clementineflow/internal/wire"
)

// maxCrashReportDelay is how long after a crash its report may be missing.
const maxCrashReportDelay = 10 * time.Second

// receiveCrash answers pings until a report of a crash arrives, and returns the crash.
func receiveCrash(t *testing.T, conn link.Conn) *wire.WorkerCrash {
	t.Helper()
	for deadline := time.Now().Add(maxCrashReportDelay); time.Now().Before(deadline); {
		message, err := conn.Receive()
		if err != nil {
			t.Fatal(err)
		}
		switch message := message.(type) {
		case *wire.AgentPing:
			if err := conn.Send(&wire.PingReply{Sequence: message.Sequence}); err != nil {
				t.Fatal(err)
			}
		case *wire.AgentReport:
			if message.Crash != nil {
				return message.Crash
			}
		}
	}
	t.Fatal("the crash was not reported")
	return nil
}

// receiveCompleteReport answers pings until a complete report arrives, and returns it.
func receiveCompleteReport(is *is.I, conn link.Conn) *wire.AgentReport {
	for {
		message, err := conn.Receive()
		is.NoErr(err)
		switch message := message.(type) {
		case *wire.AgentPing:
			is.NoErr(conn.Send(&wire.PingReply{Sequence: message.Sequence}))
		case *wire.AgentReport:
			if message.Complete {
				return message
			}
		}
	}
}

// startBeforeCrash starts a run, and crashes its worker after the given time.
func startBeforeCrash(is *is.I, conn link.Conn, w *jobworker.Worker, after time.Duration) {
	lastPing := waitForReport(is, conn)
	is.NoErr(conn.Send(&wire.StartRun{Task: testTask, Run: 1, WorkerID: "w", Incarnation: 1, LastPing: lastPing}))
	synctest.Wait()
	time.Sleep(after)
	w.Crash()
}

// TestCrashReportNamesTheAgeOfRuns guards against a coordinator that can't tell which of the lost runs had just
// started.
func TestCrashReportNamesTheAgeOfRuns(t *testing.T) {
	runWithAgentLink(t, func(is *is.I, conn link.Conn, w *jobworker.Worker) {
		startBeforeCrash(is, conn, w, 30*time.Millisecond)
		crash := receiveCrash(t, conn)
		is.Equal(crash.WorkerID, "w")
		is.Equal(len(crash.Runs), 1)
		is.Equal(crash.Runs[0].Task, testTask)
		is.True(crash.Runs[0].AgeMillis >= 30 && crash.Runs[0].AgeMillis < 130)
	})
}

// TestCrashIsReportedWithTheNextIncarnation guards against a crash that stays unknown because the worker is back before
// it has refused connections for long, and against one that a later link is not told of.
func TestCrashIsReportedWithTheNextIncarnation(t *testing.T) {
	runWithAgent(t, func(is *is.I, conn link.Conn, w *jobworker.Worker, agent *runner.Agent) {
		startBeforeCrash(is, conn, w, 10*time.Millisecond)
		w.Restart()
		status, _ := w.Describe("north", 1)
		is.True(agent.UpdateStatus(status))
		is.Equal(receiveCrash(t, conn).Incarnation, int64(1))
		conn.Close()
		next := openLink(t, agent, 2)
		is.Equal(receiveCompleteReport(is, next).Crash.Runs[0].Task, testTask)
		next.Close()
	})
}

// TestPlannedEndIsNoCrash guards against tasks that are blamed for the end of a worker that had announced it.
func TestPlannedEndIsNoCrash(t *testing.T) {
	runWithAgent(t, func(is *is.I, conn link.Conn, w *jobworker.Worker, agent *runner.Agent) {
		lastPing := waitForReport(is, conn)
		is.NoErr(conn.Send(&wire.StartRun{Task: testTask, Run: 1, WorkerID: "w", Incarnation: 1, LastPing: lastPing}))
		synctest.Wait()
		leaving, _ := w.Describe("north", 2)
		leaving.Leaving, leaving.Remaining = true, time.Second
		is.True(agent.UpdateStatus(leaving))
		w.Crash()
		for range 4 {
			message := receiveMessage(t, conn, wire.KindRunProgress)
			if report, ok := message.(*wire.AgentReport); ok {
				is.Equal(report.Crash, nil)
			}
			if _, ok := message.(*wire.RunAbsent); ok {
				return
			}
		}
		t.Error("the lost run was not reported")
	})
}

// TestUnconfirmedStartHasNoAge guards against a crash that is blamed on a run whose start call was the first to find the
// worker gone: the run may never have been there.
func TestUnconfirmedStartHasNoAge(t *testing.T) {
	runWithAgentLink(t, func(is *is.I, conn link.Conn, w *jobworker.Worker) {
		lastPing := waitForReport(is, conn)
		w.DelayCalls(1, 4*time.Second)
		is.NoErr(conn.Send(&wire.StartRun{Task: testTask, Run: 1, WorkerID: "w", Incarnation: 1, LastPing: lastPing}))
		synctest.Wait()
		w.Crash()
		crash := receiveCrash(t, conn)
		is.Equal(len(crash.Runs), 1)
		is.Equal(crash.Runs[0].AgeMillis, int64(-1))
	})
}

// TestCrashOfAFailingWorkerHasNoAge guards against a crash that is blamed on a run that had just started when the worker
// stopped answering, seconds before it crashed; whether the agent learns of it by refused connections or by the status of
// the next incarnation.
func TestCrashOfAFailingWorkerHasNoAge(t *testing.T) {
	for name, restart := range map[string]bool{"stays down": false, "restarts at once": true} {
		t.Run(name, func(t *testing.T) {
			runWithAgent(t, func(is *is.I, conn link.Conn, w *jobworker.Worker, agent *runner.Agent) {
				lastPing := waitForReport(is, conn)
				is.NoErr(conn.Send(&wire.StartRun{Task: longTask, Run: 1, WorkerID: "w", Incarnation: 1, LastPing: lastPing}))
				collectReports(is, conn, 200*time.Millisecond)
				w.SetUnresponsive(true)
				collectReports(is, conn, 2*time.Second)
				w.Crash()
				if restart {
					w.Restart()
					w.SetUnresponsive(false)
					status, _ := w.Describe("north", 1)
					is.True(agent.UpdateStatus(status))
				}
				crash := receiveCrash(t, conn)
				is.Equal(len(crash.Runs), 1)
				is.Equal(crash.Runs[0].AgeMillis, int64(-1))
			})
		})
	}
}
