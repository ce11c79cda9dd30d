package jobworker

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/job"
	"clementineflow/internal/resource"
	"clementineflow/internal/runner"
	"clementineflow/internal/wire"
)

// errNoAnswer is the error of a call that the worker does not answer.
var errNoAnswer = errors.New("jobworker: no answer")

// Work describes the simulated work of a task.
type Work struct {
	// Duration is how long the task runs.
	Duration time.Duration
	// Need is the capacity that the task occupies.
	Need resource.Quantity
	// Fails makes the task end as failed.
	Fails bool
	// Crashes makes the task crash its worker crashDelay after it has started.
	Crashes bool
}

const (
	// crashDelay is how long a task that crashes its worker runs before that.
	crashDelay = 10 * time.Millisecond
	// crashDowntime is how long the worker stays down after such a crash.
	crashDowntime = 1500 * time.Millisecond
)

// Observer receives the events of workers. It is called with the worker's lock held, so it must not call the
// worker.
type Observer interface {
	Started(worker string, task string, run uint32)
	Ended(worker string, task string, run uint32, outcome job.Outcome)
	// Confirmed is called once for each end that is confirmed. leaseExpired is set if the worker's lease ended between
	// the end and its confirmation.
	Confirmed(worker string, task string, run uint32, outcome job.Outcome, leaseExpired bool)
	// Crashed is called for each run that a crash of its worker ends, before Ended.
	Crashed(worker string, task string, run uint32)
}

// Config holds the settings of a Worker.
type Config struct {
	ID       string
	Capacity resource.Quantity
	// ClockRate is the rate of the worker's clock relative to real time; zero means 1.
	ClockRate float64
	// Work returns the work of a task.
	Work     func(task string) Work
	Observer Observer
}

// activeRun is a run that has not ended.
type activeRun struct {
	run   uint32
	timer *time.Timer
	work  Work
}

// Worker is an in-memory worker that implements runner.Worker.
type Worker struct {
	config Config

	mu          sync.Mutex
	incarnation int64
	startedAt   time.Time
	fence       uint64
	leaseEnd    time.Duration
	leaseTimer  *time.Timer
	runs        map[string]*activeRun
	highestRuns map[string]uint32
	ends        []wire.EndRow
	lastEnd     uint64
	// lastLapsedEnd is the highest number of an end that was listed when the lease last ended.
	lastLapsedEnd uint64
	wake          chan struct{}
	down          bool
	unresponsive  bool
	// staleConnections is set after a restart, while the agent still uses connections to the previous
	// incarnation. The first call then gets no answer.
	staleConnections bool
	delayedOrders    int
	orderDelay       time.Duration
}

// New returns a running worker in its first incarnation.
func New(config Config) *Worker {
	if config.ClockRate == 0 {
		config.ClockRate = 1
	}
	w := &Worker{config: config}
	w.startIncarnationLocked()
	return w
}

func (w *Worker) startIncarnationLocked() {
	w.incarnation++
	w.startedAt = time.Now()
	w.fence, w.leaseEnd = 0, 0
	w.runs, w.highestRuns = map[string]*activeRun{}, map[string]uint32{}
	w.ends, w.lastEnd, w.lastLapsedEnd = nil, 0, 0
	w.wake = make(chan struct{})
	w.down = false
	w.staleConnections = w.incarnation > 1
}

// Describe returns the worker's status for its agent, and false while it is down.
func (w *Worker) Describe(zone string, sequence uint64) (runner.WorkerStatus, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return runner.WorkerStatus{
		ID: w.config.ID, Service: "service", Zone: zone, Capacity: w.config.Capacity,
		Incarnation: w.incarnation, Sequence: sequence,
	}, !w.down
}

// Crash stops the worker and its runs without any notice to the agent. Its runs end as if their lease had expired.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashLocked()
}

func (w *Worker) crashLocked() {
	for task, running := range w.runs {
		running.timer.Stop()
		w.config.Observer.Crashed(w.config.ID, task, running.run)
		w.config.Observer.Ended(w.config.ID, task, running.run, job.OutcomeLeaseExpired)
	}
	w.runs = map[string]*activeRun{}
	w.down = true
	w.wakeWaitersLocked()
}

// Restart starts a new incarnation after a crash. It does nothing if the worker is running.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		w.startIncarnationLocked()
	}
}

