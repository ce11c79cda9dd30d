package job

import "clementineflow/internal/wire"

// Phase is the assignment state of one task.
type Phase uint8

// Phases of a task.
const (
	// PhaseWaiting is a task that is not assigned to a worker.
	PhaseWaiting Phase = 0
	// PhaseAssigned is a task that may run, but only on its worker.
	PhaseAssigned Phase = 1
	// PhaseDone is a task that has ended successfully.
	PhaseDone Phase = 2
)

// Task is the recorded state of one task.
type Task struct {
	_     struct{} `cbor:",toarray"`
	Phase Phase
	// Run is the number of the latest run of the task. It never decreases.
	Run uint32
	// Worker is the worker incarnation that the run is assigned to.
	Worker WorkerIncarnation
	// Failures counts the runs that ended with OutcomeFailed.
	Failures uint16
	// Checkpoint is the latest known checkpoint.
	Checkpoint string
}

// WorkerIncarnation identifies one incarnation of a worker by its agent and the worker's own identity.
type WorkerIncarnation struct {
	_     struct{} `cbor:",toarray"`
	Agent string
	ID    string
	// Incarnation distinguishes incarnations with the same ID.
	Incarnation int64
}

// Progress is the recorded progress of a job. Only the coordinator writes it.
type Progress struct {
	State State `cbor:"1,keyasint"`
	// Steps holds the tasks by step and index.
	Steps [][]Task `cbor:"2,keyasint"`
	// EndedAtMillis is the coordinator's wall clock time when the job reached a final state, in Unix
	// milliseconds.
	EndedAtMillis int64 `cbor:"3,keyasint,omitempty"`
	// Crashes counts the crashes of workers for each task under which one has crashed.
	Crashes []TaskCrashes `cbor:"4,keyasint,omitempty"`
}

// NewProgress returns the progress of a job with no started task.
func NewProgress(spec *Spec) *Progress {
	p := &Progress{Steps: make([][]Task, len(spec.Steps))}
	for i := range spec.Steps {
		p.Steps[i] = make([]Task, spec.Steps[i].Count)
	}
	return p
}

// Matches reports whether the progress has the same numbers of steps and tasks as the job, and counts crashes only for
// tasks of the job.
func (p *Progress) Matches(spec *Spec) bool {
	if len(p.Steps) != len(spec.Steps) {
		return false
	}
	for i := range spec.Steps {
		if len(p.Steps[i]) != spec.Steps[i].Count {
			return false
		}
	}
	for i := range p.Crashes {
		if !p.Crashes[i].within(spec) {
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

// EncodeProgress returns the stored encoding of a progress record.
func EncodeProgress(p *Progress) ([]byte, error) {
	return wire.Marshal(p)
}

// DecodeProgress decodes a stored progress record.
func DecodeProgress(data []byte) (*Progress, error) {
	return wire.Unmarshal[Progress](data)
}
