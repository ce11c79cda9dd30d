// Package worker is a stand-in for the platform's worker runtime and for a target, for use in tests and
// the demo. It enforces leases by its own clock and records every execution, so that tests can compare
// the state reported by the system with the actual executions.
package worker

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"clementineflow/internal/resource"
	"clementineflow/internal/runtime"
	"clementineflow/internal/task"
)

// fullPermille is 100% in thousandths.
const fullPermille = 1000

// stepInterval is the interval at which the progress of the tasks is updated.
const stepInterval = 20 * time.Millisecond

// maxExecutions limits the number of recorded executions. At the limit the oldest half is dropped.
const maxExecutions = 1 << 20

// attemptKey identifies one attempt of a task.
type attemptKey struct {
	taskID  string
	attempt uint32
}

// Execution is the record of one run of a task attempt.
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

// Faults are the failures that a test can inject.
type Faults struct {
	// FailStarts makes every task fail immediately after its start.
	FailStarts bool `json:"fail_starts"`
	// Unavailable makes every call fail without taking effect.
	Unavailable bool `json:"unavailable"`
	// LoseAnswers makes Start, Evict and Stop take effect without returning a response.
	LoseAnswers bool `json:"lose_answers"`
	// CallDelayMillis is the delay of every call before it takes effect, in milliseconds.
	CallDelayMillis int64 `json:"call_delay_ms"`
}

// RuntimeConfig holds the settings of a Runtime.
type RuntimeConfig struct {
	Capacity resource.Quantity
	// UsageLag is the minimum age of the reported usage.
	UsageLag time.Duration
}

// Runtime is the stand-in for the worker runtime. It is safe for concurrent use.
type Runtime struct {
	config RuntimeConfig
	mutex  sync.Mutex
	// session is the current session; its number is zero before the first Attach.
	session    task.Session
	tasks      map[attemptKey]*taskAttempt
	executions []Execution
	usage      usageHistory
	faults     Faults
	// peakSize is the largest sum, per component, of the sizes of the running tasks.
	peakSize resource.Quantity
	// doubleRuns counts starts that were refused because another attempt of the task was running.
	doubleRuns int
}

var _ runtime.Runtime = (*Runtime)(nil)

// NewRuntime returns a runtime without tasks, with a new random boot ID.
func NewRuntime(config RuntimeConfig) *Runtime {
	return &Runtime{
		config:  config,
		session: task.Session{BootID: uuid.NewString()},
		tasks:   map[attemptKey]*taskAttempt{},
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

// step updates the progress of all tasks, ends the completed ones and stops those with an expired lease.
func (r *Runtime) step(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.advanceLocked(now)
}

// advanceLocked implements step. The caller must hold the mutex.
func (r *Runtime) advanceLocked(now time.Time) {
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
		case t.isComplete():
			r.endCompleted(t, until)
		case !now.Before(t.leaseUntil):
			t.saveCheckpoint()
			r.endAttempt(t, until, runtime.PhaseStopped, "lease", "the lease of the task has ended")
		}
	}
	r.usage.record(now, r.tasks)
}

// endCompleted ends a task that has done its work, as failed if its payload requests that.
func (r *Runtime) endCompleted(t *taskAttempt, now time.Time) {
	if t.payload.Fail {
		r.endAttempt(t, now, runtime.PhaseFailed, "failed", "the payload asks for a failure")
		return
	}
	r.endAttempt(t, now, runtime.PhaseFinished, "finished", "")
}

// endAttempt records the end of an attempt.
func (r *Runtime) endAttempt(t *taskAttempt, now time.Time, phase runtime.Phase, ending, reason string) {
	t.phase, t.reason = phase, reason
	execution := &r.executions[t.execution]
	execution.StoppedAt, execution.Ending, execution.DoneMillis = now, ending, t.done.Milliseconds()
}

// startTask adds the attempt to the tasks and records its execution.
func (r *Runtime) startTask(key attemptKey, t *taskAttempt, now time.Time) {
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
	r.peakSize = maxQuantity(r.peakSize, r.runningSize())
	if r.faults.FailStarts {
		r.endAttempt(t, now, runtime.PhaseFailed, "failed", "the worker fails everything that it starts")
	}
}

// dropExecutions drops the given number of oldest executions and the tasks that refer to them.
func (r *Runtime) dropExecutions(count int) {
	r.executions = append([]Execution(nil), r.executions[count:]...)
	for key, t := range r.tasks {
		t.execution -= count
		if t.execution < 0 {
			delete(r.tasks, key)
		}
	}
}

// hasRunningAttempt reports whether an attempt of the task is running.
func (r *Runtime) hasRunningAttempt(taskID string) bool {
	for key, t := range r.tasks {
		if key.taskID == taskID && t.phase == runtime.PhaseRunning {
			return true
		}
	}
	return false
}
