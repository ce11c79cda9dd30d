package job

import "github.com/pkg/errors"

// Errors of the job layer.
var (
	// ErrInvalid reports a job that can never be run as described.
	ErrInvalid = errors.New("job: invalid")
	// ErrUnsupported reports a valid job that asks for something this version does not run.
	ErrUnsupported = errors.New("job: not supported")
	// ErrTaskName reports a text that is not the name of a task.
	ErrTaskName = errors.New("job: malformed task name")
)
