package runner_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/runner"
	"clementineflow/internal/standin/jobworker"
	"clementineflow/internal/wire"
)

// pacedWorker is a worker that keeps the pace of each run. A run starts at full pace.
type pacedWorker struct {
	*jobworker.Worker
	mu    sync.Mutex
	paces map[string]int
}

// SetPace implements runner.Worker.
func (w *pacedWorker) SetPace(_ context.Context, _ runner.Target, task string, _ uint32, percent int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paces[task] = percent
	return nil
}

func (w *pacedWorker) pace(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.paces[task]
}

// TestPausedFillerWorksAfterARestartOfItsAgent guards against a filler that stands for good, because the former process of
// its agent has paused it and the new one takes it to be at full pace (LOST).
func TestPausedFillerWorksAfterARestartOfItsAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		// The former process has also paused the run.
		w := &pacedWorker{Worker: newWorker(), paces: map[string]int{longTask: 0}}
		startByFormerProcess(t, w, longTask)
		agent, stop := startAgentWith(w)
		defer stop()
		conn := openLink(t, agent, 1)
		defer conn.Close()
		status, _ := w.Describe("north", 1)
		is.True(agent.UpdateStatus(status))
		is.True(receiveCompleteReport(is, conn).Restarted)
		is.NoErr(conn.Send(&wire.StartRun{Task: longTask, Run: 1, WorkerID: "w", Incarnation: 1, Filler: true, Image: "batch"}))
		collectReports(is, conn, time.Second)
		is.Equal(w.pace(longTask), 100)
	})
}
