package job

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// TaskName names one task of a job.
type TaskName struct {
	_     struct{} `cbor:",toarray"`
	Job   string
	Step  int
	Index int
}

// taskNameParts is the number of parts of a task's text form: job, occurrence, step and index.
const taskNameParts = 4

// String returns the text form, with occurrence 0.
func (n TaskName) String() string {
	return n.Job + ".0." + strconv.Itoa(n.Step) + "." + strconv.Itoa(n.Index)
}

// ParseTaskName parses the text form, or returns ErrTaskName.
func ParseTaskName(text string) (TaskName, error) {
	parts := strings.Split(text, ".")
	if len(parts) != taskNameParts || parts[1] != "0" {
		return TaskName{}, errors.Wrap(ErrTaskName, text)
	}
	step, err := strconv.Atoi(parts[2])
	if err != nil || step < 0 {
		return TaskName{}, errors.Wrap(ErrTaskName, text)
	}
	index, err := strconv.Atoi(parts[3])
	if err != nil || index < 0 {
		return TaskName{}, errors.Wrap(ErrTaskName, text)
	}
	return TaskName{Job: parts[0], Step: step, Index: index}, nil
}
