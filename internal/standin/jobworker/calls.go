package jobworker

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/job"
	"clementineflow/internal/resource"
	"clementineflow/internal/runner"
	"clementineflow/internal/wire"
)

// checkCallLocked returns the error of a call that the worker does not answer or rejects, and whether to
// carry it out after orderDelay.
func (w *Worker) checkCallLocked(id string) (delayed bool, err error) {
	switch {
	case w.down:
		return false, runner.ErrNotSent
	case w.unresponsive:
		return false, errNoAnswer
	case w.staleConnections:
		w.staleConnections = false
		return false, errNoAnswer
	case id != w.config.ID:
		return false, runner.ErrOtherIncarnation
	case w.delayedOrders > 0:
		w.delayedOrders--
		return true, errNoAnswer
	default:
		return false, nil
	}
}

// StartRun implements runner.Worker.
func (w *Worker) StartRun(_ context.Context, request runner.StartRequest) (runner.StartReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delayed, err := w.checkCallLocked(request.ID)
	if delayed {
		incarnation := w.incarnation
		time.AfterFunc(w.orderDelay, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if !w.down && w.incarnation == incarnation {
				w.startLocked(request)
			}
		})
	}
	if err != nil {
		return runner.StartReply{}, err
	}
	return runner.StartReply{Clock: w.clockLocked(), Reason: w.startLocked(request)}, nil
}

// startLocked carries out a start and returns why it was rejected, or "" if the run is on the worker.
func (w *Worker) startLocked(request runner.StartRequest) string {
	if request.Fence < w.fence {
		return "fence"
	}
	w.fence = request.Fence
	if running := w.runs[request.Task]; running != nil && running.run == request.Run {
		return ""
	}
	if request.Run <= w.highestRuns[request.Task] {
		w.extendLeaseLocked(request.LeaseEnd)
		return "old"
	}
	if request.LeaseEnd <= w.clockLocked() {
		return "late"
	}
	work := w.config.Work(request.Task)
	used := resource.Quantity{}
	for _, running := range w.runs {
		used = used.Add(running.work.Need)
	}
	w.extendLeaseLocked(request.LeaseEnd)
	if !used.Add(work.Need).FitsIn(w.config.Capacity) {
		return "room"
	}
	w.highestRuns[request.Task] = request.Run
	running := &activeRun{run: request.Run, work: work}
	running.timer = time.AfterFunc(work.Duration, func() { w.finishRun(request.Task, running) })
	if work.Crashes {
		running.timer.Reset(crashDelay)
	}
	w.runs[request.Task] = running
	w.config.Observer.Started(w.config.ID, request.Task, request.Run)
	return ""
}

// StopRun implements runner.Worker.
func (w *Worker) StopRun(_ context.Context, target runner.Target, task string, run uint32) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, err := w.checkCallLocked(target.ID); err != nil {
		return err
	}
	if target.Fence < w.fence {
		return runner.ErrFenced
	}
	w.fence = target.Fence
	w.highestRuns[task] = max(w.highestRuns[task], run)
	if running := w.runs[task]; running != nil && running.run == run {
		w.endRunLocked(task, running, job.OutcomeStopped)
	}
	return nil
}

// SetPace implements runner.Worker. It does nothing: all runs work at full pace.
func (w *Worker) SetPace(context.Context, runner.Target, string, uint32, int) error { return nil }

// Probe implements runner.Worker.
func (w *Worker) Probe(context.Context) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return runner.ErrNotSent
	}
	return nil
}

// Poll implements runner.Worker.
func (w *Worker) Poll(ctx context.Context, request runner.PollRequest) (runner.Snapshot, error) {
	w.mu.Lock()
	delayed, err := w.checkCallLocked(request.ID)
	if delayed {
		time.AfterFunc(w.orderDelay, func() { w.confirmLate(request) })
	}
	if err != nil {
		w.mu.Unlock()
		if errors.Is(err, errNoAnswer) {
			<-ctx.Done()
		}
		return runner.Snapshot{}, err
	}
	if request.Fence < w.fence {
		w.mu.Unlock()
		return runner.Snapshot{}, runner.ErrFenced
	}
	w.fence = request.Fence
	w.extendLeaseLocked(request.LeaseEnd)
	w.confirmEndsLocked(request.ConfirmedUpTo)
	incarnation, wake, listed := w.incarnation, w.wake, len(w.ends)
	w.mu.Unlock()
	if listed == 0 && request.Wait > 0 {
		w.waitForEnd(ctx, wake, request.Wait)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.incarnation != incarnation || w.down || w.unresponsive {
		return runner.Snapshot{}, errNoAnswer
	}
	return w.snapshotLocked(), nil
}

// confirmLate carries out the confirmation of a poll that got no answer.
func (w *Worker) confirmLate(request runner.PollRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down || request.Fence < w.fence {
		return
	}
	w.fence = request.Fence
	w.confirmEndsLocked(request.ConfirmedUpTo)
}

// waitForEnd waits until a run ends, the duration has passed, or ctx is done.
func (w *Worker) waitForEnd(ctx context.Context, wake <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}

func (w *Worker) snapshotLocked() runner.Snapshot {
	ends, limit := w.ends, w.config.MaxListedEnds
	truncated := limit > 0 && len(ends) >= limit
	if truncated {
		ends = ends[:limit]
	}
	snapshot := runner.Snapshot{
		Clock: w.clockLocked(), Incarnation: w.incarnation, Ends: append([]wire.EndRow(nil), ends...), EndsTruncated: truncated,
	}
	for task, running := range w.runs {
		snapshot.Runs = append(snapshot.Runs, runner.RunState{RunRow: wire.RunRow{Task: task, Run: running.run, ProgressPercent: 1}})
	}
	return snapshot
}
