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
)

// TestChangedLabelsAreReported guards against tasks that wait although a worker has the label and room for them, because its
// first status named no labels and the coordinator is not told of those that follow.
func TestChangedLabelsAreReported(t *testing.T) {
	runWithAgent(t, func(is *is.I, conn link.Conn, w *jobworker.Worker, agent *runner.Agent) {
		waitForReport(is, conn)
		status, _ := w.Describe("north", 2)
		status.Labels = []string{"a"}
		is.True(agent.UpdateStatus(status))
		reports, _ := collectReports(is, conn, time.Second)
		is.Equal(len(reports), 1)
		is.Equal(reports[0].Labels, []string{"a"})
	})
}

// TestWorkerWithAnEarlierIncarnationNumber guards against a worker that gets no work for good because the time of day went
// back before it started again: its status reports name an earlier incarnation than the previous one's.
func TestWorkerWithAnEarlierIncarnationNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &changedPolls{Worker: newWorker()}
		// The incarnation number falls with each start of the worker.
		number := func(incarnation int64) int64 { return 100 - incarnation }
		w.poll = func(ctx context.Context, request runner.PollRequest) (runner.Snapshot, error) {
			snapshot, err := w.Worker.Poll(ctx, request)
			snapshot.Incarnation = number(snapshot.Incarnation)
			return snapshot, err
		}
		agent, stop := startAgentWith(w)
		defer stop()
		conn := openLink(t, agent, 1)
		defer conn.Close()
		status, _ := w.Describe("north", 1)
		former := status
		former.Incarnation = number(status.Incarnation)
		is.True(agent.UpdateStatus(former))
		waitForReport(is, conn)
		w.Crash()
		w.Restart()
		collectReports(is, conn, time.Second)
		status, _ = w.Describe("north", 1)
		status.Incarnation = number(status.Incarnation)
		is.True(agent.UpdateStatus(status))
		is.Equal(receiveCompleteReport(is, conn).Incarnation, status.Incarnation)
		// A late status of the former incarnation names a later one, which answers no poll.
		agent.UpdateStatus(former)
		collectReports(is, conn, time.Second)
		is.True(agent.UpdateStatus(status))
		is.Equal(receiveCompleteReport(is, conn).Incarnation, status.Incarnation)
	})
}
