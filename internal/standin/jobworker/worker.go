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

// errNoAnswer reports a call that the worker never answered.
var errNoAnswer = errors.New("jobworker: no answer")

// Work is what a task does on the worker.
type Work struct {
	// Duration is how long it runs.
	Duration time.Duration
	// Need is what it takes up.
	Need resource.Quantity
	// Fails is set if it ends as failed.
	Fails bool
}

// Observer is told what happens on workers. It is called with the worker's lock held.
type Observer interface {
	Started(worker string, task string, run uint32)
	Ended(worker string, task string, run uint32, outcome job.Outcome)
	// Confirmed is called once for each end that is confirmed. lapsed tells that the worker's lease has
	// ended between the end and its confirmation.
	Confirmed(worker string, task string, run uint32, outcome job.Outcome, lapsed bool)
}

// Config describes a worker.
type Config struct {
	ID       string
	Capacity resource.Quantity
	// Rate is how fast the worker's clock runs; zero means 1.
	Rate float64
	// Work returns what a task does.
	Work     func(task string) Work
	Observer Observer
}

// active is one run.
type active struct {
	run   uint32
	timer *time.Timer
	work  Work
}

// Worker is a worker in memory. It implements runner.Worker for the agent beside it.
type Worker struct {
	config Config

	mu        sync.Mutex
	born      int64
	startedAt time.Time
	fence     uint64
	due       time.Duration
	dueTimer  *time.Timer
	runs      map[string]*active
	highest   map[string]uint32
	ends      []wire.EndRow
	lastEnd   uint64
	// lapsedEnd is the highest number of an end that was listed when the lease last ended.
	lapsedEnd uint64
	wake      chan struct{}
	down      bool
	silent    bool
	// broken is set while the agent's connections are those of the former life: the first call finds out.
	broken   bool
	late     int
	lateness time.Duration
}

// New returns a worker that begins its first life.
func New(config Config) *Worker {
	if config.Rate == 0 {
		config.Rate = 1
	}
	w := &Worker{config: config}
	w.begin()
	return w
}

func (w *Worker) begin() {
	w.born++
	w.startedAt = time.Now()
	w.fence, w.due = 0, 0
	w.runs, w.highest = map[string]*active{}, map[string]uint32{}
	w.ends, w.lastEnd, w.lapsedEnd = nil, 0, 0
	w.wake = make(chan struct{})
	w.down = false
	w.broken = w.born > 1
}

// Describe returns the worker's description for its agent, and false while it is down.
func (w *Worker) Describe(zone string, sequence uint64) (runner.Description, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return runner.Description{
		ID: w.config.ID, Service: "service", Zone: zone, Capacity: w.config.Capacity,
		Clock: w.clock(), Born: w.born, Sequence: sequence,
	}, !w.down
}

// Crash ends the worker's life without a word.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, running := range w.runs {
		running.timer.Stop()
		w.config.Observer.Ended(w.config.ID, task, running.run, job.OutcomeLapsed)
	}
	w.runs = map[string]*active{}
	w.down = true
	w.wakeUp()
}

// Restart begins a new life after a crash.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		w.begin()
	}
}

// SetSilent makes the worker leave calls unanswered, though it runs on.
func (w *Worker) SetSilent(silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = silent
}

// DelayOrders makes the next count orders get no answer and be carried out after the delay.
func (w *Worker) DelayOrders(count int, delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.late, w.lateness = count, delay
}

// clock returns the worker's own clock.
func (w *Worker) clock() time.Duration {
	return time.Duration(float64(time.Since(w.startedAt)) * w.config.Rate).Truncate(time.Millisecond)
}

func (w *Worker) wakeUp() {
	close(w.wake)
	w.wake = make(chan struct{})
}

// enter returns the error of a call that the worker does not take, and whether to carry it out late.
func (w *Worker) enter(id string) (late bool, err error) {
	switch {
	case w.down:
		return false, runner.ErrNotSent
	case w.silent:
		return false, errNoAnswer
	case w.broken:
		w.broken = false
		return false, errNoAnswer
	case id != w.config.ID:
		return false, runner.ErrOtherLife
	case w.late > 0:
		w.late--
		return true, errNoAnswer
	default:
		return false, nil
	}
}

// Start implements runner.Worker.
func (w *Worker) Start(_ context.Context, request runner.StartRequest) (runner.Verdict, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	late, err := w.enter(request.ID)
	if late {
		born := w.born
		time.AfterFunc(w.lateness, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if !w.down && w.born == born {
				w.start(request)
			}
		})
	}
	if err != nil {
		return runner.Verdict{}, err
	}
	return runner.Verdict{Clock: w.clock(), Reason: w.start(request)}, nil
}

