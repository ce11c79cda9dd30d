package process

import "github.com/pkg/errors"

// errNotElsewhere reports a task that has not yet run on another worker.
var errNotElsewhere = errors.New("the task has not yet run on another worker")

// errNotAnswered reports that too few requests were answered so far.
var errNotAnswered = errors.New("too few requests were answered so far")
