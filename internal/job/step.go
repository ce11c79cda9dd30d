package job

import (
	"time"

	"clementineflow/internal/resource"
)

// Step is a set of equal tasks of a job.
type Step struct {
	// Count is the number of tasks.
	Count int `cbor:"1,keyasint"`
	// Need is what one task reserves on its worker.
	Need resource.Quantity `cbor:"2,keyasint"`
	// Estimate is the declared duration of one task; it may be far off.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists the indexes of earlier steps that must be done first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpoints is set if a task saves its progress while it runs.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang is set if the tasks work only together.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// Speculative is set if copies of a task may run in parallel.
	Speculative bool `cbor:"7,keyasint,omitempty"`
	// Lasting is set if the tasks run until the job is cancelled.
	Lasting bool `cbor:"8,keyasint,omitempty"`
	// Filler is set if the processors of the tasks are not reserved: they use what others leave.
	Filler bool `cbor:"9,keyasint,omitempty"`
	// Label must be among the worker's labels, unless it is empty.
	Label string `cbor:"10,keyasint,omitempty"`
	// Rack is where the data is; tasks are slower on any other rack.
	Rack string `cbor:"11,keyasint,omitempty"`
	// SameRack is set if the tasks are slower when they are spread over several racks.
	SameRack bool `cbor:"12,keyasint,omitempty"`
	// MaxPerWorker bounds the tasks of the step on one worker; zero means no bound.
	MaxPerWorker int `cbor:"13,keyasint,omitempty"`
	// Image names the program; tasks of one image behave alike.
	Image string `cbor:"14,keyasint,omitempty"`
	// LatencyTarget is the bound on the tail latency of a task that serves requests, or zero.
	LatencyTarget time.Duration `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is how many lasting tasks the system may interrupt at a time.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}
