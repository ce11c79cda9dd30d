package jobworker

import (
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
	// MaxListedEnds is the maximum number of ends in one snapshot; zero means no limit.
	MaxListedEnds int
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
	// confirmedUpTo is the highest number that a poll has confirmed. Ends up to it are not listed.
	confirmedUpTo uint64
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
	w.ends, w.lastEnd, w.lastLapsedEnd, w.confirmedUpTo = nil, 0, 0, 0
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

// LoseRun ends a run of a task without listing its end.
func (w *Worker) LoseRun(task string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if running := w.runs[task]; running != nil {
		running.timer.Stop()
		delete(w.runs, task)
		w.config.Observer.Ended(w.config.ID, task, running.run, job.OutcomeLeaseExpired)
	}
}

// SetUnresponsive sets whether the worker leaves calls unanswered while its runs continue.
func (w *Worker) SetUnresponsive(unresponsive bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unresponsive = unresponsive
}

// DelayCalls makes the next count calls get no answer. Start calls among them are carried out after the
// delay, unless the incarnation has changed. Polls confirm ends after the delay, in whichever incarnation runs then.
// Other calls are dropped.
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
