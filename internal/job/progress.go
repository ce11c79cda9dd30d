package job

import "clementineflow/internal/wire"

// Phase is where one task stands.
type Phase uint8

// Phases of a task.
const (
	// PhaseWaiting is a task that is assigned to no worker.
	PhaseWaiting Phase = 0
	// PhaseAssigned is a task that may run on its worker, and nowhere else.
	PhaseAssigned Phase = 1
	// PhaseDone is a task that has ended successfully.
	PhaseDone Phase = 2
)

// Task is the recorded state of one task.
type Task struct {
	_     struct{} `cbor:",toarray"`
	Phase Phase
	// Run numbers the starts of the task; it only grows.
	Run uint32
	// Worker is the life of the worker that the run is assigned to.
	Worker WorkerLife
	// Failures counts the runs that ended as failed.
	Failures uint16
	// Saved is the latest known checkpoint.
	Saved string
}

// WorkerLife names one life of a worker: the agent beside it and the worker's own identity.
type WorkerLife struct {
	_     struct{} `cbor:",toarray"`
	Agent string
	ID    string
	// Born tells lives under one ID apart.
	Born int64
}

// Progress is the recorded progress of a job. Only the coordinator writes it.
type Progress struct {
	State State `cbor:"1,keyasint"`
	// Steps holds the tasks by step and index.
	Steps [][]Task `cbor:"2,keyasint"`
	// EndedAtMillis is the coordinator's time of day when the job reached a final state.
	EndedAtMillis int64 `cbor:"3,keyasint,omitempty"`
}

// NewProgress returns the progress of a job of which nothing has run.
func NewProgress(spec *Spec) *Progress {
	p := &Progress{Steps: make([][]Task, len(spec.Steps))}
	for i := range spec.Steps {
		p.Steps[i] = make([]Task, spec.Steps[i].Count)
	}
	return p
}

// Matches reports whether the progress has the shape of the job.
func (p *Progress) Matches(spec *Spec) bool {
	if len(p.Steps) != len(spec.Steps) {
		return false
	}
	for i := range spec.Steps {
		if len(p.Steps[i]) != spec.Steps[i].Count {
			return false
		}
	}
	return true
}

// StepDone reports whether all tasks of the step are done.
func (p *Progress) StepDone(step int) bool {
	for i := range p.Steps[step] {
		if p.Steps[step][i].Phase != PhaseDone {
			return false
		}
	}
	return true
}

// AllDone reports whether all tasks of the job are done.
func (p *Progress) AllDone() bool {
	for step := range p.Steps {
		if !p.StepDone(step) {
			return false
		}
	}
	return true
}

// Ready reports whether the tasks of the step may run: all steps that it depends on are done.
func (p *Progress) Ready(spec *Spec, step int) bool {
	for _, earlier := range spec.Steps[step].After {
		if !p.StepDone(earlier) {
			return false
		}
	}
	return true
}

// EncodeProgress returns the stored form of a progress record.
func EncodeProgress(p *Progress) ([]byte, error) {
	return wire.Marshal(p)
}

// DecodeProgress returns the progress of a stored record.
func DecodeProgress(data []byte) (*Progress, error) {
	return wire.Unmarshal[Progress](data)
}
