package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/pkg/errors"

	operatorv1 "clementineflow/api/operator/v1"
)

// pollInterval is the time between two reads while waiting; a revision is in force within seconds.
const pollInterval = 500 * time.Millisecond

// errTaskEnded reports a task that ended in another state than the command asked for.
var errTaskEnded = errors.New("the task ended in another state")

// condition says what is still missing, empty if it holds.
type condition func(ctx context.Context) (string, error)

// wait polls until all conditions hold, and prints each change of what is missing.
func (s *session) wait(ctx context.Context, flags waitFlags, revision uint64, conditions ...condition) error {
	ctx, cancel := context.WithTimeout(ctx, flags.WaitTimeout)
	defer cancel()
	previous := ""
	for {
		missing, err := unmet(ctx, conditions)
		if err != nil && !isTemporary(err) && ctx.Err() == nil {
			return err
		}
		if err != nil {
			missing = []string{"not known: " + message(err)}
		}
		if len(missing) == 0 {
			s.progress("revision %d: done", revision)
			return nil
		}
		if line := strings.Join(missing, "; "); line != previous && ctx.Err() == nil {
			s.progress("revision %d: %s", revision, line)
			previous = line
		}
		if err := pause(ctx); err != nil {
			return waitEnded(err, fmt.Sprintf("revision %d was accepted; still missing: %s", revision, previous))
		}
	}
}

func unmet(ctx context.Context, conditions []condition) ([]string, error) {
	var missing []string
	for _, holds := range conditions {
		text, err := holds(ctx)
		if err != nil {
			return nil, err
		}
		if text != "" {
			missing = append(missing, text)
		}
	}
	return missing, nil
}

// isTemporary reports whether a read may succeed later.
func isTemporary(err error) bool {
	var fixed *exitError
	if errors.As(err, &fixed) {
		return fixed.code == exitUnavailable
	}
	code := status.Code(err)
	return code == codes.Unavailable || code == codes.DeadlineExceeded
}

func pause(ctx context.Context) error {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// waitEnded is the error of a wait that timed out or was interrupted.
func waitEnded(cause error, text string) error {
	if errors.Is(cause, context.DeadlineExceeded) {
		return &exitError{code: exitWaitTimedOut, cause: errors.New("wait timed out: " + text)}
	}
	return &exitError{code: exitFailure, cause: errors.New("interrupted: " + text)}
}

// inForce holds when every place has the revision. Entries that are not registered are shown but not
// waited for: they cannot confirm an older revision for the start of a task.
func (s *session) inForce(revision uint64) condition {
	return func(ctx context.Context) (string, error) {
		propagation, err := call(ctx, s, operatorv1.OperatorServiceClient.GetPropagation,
			&operatorv1.GetPropagationRequest{Revision: revision})
		if err != nil {
			return "", err
		}
		behind := propagation.GetWorkersBehind()
		var down []string
		if len(propagation.GetEntriesBehind()) > 0 {
			entries, err := call(ctx, s, operatorv1.OperatorServiceClient.ListEntries, &operatorv1.ListEntriesRequest{})
			if err != nil {
				return "", err
			}
			registered, unregistered := splitEntries(propagation.GetEntriesBehind(), entries.GetEntries())
			behind, down = append(registered, behind...), unregistered
		}
		return describeBehind(behind, down), nil
	}
}

func splitEntries(behind []string, entries []*operatorv1.Entry) (registered, unregistered []string) {
	known := make(map[string]bool, len(entries))
	for _, entry := range entries {
		known[entry.GetName()] = entry.GetRegistered()
	}
	for _, name := range behind {
		if known[name] {
			registered = append(registered, name)
		} else {
			unregistered = append(unregistered, name)
		}
	}
	return registered, unregistered
}

func describeBehind(behind, down []string) string {
	if len(behind) == 0 {
		return ""
	}
	text := fmt.Sprintf("not yet in force at %s", strings.Join(behind, ", "))
	if len(down) > 0 {
		text += fmt.Sprintf(" (entries down: %s)", strings.Join(down, ", "))
	}
	return text
}

// zoneEmpty holds when nothing runs in the zone.
func (s *session) zoneEmpty(zone string) condition {
	return func(ctx context.Context) (string, error) {
		all, err := s.workers(ctx, pageFlags{}, zone)
		if err != nil {
			return "", err
		}
		var running []string
		count := 0
		for _, worker := range all.GetWorkers() {
			if worker.GetState() == "lost" || len(worker.GetTasks()) == 0 {
				continue
			}
			count += len(worker.GetTasks())
			running = append(running, fmt.Sprintf("%s (%s)", worker.GetName(), strings.Join(worker.GetTasks(), ", ")))
		}
		if count == 0 {
			return "", nil
		}
		return fmt.Sprintf("%d tasks still run in %s: %s", count, zone, strings.Join(running, ", ")), nil
	}
}
