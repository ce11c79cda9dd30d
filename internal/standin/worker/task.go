package worker

import (
	"encoding/json"
	"fmt"
	"time"

	"clementineflow/internal/resource"
	"clementineflow/internal/runtime"
	"clementineflow/internal/task"
)

// Payload is what the stand-in understands of a task's payload.
type Payload struct {
	// RunMillis is the work of a batch task in milliseconds on an idle worker. A watch or service runs
	// until it is stopped.
	RunMillis int64 `json:"run_ms"`
	// Fail says that the task fails at its end.
	Fail bool `json:"fail"`
	// UsagePermille is what the task uses of its declared size, in thousandths; zero means all of it.
	UsagePermille int64 `json:"usage_permille"`
}

// runningTask is one attempt held by the runtime.
type runningTask struct {
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

// newTask decodes the payload and continues from the checkpoint.
func newTask(request runtime.StartRequest, now time.Time) *runningTask {
	t := &runningTask{
		request:    request,
		phase:      runtime.PhaseRunning,
		advancedAt: now,
		leaseUntil: now.Add(request.Lease),
		throttle:   fullShare,
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

// work returns the whole work of the task; zero for one that runs until it is stopped.
func (t *runningTask) work() time.Duration {
	if t.request.Kind != task.KindBatch {
		return 0
	}
	return time.Duration(t.payload.RunMillis) * time.Millisecond
}

// advance does the work since the last call at the given speed, in thousandths.
func (t *runningTask) advance(now time.Time, speed int64) {
	t.done += now.Sub(t.advancedAt) * time.Duration(speed) / fullShare
	t.advancedAt = now
}

// complete reports whether a batch task has done its work.
func (t *runningTask) complete() bool {
	return t.request.Kind == task.KindBatch && t.done >= t.work()
}

// progress returns the work done, in thousandths.
func (t *runningTask) progress() int {
	if t.work() <= 0 {
		return 0
	}
	return int(min(t.done*fullShare/t.work(), fullShare))
}

// saveCheckpoint records how much work is done.
func (t *runningTask) saveCheckpoint() {
	t.checkpoint = fmt.Sprintf("done-ms:%d", t.done.Milliseconds())
}

// usage returns what the task uses now.
func (t *runningTask) usage() resource.Quantity {
	if t.phase != runtime.PhaseRunning {
		return resource.Quantity{}
	}
	share := t.payload.UsagePermille
	if share == 0 {
		share = fullShare
	}
	used := t.request.Size
	used.MilliCPU = used.MilliCPU * share / fullShare * int64(t.throttle) / fullShare
	used.MemoryBytes = used.MemoryBytes * share / fullShare
	return used
}

// status returns the attempt as list shows it, without usage.
func (t *runningTask) status() runtime.Status {
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
