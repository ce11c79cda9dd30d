package job

import (
	"time"

	"clementineflow/internal/resource"
)

// Step is a set of identical tasks of a job.
type Step struct {
	// Count is the number of tasks.
	Count int `cbor:"1,keyasint"`
	// Need is the resources that one task reserves on its worker.
	Need resource.Quantity `cbor:"2,keyasint"`
	// Estimate is the declared duration of one task; it may be inaccurate.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists the indexes of earlier steps that must be done first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpoints is set if a task saves its progress while it runs.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang is set if all tasks of the step must run at the same time.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// Speculative is set if copies of a task may run in parallel.
	Speculative bool `cbor:"7,keyasint,omitempty"`
	// LongRunning is set if the tasks run until the job is cancelled.
	LongRunning bool `cbor:"8,keyasint,omitempty"`
	// Filler is set if the tasks reserve no processors and use only capacity left idle by others.
	Filler bool `cbor:"9,keyasint,omitempty"`
	// Label is a label that the worker must have; empty means any worker.
	Label string `cbor:"10,keyasint,omitempty"`
	// Rack is the rack that holds the input data; tasks are slower on any other rack.
	Rack string `cbor:"11,keyasint,omitempty"`
	// SameRack is set if the tasks are slower when spread over several racks.
	SameRack bool `cbor:"12,keyasint,omitempty"`
	// MaxPerWorker bounds the tasks of the step on one worker; zero means no bound.
	MaxPerWorker int `cbor:"13,keyasint,omitempty"`
	// Image names the program. Tasks with the same image are expected to have similar resource usage.
	Image string `cbor:"14,keyasint,omitempty"`
	// LatencyTarget is the bound on the tail latency of a task that serves requests, or zero.
	LatencyTarget time.Duration `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable bounds the long-running tasks that the system may interrupt at a time.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}
