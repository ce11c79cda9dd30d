package fleet

import (
	"context"
	"encoding/json"
	"time"

	"clementineflow/internal/runtime"
)

// Payload is the part of a task's payload from which the time to its start follows. The other fields
// are those of worker.Payload.
type Payload struct {
	// RunMillis is the work of the task.
	RunMillis int64 `json:"run_ms"`
	// SubmittedMillis is when the submission was due, in milliseconds since the Unix epoch.
	SubmittedMillis int64 `json:"submitted_ms"`
	// Urgent says that the task was submitted with priority urgent.
	Urgent bool `json:"urgent"`
}

// observedRuntime is a runtime whose successful starts are recorded.
type observedRuntime struct {
	runtime.Runtime
	starts *Starts
}

// Start implements runtime.Runtime.
func (r observedRuntime) Start(ctx context.Context, request runtime.StartRequest) error {
	err := r.Runtime.Start(ctx, request)
	var payload Payload
	if err == nil && json.Unmarshal(request.Payload, &payload) == nil {
		r.starts.record(payload, time.Now())
	}
	return err
}
