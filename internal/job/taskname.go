package job

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// TaskName identifies one task of a job.
type TaskName struct {
	_     struct{} `cbor:",toarray"`
	Job   string
	Step  int
	Index int
}

// taskNameParts is the number of dot-separated parts of a task name: job, occurrence, step and index.
const taskNameParts = 4

// String returns the name in the form "job.0.step.index"; the occurrence is always 0.
func (n TaskName) String() string {
	return n.Job + ".0." + strconv.Itoa(n.Step) + "." + strconv.Itoa(n.Index)
}

// ParseTaskName parses the result of TaskName.String. It returns an error that wraps ErrTaskName if the text is
// malformed.
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
