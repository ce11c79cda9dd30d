package losses

import "github.com/pkg/errors"

// Errors of the losses package.
var (
	// ErrMalformedLine reports a log line with a missing or invalid field.
	ErrMalformedLine = errors.New("losses: malformed log line")
	// ErrUnknownJob reports a job whose acceptance is not in the logs.
	ErrUnknownJob = errors.New("losses: no line tells of the job's acceptance")
)
