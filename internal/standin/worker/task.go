package worker

import (
	"encoding/json"
	"fmt"
	"time"

	"clementineflow/internal/resource"
	"clementineflow/internal/runtime"
	"clementineflow/internal/task"
)

// Payload holds the fields of a task's JSON payload that the stand-in supports.
type Payload struct {
	// RunMillis is the run time of a batch task without throttling, in milliseconds. A watch or service
	// ignores it and runs until it is stopped.
	RunMillis int64 `json:"run_ms"`
	// Fail makes the task fail when it completes.
	Fail bool `json:"fail"`
	// UsagePermille is the used share of the task's declared size, in thousandths; zero means all of it.
	UsagePermille int64 `json:"usage_permille"`
}

// taskAttempt is one attempt that the runtime has in memory, running or ended.
type taskAttempt struct {
	request    runtime.StartRequest
	payload    Payload
	phase      runtime.Phase
	done       time.Duration
	advancedAt time.Time
	leaseUntil time.Time
	throttle   int
	checkpoint string
	reason     string
	// execution is the index of the attempt in the list of executions.
	execution int
}

// newAttempt decodes the payload and resumes from the checkpoint. An invalid payload makes the task fail.
func newAttempt(request runtime.StartRequest, now time.Time) *taskAttempt {
	t := &taskAttempt{
		request:    request,
		phase:      runtime.PhaseRunning,
		advancedAt: now,
		leaseUntil: now.Add(request.Lease),
		throttle:   fullPermille,
	}
	if len(request.Payload) > 0 && json.Unmarshal(request.Payload, &t.payload) != nil {
		t.payload.Fail = true
	}
	var doneMillis int64
	if _, err := fmt.Sscanf(request.Checkpoint, "done-ms:%d", &doneMillis); err == nil {
		t.done = time.Duration(doneMillis) * time.Millisecond
	}
	return t
}

// work returns the total work of the task; zero for a task that runs until it is stopped.
func (t *taskAttempt) work() time.Duration {
	if t.request.Kind != task.KindBatch {
		return 0
	}
	return time.Duration(t.payload.RunMillis) * time.Millisecond
}

// advance adds the work done since the last call at the given speed, in thousandths.
func (t *taskAttempt) advance(now time.Time, speed int64) {
	t.done += now.Sub(t.advancedAt) * time.Duration(speed) / fullPermille
	t.advancedAt = now
}

// isComplete reports whether a batch task has done its work.
func (t *taskAttempt) isComplete() bool {
	return t.request.Kind == task.KindBatch && t.done >= t.work()
}

// progress returns the completed share of the work, in thousandths.
func (t *taskAttempt) progress() int {
	if t.work() <= 0 {
		return 0
	}
	return int(min(t.done*fullPermille/t.work(), fullPermille))
}

// saveCheckpoint stores the work done so far as the checkpoint.
func (t *taskAttempt) saveCheckpoint() {
	t.checkpoint = fmt.Sprintf("done-ms:%d", t.done.Milliseconds())
}

// usage returns the current resource usage of the task.
func (t *taskAttempt) usage() resource.Quantity {
	if t.phase != runtime.PhaseRunning {
		return resource.Quantity{}
	}
	share := t.payload.UsagePermille
	if share == 0 {
		share = fullPermille
	}
	used := t.request.Size
	used.MilliCPU = used.MilliCPU * share / fullPermille * int64(t.throttle) / fullPermille
	used.MemoryBytes = used.MemoryBytes * share / fullPermille
	return used
}

// status returns the status of the attempt, without its usage.
func (t *taskAttempt) status() runtime.Status {
	status := runtime.Status{
		TaskID:           t.request.TaskID,
		Attempt:          t.request.Attempt,
		Phase:            t.phase,
		Kind:             t.request.Kind,
		Class:            t.request.Class,
		Size:             t.request.Size,
		Checkpoint:       t.checkpoint,
		Reason:           t.reason,
		ProgressPermille: t.progress(),
		ThrottlePermille: t.throttle,
	}
	if t.phase == runtime.PhaseFinished {
		status.Result = []byte(fmt.Sprintf("%s attempt %d", t.request.TaskID, t.request.Attempt))
	}
	return status
}
