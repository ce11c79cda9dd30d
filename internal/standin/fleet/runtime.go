package fleet

import (
	"context"
	"encoding/json"
	"time"

	"clementineflow/internal/runtime"
)

// Payload is the part of a task's payload from which the time from submission to start is computed. The
// remaining fields are defined by worker.Payload.
type Payload struct {
	// RunMillis is the run time of the task in milliseconds.
	RunMillis int64 `json:"run_ms"`
	// SubmittedMillis is when the submission was due, in milliseconds since the Unix epoch.
	SubmittedMillis int64 `json:"submitted_ms"`
	// Urgent says that the task was submitted with priority urgent.
	Urgent bool `json:"urgent"`
}

// recordingRuntime wraps a runtime and records its successful task starts.
type recordingRuntime struct {
	runtime.Runtime
	starts *StartRecorder
}

// Start implements runtime.Runtime. A start whose payload cannot be decoded is not recorded.
func (r recordingRuntime) Start(ctx context.Context, request runtime.StartRequest) error {
	err := r.Runtime.Start(ctx, request)
	var payload Payload
	if err == nil && json.Unmarshal(request.Payload, &payload) == nil {
		r.starts.recordStart(payload, time.Now())
	}
	return err
}
