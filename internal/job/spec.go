package job

import (
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/wire"
)

// Limits of a job.
const (
	// MaxPayloadBytes bounds the payload, which is passed to each task.
	MaxPayloadBytes = 4000
	// MaxSteps and MaxTasks bound the size of a progress record.
	MaxSteps = 64
	MaxTasks = 4096
)

// Spec is a job as submitted. It is immutable once stored.
type Spec struct {
	ID string `cbor:"1,keyasint"`
	// Queue is the name of the queue that accepted the job.
	Queue string `cbor:"2,keyasint"`
	// Service names the pool of workers, as configured when the job was submitted.
	Service string `cbor:"3,keyasint"`
	Payload string `cbor:"4,keyasint"`
	Steps   []Step `cbor:"5,keyasint"`
	// Occurrences is the number of scheduled runs of the steps; zero means a single run without a schedule.
	Occurrences int `cbor:"6,keyasint,omitempty"`
	// AcceptedAt is the entry's wall clock time when the job was submitted. It is used only to order jobs.
	AcceptedAt time.Time `cbor:"7,keyasint"`
	// MaxAttempts bounds the failed runs of one task, as configured when the job was submitted. It applies while the queue
	// is not configured, and is zero in records of earlier versions.
	MaxAttempts int `cbor:"8,keyasint,omitempty"`
}

// Validate returns an error that wraps ErrInvalid or ErrUnsupported if the job can't be run.
func (s *Spec) Validate() error {
	if len(s.Payload) > MaxPayloadBytes {
		return errors.Wrapf(ErrInvalid, "payload of %d bytes", len(s.Payload))
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return errors.Wrapf(ErrInvalid, "%d steps", len(s.Steps))
	}
	if s.Occurrences != 0 {
		return errors.Wrap(ErrUnsupported, "scheduled occurrences")
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return err
		}
		tasks += s.Steps[i].Count
	}
	if tasks > MaxTasks {
		return errors.Wrapf(ErrInvalid, "%d tasks", tasks)
	}
	return nil
}

// validate checks the step, which has the given index in its job.
func (s *Step) validate(index int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return errors.Wrapf(ErrInvalid, "step %d has %d tasks", index, s.Count)
	}
	if err := s.Need.Validate(); err != nil {
		return errors.Wrapf(ErrInvalid, "step %d: %s", index, err)
	}
	if s.MaxPerWorker < 0 || s.MaxUnavailable < 0 || s.Estimate < 0 || s.LatencyTarget < 0 {
		return errors.Wrapf(ErrInvalid, "step %d has a negative bound", index)
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= index {
			return errors.Wrapf(ErrInvalid, "step %d depends on step %d", index, earlier)
		}
	}
	if s.Gang {
		return errors.Wrapf(ErrUnsupported, "step %d is a gang", index)
	}
	return nil
}

// EncodeSpec returns the stored encoding of a job.
func EncodeSpec(spec *Spec) ([]byte, error) {
	return wire.Marshal(spec)
}

// DecodeSpec decodes a stored job.
func DecodeSpec(data []byte) (*Spec, error) {
	return wire.Unmarshal[Spec](data)
}