// start carries out a start and returns why it was rejected, or "".
func (w *Worker) start(request runner.StartRequest) string {
	if request.Fence < w.fence {
		return "fence"
	}
	w.fence = request.Fence
	if running := w.runs[request.Task]; running != nil && running.run == request.Run {
		return ""
	}
	if request.Run <= w.highest[request.Task] {
		w.extend(request.Due)
		return "old"
	}
	if request.Due <= w.clock() {
		return "late"
	}
	work := w.config.Work(request.Task)
	used := resource.Quantity{}
	for _, running := range w.runs {
		used = used.Add(running.work.Need)
	}
	w.extend(request.Due)
	if !used.Add(work.Need).FitsIn(w.config.Capacity) {
		return "room"
	}
	w.highest[request.Task] = request.Run
	running := &active{run: request.Run, work: work}
	running.timer = time.AfterFunc(work.Duration, func() { w.complete(request.Task, running) })
	w.runs[request.Task] = running
	w.config.Observer.Started(w.config.ID, request.Task, request.Run)
	return ""
}

// complete ends a run that has done its work.
func (w *Worker) complete(task string, running *active) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs[task] != running {
		return
	}
	outcome := job.OutcomeDone
	if running.work.Fails {
		outcome = job.OutcomeFailed
	}
	w.end(task, running, outcome)
}

// end lists the end of a run.
func (w *Worker) end(task string, running *active, outcome job.Outcome) {
	running.timer.Stop()
	delete(w.runs, task)
	w.lastEnd++
	w.ends = append(w.ends, wire.EndRow{Number: w.lastEnd, Task: task, Run: running.run, Outcome: uint8(outcome)})
	w.config.Observer.Ended(w.config.ID, task, running.run, outcome)
	w.wakeUp()
}

// extend moves the lease's end and never shortens it.
func (w *Worker) extend(due time.Duration) {
	if due <= w.due {
		return
	}
	w.due = due
	if w.dueTimer != nil {
		w.dueTimer.Stop()
	}
	born := w.born
	left := time.Duration(float64(due-w.clock()) / w.config.Rate)
	w.dueTimer = time.AfterFunc(left, func() { w.lapse(born, due) })
}

// lapse ends all runs at the end of the lease.
func (w *Worker) lapse(born int64, due time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.born != born || w.due != due || w.down {
		return
	}
	for task, running := range w.runs {
		w.end(task, running, job.OutcomeLapsed)
	}
	w.lapsedEnd = w.lastEnd
}

// Stop implements runner.Worker.
func (w *Worker) Stop(_ context.Context, target runner.Target, task string, run uint32) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, err := w.enter(target.ID); err != nil {
		return err
	}
	if target.Fence < w.fence {
		return nil
	}
	w.fence = target.Fence
	w.highest[task] = max(w.highest[task], run)
	if running := w.runs[task]; running != nil && running.run == run {
		w.end(task, running, job.OutcomeStopped)
	}
	return nil
}

// Pace implements runner.Worker; the stand-in's runs all work at full pace.
func (w *Worker) Pace(context.Context, runner.Target, string, uint32, int) error { return nil }

// Hold implements runner.Worker.
func (w *Worker) Hold(ctx context.Context, request runner.HoldRequest) (runner.Look, error) {
	w.mu.Lock()
	if _, err := w.enter(request.ID); err != nil {
		w.mu.Unlock()
		if errors.Is(err, errNoAnswer) {
			<-ctx.Done()
		}
		return runner.Look{}, err
	}
	if request.Fence < w.fence {
		w.mu.Unlock()
		return runner.Look{}, errNoAnswer
	}
	w.fence = request.Fence
	w.extend(request.Due)
	w.confirm(request.ConfirmedUpTo)
	born, wake, listed := w.born, w.wake, len(w.ends)
	w.mu.Unlock()
	if listed == 0 && request.Wait > 0 {
		w.wait(ctx, wake, request.Wait)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.born != born || w.down || w.silent {
		return runner.Look{}, errNoAnswer
	}
	return w.lookLocked(), nil
}

// wait returns when an end is listed or the time has passed.
func (w *Worker) wait(ctx context.Context, wake <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}

// confirm forgets the listed ends up to a number. A call that was meant for a former life can't confirm
// ends that are not there yet.
func (w *Worker) confirm(upTo uint64) {
	for len(w.ends) > 0 && w.ends[0].Number <= upTo {
		row := w.ends[0]
		w.ends = w.ends[1:]
		w.config.Observer.Confirmed(w.config.ID, row.Task, row.Run, job.Outcome(row.Outcome), row.Number <= w.lapsedEnd)
	}
}

func (w *Worker) lookLocked() runner.Look {
	look := runner.Look{Clock: w.clock(), Born: w.born, Ends: append([]wire.EndRow(nil), w.ends...)}
	for task, running := range w.runs {
		look.Runs = append(look.Runs, runner.RunState{RunRow: wire.RunRow{Task: task, Run: running.run, Percent: 1}})
	}
	return look
}
