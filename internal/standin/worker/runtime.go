// Package worker is a stand-in for the platform's worker runtime and for a target. It is for tests and
// the demo. It enforces leases on its own clock and records every execution, so that tests can compare
// what the system claims with what has happened.
package worker

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"clementineflow/internal/resource"
	"clementineflow/internal/runtime"
	"clementineflow/internal/task"
)

// fullShare is the whole of a share in thousandths.
const fullShare = 1000

// stepInterval is the time between two advances of the tasks.
const stepInterval = 20 * time.Millisecond

// maxExecutions bounds the recorded executions; the oldest are dropped.
const maxExecutions = 1 << 20

// attemptKey names one attempt.
type attemptKey struct {
	taskID  string
	attempt uint32
}

// Execution is one run of a task attempt, as it has happened.
type Execution struct {
	TaskID    string       `json:"task_id"`
	Attempt   uint32       `json:"attempt"`
	Session   task.Session `json:"session"`
	Class     string       `json:"class"`
	StartedAt time.Time    `json:"started_at"`
	// StoppedAt is zero while the attempt runs.
	StoppedAt time.Time `json:"stopped_at"`
	// Ending is "finished", "failed", "evicted", "stopped" or "lease"; empty while the attempt runs.
	Ending string `json:"ending"`
	// DoneMillisAtStart and DoneMillis are the work done at the start and at the end, in milliseconds.
	DoneMillisAtStart int64 `json:"done_ms_at_start"`
	DoneMillis        int64 `json:"done_ms"`
}

// Faults are failures that a test switches on.
type Faults struct {
	// FailStarts makes every started task fail at once.
	FailStarts bool `json:"fail_starts"`
	// Unavailable makes every call fail without an effect.
	Unavailable bool `json:"unavailable"`
	// LoseAnswers makes starts and evictions take effect without an answer.
	LoseAnswers bool `json:"lose_answers"`
	// CallDelayMillis delays every call before its effect.
	CallDelayMillis int64 `json:"call_delay_ms"`
}

// RuntimeConfig holds the settings of a Runtime.
type RuntimeConfig struct {
	Capacity resource.Quantity
	// UsageLag is how old the reported usage is.
	UsageLag time.Duration
}

// Runtime is the stand-in for the worker runtime. It is safe for concurrent use.
type Runtime struct {
	config RuntimeConfig
	mutex  sync.Mutex
	// session is the current session; its number is zero before the first Attach.
	session    task.Session
	tasks      map[attemptKey]*runningTask
	executions []Execution
	usage      usageHistory
	faults     Faults
	// peak is the largest sum of the sizes of running tasks.
	peak resource.Quantity
	// doubleRuns counts starts of a task of which another attempt was running.
	doubleRuns int
}

var _ runtime.Runtime = (*Runtime)(nil)

// NewRuntime returns a runtime without tasks, with a new boot id.
func NewRuntime(config RuntimeConfig) *Runtime {
	return &Runtime{
		config:  config,
		session: task.Session{BootID: uuid.NewString()},
		tasks:   map[attemptKey]*runningTask{},
		usage:   usageHistory{lag: config.UsageLag},
	}
}

// Run advances the tasks until the context ends.
func (r *Runtime) Run(ctx context.Context) error {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			r.step(now)
		}
	}
}

// step advances all tasks, ends those that are complete and enforces the leases.
func (r *Runtime) step(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.advance(now)
}

// advance is step with the lock held.
func (r *Runtime) advance(now time.Time) {
	for _, t := range r.tasks {
		if t.phase != runtime.PhaseRunning {
			continue
		}
		until := now
		if t.leaseUntil.Before(now) {
			until = t.leaseUntil
		}
		t.advance(until, int64(t.throttle))
		switch {
		case t.complete():
			r.complete(t, until)
		case !now.Before(t.leaseUntil):
			t.saveCheckpoint()
			r.end(t, until, runtime.PhaseStopped, "lease", "the lease of the task has ended")
		}
	}
	r.usage.record(now, r.tasks)
}

// complete ends a task that has done its work.
func (r *Runtime) complete(t *runningTask, now time.Time) {
	if t.payload.Fail {
		r.end(t, now, runtime.PhaseFailed, "failed", "the payload asks for a failure")
		return
	}
	r.end(t, now, runtime.PhaseFinished, "finished", "")
}

// end records the end of an attempt.
func (r *Runtime) end(t *runningTask, now time.Time, phase runtime.Phase, ending, reason string) {
	t.phase, t.reason = phase, reason
	execution := &r.executions[t.execution]
	execution.StoppedAt, execution.Ending, execution.DoneMillis = now, ending, t.done.Milliseconds()
}

