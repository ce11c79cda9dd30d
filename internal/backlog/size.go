package backlog

import "clementineflow/internal/job"

// Memory that a coordinator needs for what is stored, in bytes.
const (
	// jobBytes is that of a job without payload and steps: its entries in maps, its records and its log lines.
	jobBytes = 2 << 10
	// stepBytes is that of a step without its tasks, and dependencyBytes that of each step that it depends on.
	stepBytes       = 512
	dependencyBytes = 8
	// taskBytes is that of a task: its record and its run.
	taskBytes = 320
	// finishedJobBytes and finishedTaskBytes are those of a job that has ended, which is kept until its state may be
	// forgotten. The record of its submission is kept in the store and read by a new coordinator.
	finishedJobBytes  = 1 << 10
	finishedTaskBytes = 24
	// CancellationBytes is that of a cancellation without a job.
	CancellationBytes = 512
)

// JobBytes returns the memory of a job that has not ended, in bytes.
func JobBytes(spec *job.Spec) int64 {
	return jobBytes + recordBytes(spec) + stepBytes*int64(len(spec.Steps)) + taskBytes*tasks(spec)
}

// FinishedJobBytes returns the memory of a job that has ended, in bytes.
func FinishedJobBytes(spec *job.Spec) int64 {
	return finishedJobBytes + recordBytes(spec) + finishedTaskBytes*tasks(spec)
}

// recordBytes returns the length of the texts and lists in the job's record.
func recordBytes(spec *job.Spec) int64 {
	n := len(spec.Payload)
	for i := range spec.Steps {
		step := &spec.Steps[i]
		n += len(step.Label) + len(step.Rack) + len(step.Image) + dependencyBytes*len(step.After)
	}
	return int64(n)
}

func tasks(spec *job.Spec) int64 {
	count := 0
	for i := range spec.Steps {
		count += spec.Steps[i].Count
	}
	return int64(count)
}
