package job

import "github.com/pkg/errors"

// Errors of the job package.
var (
	// ErrInvalid reports a job whose specification is invalid.
	ErrInvalid = errors.New("job: invalid")
	// ErrUnsupported reports a valid job that uses a feature which is not implemented.
	ErrUnsupported = errors.New("job: not supported")
	// ErrTaskName reports a malformed task name.
	ErrTaskName = errors.New("job: malformed task name")
)
