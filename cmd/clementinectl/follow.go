package main

import (
	"context"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/pkg/errors"

	operatorv1 "clementineflow/api/operator/v1"
)

func isFinal(state operatorv1.TaskState) bool {
	switch state {
	case operatorv1.TaskState_TASK_STATE_FINISHED, operatorv1.TaskState_TASK_STATE_FAILED,
		operatorv1.TaskState_TASK_STATE_CANCELLED, operatorv1.TaskState_TASK_STATE_UNKNOWN,
		operatorv1.TaskState_TASK_STATE_QUARANTINED:
		return true
	default:
		return false
	}
}

// followTask calls observe with the task and each later change until observe returns true. It watches
// again after a broken connection or when the task's shard moves.
func (s *session) followTask(ctx context.Context, id string, observe func(*operatorv1.Task) (bool, error)) error {
	var previous *operatorv1.Task
	changed := func(t *operatorv1.Task) (bool, error) {
		if previous != nil && proto.Equal(previous, t) {
			return false, nil
		}
		previous = t
		return observe(t)
	}
	for {
		done, err := s.watchOnce(ctx, id, changed)
		switch {
		case done:
			return err
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil && !isTemporary(err):
			return err
		}
		if err := pause(ctx); err != nil {
			return err
		}
	}
}

// watchOnce reads one stream. done means that observe has returned true or an error.
func (s *session) watchOnce(ctx context.Context, id string, observe func(*operatorv1.Task) (bool, error)) (done bool, err error) {
	client, err := s.client(ctx)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := client.WatchTask(ctx, &operatorv1.GetTaskRequest{Id: id})
	if err != nil {
		return false, err
	}
	for {
		message, err := stream.Recv()
		switch {
		case errors.Is(err, io.EOF):
			return false, nil
		case err != nil:
			return false, err
		}
		if done, err := observe(message); done || err != nil {
			return true, err
		}
	}
}

// waitForTask follows a task until reached says that it is done, prints progress and the last state,
// and fails if the end is not a good one.
func (s *session) waitForTask(ctx context.Context, flags waitFlags, task *operatorv1.Task,
	reached func(*operatorv1.Task) (done, good bool),
) error {
	waiting, cancel := context.WithTimeout(ctx, flags.WaitTimeout)
	defer cancel()
	last := task
	err := s.followTask(waiting, task.GetId(), func(t *operatorv1.Task) (bool, error) {
		last = t
		s.progress("task %s: %s, attempt %d, worker %s: %s",
			t.GetId(), stateName(t.GetState()), t.GetAttempt(), dash(t.GetWorker()), dash(t.GetReason()))
		done, _ := reached(t)
		return done, nil
	})
	if waiting.Err() != nil {
		err = waitEnded(waiting.Err(), fmt.Sprintf("task %s is %s", last.GetId(), stateName(last.GetState())))
	}
	if printed := s.print(last, func() table { return tasksTable(last) }); printed != nil {
		return printed
	}
	if err != nil {
		return err
	}
	if _, good := reached(last); !good {
		return &exitError{code: exitFailure, cause: fmt.Errorf("%w: %s: %s", errTaskEnded, stateName(last.GetState()), dash(last.GetReason()))}
	}
	return nil
}
