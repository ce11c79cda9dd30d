package runner_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"clementineflow/internal/job"
	"clementineflow/internal/link"
	"clementineflow/internal/resource"
	"clementineflow/internal/runner"
	"clementineflow/internal/standin/jobworker"
	"clementineflow/internal/wire"
)

// quiet is an observer that takes no notes.
type quiet struct{}

func (quiet) Started(string, string, uint32)                      {}
func (quiet) Ended(string, string, uint32, job.Outcome)           {}
func (quiet) Confirmed(string, string, uint32, job.Outcome, bool) {}

const (
	testTask  = "5c0e7a21d94b36f8.0.0.0"
	taskTime  = 300 * time.Millisecond
	agentName = "agent-0"
)

// linked runs an agent with a worker and hands the coordinator's end of its link to the test.
func linked(t *testing.T, test func(is *is.I, conn link.Conn, w *jobworker.Worker)) {
	t.Helper()
	linkedAgent(t, func(is *is.I, conn link.Conn, w *jobworker.Worker, _ *runner.Agent) { test(is, conn, w) })
}

// linkedAgent is linked for tests that also need the agent.
func linkedAgent(t *testing.T, test func(is *is.I, conn link.Conn, w *jobworker.Worker, agent *runner.Agent)) {
	t.Helper()
	linkedTo(t, func(*jobworker.Worker) {}, test)
}

// linkedTo is linkedAgent with something that happens to the worker before its description arrives.
func linkedTo(t *testing.T, before func(*jobworker.Worker), test func(is *is.I, conn link.Conn, w *jobworker.Worker, agent *runner.Agent)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		w := jobworker.New(jobworker.Config{
			ID: "w", Capacity: resource.Quantity{MilliCPU: 4000}, Observer: quiet{},
			Work: func(string) jobworker.Work { return jobworker.Work{Duration: taskTime} },
		})
		description, _ := w.Describe("north", 1)
		before(w)
		agent := runner.New(runner.Config{
			Name: agentName, Worker: w, LeaseTerm: 4 * time.Second, Authority: 5 * time.Second,
			Now: func() time.Duration { return time.Since(began) + time.Second }, Logger: log.New(io.Discard),
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { agent.Run(ctx); close(done) }()
		near, far := link.Pipe()
		go agent.Serve(ctx, far)
		if err := near.Send(&wire.TermHello{Term: 1, Fence: 1, Agent: agentName}); err != nil {
			t.Fatal(err)
		}
		if !agent.Describe(description) {
			t.Fatal("description refused")
		}
		test(is.New(t), near, w, agent)
		near.Close()
		cancel()
		<-done
	})
}

// receive answers pings until a message other than a ping arrives, and returns it with the last ping.
func receive(t *testing.T, conn link.Conn, skip ...wire.Kind) wire.Message {
	t.Helper()
	for {
		message, err := conn.Receive()
		if err != nil {
			t.Fatal(err)
		}
		if ping, ok := message.(*wire.AgentPing); ok {
			if err := conn.Send(&wire.PingReply{Sequence: ping.Sequence}); err != nil {
				t.Fatal(err)
			}
			continue
		}
		skipped := false
		for _, kind := range skip {
			skipped = skipped || message.Kind() == kind
		}
		if !skipped {
			return message
		}
	}
}

// awaitReport waits for a complete report and returns the number of a ping that has arrived: an order that
// names a ping that was not sent yet is too old.
func awaitReport(is *is.I, conn link.Conn) uint64 {
	lastPing := uint64(0)
	report := &wire.AgentReport{}
	for !report.Complete || lastPing == 0 {
		message, err := conn.Receive()
		is.NoErr(err)
		switch message := message.(type) {
		case *wire.AgentPing:
			lastPing = message.Sequence
			is.NoErr(conn.Send(&wire.PingReply{Sequence: lastPing}))
		case *wire.AgentReport:
			report = message
		}
	}
	return lastPing
}

// TestNoStartOnALeavingWorker guards against a start that was on its way when the worker announced its end.
func TestNoStartOnALeavingWorker(t *testing.T) {
	linkedAgent(t, func(is *is.I, conn link.Conn, w *jobworker.Worker, agent *runner.Agent) {
		lastPing := awaitReport(is, conn)
		leaving, _ := w.Describe("north", 2)
		leaving.Leaving, leaving.Remaining = true, time.Second
		is.True(agent.Describe(leaving))
		is.NoErr(conn.Send(&wire.StartRun{Task: testTask, Run: 1, WorkerID: "w", Born: 1, LastPing: lastPing}))
		absent, ok := receive(t, conn, wire.KindRunProgress, wire.KindAgentReport).(*wire.RunAbsent)
		is.True(ok)
		is.Equal(absent.Task, testTask)
	})
}

