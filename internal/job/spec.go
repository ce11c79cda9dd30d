package job

import (
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/wire"
)

// Limits of a job.
const (
	// MaxPayloadBytes bounds the text that is handed to each task.
	MaxPayloadBytes = 4000
	// MaxSteps and MaxTasks bound the size of a progress record.
	MaxSteps = 64
	MaxTasks = 4096
)

// Spec is a job as it was handed in. It never changes.
type Spec struct {
	ID string `cbor:"1,keyasint"`
	// Queue is the name of the queue that took the job.
	Queue string `cbor:"2,keyasint"`
	// Service names the pool of workers at the time of the hand-in.
	Service string `cbor:"3,keyasint"`
	Payload string `cbor:"4,keyasint"`
	Steps   []Step `cbor:"5,keyasint"`
	// Occurrences is how often the steps run on a schedule; zero means once and at once.
	Occurrences int `cbor:"6,keyasint,omitempty"`
	// AcceptedAt is the entry's time of day at the hand-in. It orders jobs and decides nothing else.
	AcceptedAt time.Time `cbor:"7,keyasint"`
}

// Validate returns ErrInvalid or ErrUnsupported if the job can't be run.
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

// validate checks the step at the index.
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

// EncodeSpec returns the stored form of a job.
func EncodeSpec(spec *Spec) ([]byte, error) {
	return wire.Marshal(spec)
}

// DecodeSpec returns the job of a stored record.
func DecodeSpec(data []byte) (*Spec, error) {
	return wire.Unmarshal[Spec](data)
}