// enter takes the lock for a call, applies the faults, checks the session and advances the tasks.
func (r *Runtime) enter(session task.Session) (time.Time, error) {
	r.delay()
	r.mutex.Lock()
	now := time.Now()
	if r.faults.Unavailable {
		return now, errors.Wrap(runtime.ErrUnavailable, "switched off by a test")
	}
	if session != r.session {
		return now, errors.WithStack(runtime.ErrStaleSession)
	}
	r.advance(now)
	return now, nil
}

// delay waits for the delay of calls.
func (r *Runtime) delay() {
	r.mutex.Lock()
	delay := time.Duration(r.faults.CallDelayMillis) * time.Millisecond
	r.mutex.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
}

// answer returns the error of a call that took effect.
func (r *Runtime) answer() error {
	if r.faults.LoseAnswers {
		return errors.Wrap(runtime.ErrOutcomeUnknown, "the answer is lost")
	}
	return nil
}

// Attach implements runtime.Runtime.
func (r *Runtime) Attach(context.Context) (runtime.Attachment, error) {
	r.delay()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.faults.Unavailable {
		return runtime.Attachment{}, errors.Wrap(runtime.ErrUnavailable, "switched off by a test")
	}
	now := time.Now()
	r.advance(now)
	r.session.Number++
	return runtime.Attachment{Session: r.session, Capacity: r.config.Capacity, Tasks: r.statuses(now)}, nil
}

// Start implements runtime.Runtime.
func (r *Runtime) Start(_ context.Context, request runtime.StartRequest) error {
	now, err := r.enter(request.Session)
	defer r.mutex.Unlock()
	if err != nil {
		return err
	}
	if tooLate(now, request.NotAfter) {
		return errors.WithStack(runtime.ErrTooLate)
	}
	key := attemptKey{taskID: request.TaskID, attempt: request.Attempt}
	if known, ok := r.tasks[key]; ok {
		if known.phase == runtime.PhaseRunning {
			return r.answer()
		}
		return errors.Wrap(runtime.ErrConflict, "the attempt has ended")
	}
	if r.runs(request.TaskID) {
		r.doubleRuns++
		return errors.WithStack(runtime.ErrConflict)
	}
	r.startTask(key, newTask(request, now), now)
	return r.answer()
}

// tooLate reports whether a call arrived after its bound; a zero bound stands for none.
func tooLate(now, notAfter time.Time) bool { return !notAfter.IsZero() && now.After(notAfter) }

// startTask records the start of an attempt.
func (r *Runtime) startTask(key attemptKey, t *runningTask, now time.Time) {
	if len(r.executions) >= maxExecutions {
		r.dropExecutions(len(r.executions) / 2)
	}
	t.execution = len(r.executions)
	r.executions = append(r.executions, Execution{
		TaskID:            key.taskID,
		Attempt:           key.attempt,
		Session:           r.session,
		Class:             t.request.Class,
		StartedAt:         now,
		DoneMillisAtStart: t.done.Milliseconds(),
	})
	r.tasks[key] = t
	r.peak = maxQuantity(r.peak, r.runningSize())
	if r.faults.FailStarts {
		r.end(t, now, runtime.PhaseFailed, "failed", "the worker fails everything that it starts")
	}
}

// dropExecutions drops the oldest executions.
func (r *Runtime) dropExecutions(count int) {
	r.executions = append([]Execution(nil), r.executions[count:]...)
	for key, t := range r.tasks {
		t.execution -= count
		if t.execution < 0 {
			delete(r.tasks, key)
		}
	}
}

// runs reports whether an attempt of the task is running.
func (r *Runtime) runs(taskID string) bool {
	for key, t := range r.tasks {
		if key.taskID == taskID && t.phase == runtime.PhaseRunning {
			return true
		}
	}
	return false
}

// Renew implements runtime.Runtime.
func (r *Runtime) Renew(_ context.Context, session task.Session, lease time.Duration, notAfter time.Time) error {
	now, err := r.enter(session)
	defer r.mutex.Unlock()
	if err != nil {
		return err
	}
	if tooLate(now, notAfter) {
		return errors.WithStack(runtime.ErrTooLate)
	}
	for _, t := range r.tasks {
		if t.phase == runtime.PhaseRunning {
			t.leaseUntil = now.Add(lease)
		}
	}
	return nil
}

// Evict implements runtime.Runtime.
func (r *Runtime) Evict(_ context.Context, session task.Session, taskID string, attempt uint32) (string, error) {
	now, err := r.enter(session)
	defer r.mutex.Unlock()
	if err != nil {
		return "", err
	}
	t, ok := r.tasks[attemptKey{taskID: taskID, attempt: attempt}]
	if !ok || t.phase != runtime.PhaseRunning {
		return "", errors.WithStack(runtime.ErrNotFound)
	}
	t.saveCheckpoint()
	r.end(t, now, runtime.PhaseStopped, "evicted", "evicted")
	return t.checkpoint, r.answer()
}