// ActiveRuns returns the number of runs that have not ended.
func (w *Worker) ActiveRuns() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

// SetUnresponsive sets whether the worker leaves calls unanswered while its runs continue.
func (w *Worker) SetUnresponsive(unresponsive bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unresponsive = unresponsive
}

// DelayCalls makes the next count calls get no answer. Start calls among them are carried out after the
// delay, other calls are dropped.
func (w *Worker) DelayCalls(count int, delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delayedOrders, w.orderDelay = count, delay
}

// Clock returns the time since the start of the incarnation on the worker's clock.
func (w *Worker) Clock() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clockLocked()
}

// clockLocked returns the time since the start of the incarnation on the worker's clock.
func (w *Worker) clockLocked() time.Duration {
	return time.Duration(float64(time.Since(w.startedAt)) * w.config.ClockRate).Truncate(time.Millisecond)
}

func (w *Worker) wakeWaitersLocked() {
	close(w.wake)
	w.wake = make(chan struct{})
}

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

// finishRun ends a run after the duration of its work.
func (w *Worker) finishRun(task string, running *activeRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs[task] != running {
		return
	}
	if running.work.Crashes {
		w.crashLocked()
		time.AfterFunc(crashDowntime, w.Restart)
		return
	}
	outcome := job.OutcomeDone
	if running.work.Fails {
		outcome = job.OutcomeFailed
	}
	w.endRunLocked(task, running, outcome)
}

// endRunLocked ends a run and adds its end to the list.
func (w *Worker) endRunLocked(task string, running *activeRun, outcome job.Outcome) {
	running.timer.Stop()
	delete(w.runs, task)
	w.lastEnd++
	w.ends = append(w.ends, wire.EndRow{Number: w.lastEnd, Task: task, Run: running.run, Outcome: uint8(outcome)})
	w.config.Observer.Ended(w.config.ID, task, running.run, outcome)
	w.wakeWaitersLocked()
}

// extendLeaseLocked extends the lease up to due; it never shortens it.
func (w *Worker) extendLeaseLocked(due time.Duration) {
	if due <= w.leaseEnd {
		return
	}
	w.leaseEnd = due
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	incarnation := w.incarnation
	remaining := time.Duration(float64(due-w.clockLocked()) / w.config.ClockRate)
	w.leaseTimer = time.AfterFunc(remaining, func() { w.handleLeaseEnd(incarnation, due) })
}

// handleLeaseEnd ends all runs when the lease has ended, unless it was extended since.
func (w *Worker) handleLeaseEnd(incarnation int64, due time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.incarnation != incarnation || w.leaseEnd != due || w.down {
		return
	}
	for task, running := range w.runs {
		w.endRunLocked(task, running, job.OutcomeLeaseExpired)
	}
	w.lastLapsedEnd = w.lastEnd
}

// StopRun implements runner.Worker.
func (w *Worker) StopRun(_ context.Context, target runner.Target, task string, run uint32) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, err := w.checkCallLocked(target.ID); err != nil {
		return err
	}
	if target.Fence < w.fence {
		return nil
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
	if _, err := w.checkCallLocked(request.ID); err != nil {
		w.mu.Unlock()
		if errors.Is(err, errNoAnswer) {
			<-ctx.Done()
		}
		return runner.Snapshot{}, err
	}
	if request.Fence < w.fence {
		w.mu.Unlock()
		return runner.Snapshot{}, errNoAnswer
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

// confirmEndsLocked removes the listed ends up to a number. A call meant for the previous incarnation can't
// confirm ends that are not listed yet.
func (w *Worker) confirmEndsLocked(upTo uint64) {
	for len(w.ends) > 0 && w.ends[0].Number <= upTo {
		row := w.ends[0]
		w.ends = w.ends[1:]
		w.config.Observer.Confirmed(w.config.ID, row.Task, row.Run, job.Outcome(row.Outcome), row.Number <= w.lastLapsedEnd)
	}
}

func (w *Worker) snapshotLocked() runner.Snapshot {
	snapshot := runner.Snapshot{Clock: w.clockLocked(), Incarnation: w.incarnation, Ends: append([]wire.EndRow(nil), w.ends...)}
	for task, running := range w.runs {
		snapshot.Runs = append(snapshot.Runs, runner.RunState{RunRow: wire.RunRow{Task: task, Run: running.run, ProgressPercent: 1}})
	}
	return snapshot
}