// TestRepeatedStartOfAnEndedRun guards against a run that is reported as absent because its start order
// came again, too old, after it had ended: the task would be done twice (history seed 5244).
func TestRepeatedStartOfAnEndedRun(t *testing.T) {
	linked(t, func(is *is.I, conn link.Conn, _ *jobworker.Worker) {
		lastPing := awaitReport(is, conn)
		order := &wire.StartRun{Task: testTask, Run: 1, WorkerID: "w", Born: 1, LastPing: lastPing}
		is.NoErr(conn.Send(order))
		ended := receive(t, conn, wire.KindRunProgress).(*wire.RunEnded)
		is.Equal(ended.Ends[0].Task, testTask)
		// The end stays unrecorded, and the same order comes again when it is too old to be carried out.
		for began := time.Now(); time.Since(began) < 1700*time.Millisecond; {
			again, ok := receive(t, conn, wire.KindRunProgress).(*wire.RunEnded)
			if ok {
				is.Equal(again.Ends[0].Run, uint32(1))
				break
			}
		}
		is.NoErr(conn.Send(order))
		repeated, ok := receive(t, conn, wire.KindRunProgress).(*wire.RunEnded)
		is.True(ok) // not RunAbsent
		is.Equal(repeated.Ends[0].Number, uint64(1))
	})
}

// TestLateReportOfAGoneWorker guards against a restarted agent that takes a delayed status report of a worker
// that has left for a worker to use.
func TestLateReportOfAGoneWorker(t *testing.T) {
	linkedTo(t, (*jobworker.Worker).Crash, func(is *is.I, conn link.Conn, _ *jobworker.Worker, _ *runner.Agent) {
		for began := time.Now(); time.Since(began) < 5*time.Second; {
			message, err := conn.Receive()
			is.NoErr(err)
			switch message := message.(type) {
			case *wire.AgentPing:
				is.NoErr(conn.Send(&wire.PingReply{Sequence: message.Sequence}))
			case *wire.AgentReport:
				is.Equal(message.WorkerID, "") // nothing to place work on
			}
		}
	})
}

// TestStartWithoutAnswerIsRepeatedSoon guards against a start that is given up, and placed anew more than a
// second later, because its first call got no answer.
func TestStartWithoutAnswerIsRepeatedSoon(t *testing.T) {
	linked(t, func(is *is.I, conn link.Conn, w *jobworker.Worker) {
		lastPing := awaitReport(is, conn)
		// The agent's look at its worker waits for an end meanwhile.
		time.Sleep(300 * time.Millisecond)
		w.DelayOrders(1, 4*time.Second)
		sent := time.Now()
		is.NoErr(conn.Send(&wire.StartRun{Task: testTask, Run: 1, WorkerID: "w", Born: 1, LastPing: lastPing}))
		ended, ok := receive(t, conn, wire.KindRunProgress, wire.KindAgentReport).(*wire.RunEnded)
		is.True(ok)
		is.Equal(ended.Ends[0].Outcome, uint8(job.OutcomeDone))
		is.True(time.Since(sent) <= taskTime+600*time.Millisecond)
	})
}

// TestEndIsReportedSoonAfterALostLook guards against ends that are reported more than a second late because
// the answer of the look that waited for them was lost.
func TestEndIsReportedSoonAfterALostLook(t *testing.T) {
	linked(t, func(is *is.I, conn link.Conn, w *jobworker.Worker) {
		lastPing := awaitReport(is, conn)
		w.DelayOrders(1, 4*time.Second)
		time.Sleep(300 * time.Millisecond)
		sent := time.Now()
		is.NoErr(conn.Send(&wire.StartRun{Task: testTask, Run: 1, WorkerID: "w", Born: 1, LastPing: lastPing}))
		ended, ok := receive(t, conn, wire.KindRunProgress, wire.KindAgentReport).(*wire.RunEnded)
		is.True(ok)
		is.Equal(ended.Ends[0].Outcome, uint8(job.OutcomeDone))
		is.True(time.Since(sent) <= taskTime+600*time.Millisecond)
	})
}