// Stop implements runtime.Runtime.
func (r *Runtime) Stop(_ context.Context, session task.Session, taskID string, attempt uint32) error {
	now, err := r.enter(session)
	defer r.mutex.Unlock()
	if err != nil {
		return err
	}
	t, ok := r.tasks[attemptKey{taskID: taskID, attempt: attempt}]
	if !ok || t.phase != runtime.PhaseRunning {
		return errors.WithStack(runtime.ErrNotFound)
	}
	r.end(t, now, runtime.PhaseStopped, "stopped", "stopped")
	return r.answer()
}

// Throttle implements runtime.Runtime.
func (r *Runtime) Throttle(_ context.Context, session task.Session, taskID string, permille int) error {
	_, err := r.enter(session)
	defer r.mutex.Unlock()
	if err != nil {
		return err
	}
	for key, t := range r.tasks {
		if key.taskID == taskID && t.phase == runtime.PhaseRunning {
			t.throttle = min(max(permille, 0), fullShare)
			return nil
		}
	}
	return errors.WithStack(runtime.ErrNotFound)
}

// List implements runtime.Runtime.
func (r *Runtime) List(_ context.Context, session task.Session) ([]runtime.Status, error) {
	now, err := r.enter(session)
	defer r.mutex.Unlock()
	if err != nil {
		return nil, err
	}
	return r.statuses(now), nil
}

// Forget implements runtime.Runtime.
func (r *Runtime) Forget(_ context.Context, session task.Session, taskID string, attempt uint32) error {
	_, err := r.enter(session)
	defer r.mutex.Unlock()
	if err != nil {
		return err
	}
	key := attemptKey{taskID: taskID, attempt: attempt}
	t, ok := r.tasks[key]
	if !ok {
		return errors.WithStack(runtime.ErrNotFound)
	}
	if t.phase == runtime.PhaseRunning {
		return errors.Wrap(runtime.ErrConflict, "the attempt is running")
	}
	delete(r.tasks, key)
	return nil
}

// statuses returns all held attempts with their lagging usage.
func (r *Runtime) statuses(now time.Time) []runtime.Status {
	statuses := make([]runtime.Status, 0, len(r.tasks))
	for key, t := range r.tasks {
		status := t.status()
		status.Usage, status.UsageAge = r.usage.lookup(now, key)
		statuses = append(statuses, status)
	}
	return statuses
}

// runningSize returns the sum of the sizes of the running tasks.
func (r *Runtime) runningSize() resource.Quantity {
	var sum resource.Quantity
	for _, t := range r.tasks {
		if t.phase == runtime.PhaseRunning {
			sum = sum.Add(t.request.Size)
		}
	}
	return sum
}

// SetFaults switches failures on and off.
func (r *Runtime) SetFaults(faults Faults) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.faults = faults
}

// Neighbour is a running task as it bears on the others.
type Neighbour struct {
	Class    string
	MilliCPU int64
}

// Neighbours returns the running tasks with what they use now.
func (r *Runtime) Neighbours() []Neighbour {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var neighbours []Neighbour
	for _, t := range r.tasks {
		if t.phase == runtime.PhaseRunning {
			neighbours = append(neighbours, Neighbour{Class: t.request.Class, MilliCPU: t.usage().MilliCPU})
		}
	}
	return neighbours
}

// RuntimeState is the ground truth of the runtime, for tests.
type RuntimeState struct {
	Session    task.Session      `json:"session"`
	Capacity   resource.Quantity `json:"capacity"`
	PeakSize   resource.Quantity `json:"peak_size"`
	Running    int               `json:"running"`
	Executions []Execution       `json:"executions"`
	// DoubleRuns counts starts that were refused because another attempt of the task was running.
	DoubleRuns int `json:"double_runs"`
}

// State returns a copy of the ground truth.
func (r *Runtime) State() RuntimeState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.advance(time.Now())
	running := 0
	for _, t := range r.tasks {
		if t.phase == runtime.PhaseRunning {
			running++
		}
	}
	return RuntimeState{
		Session:    r.session,
		Capacity:   r.config.Capacity,
		PeakSize:   r.peak,
		Running:    running,
		Executions: append([]Execution(nil), r.executions...),
		DoubleRuns: r.doubleRuns,
	}
}

// maxQuantity returns the component-wise maximum.
func maxQuantity(a, b resource.Quantity) resource.Quantity {
	return resource.Quantity{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryBytes:  max(a.MemoryBytes, b.MemoryBytes),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
