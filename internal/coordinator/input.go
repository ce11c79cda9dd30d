package coordinator

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/job"
	"clementineflow/internal/store"
	"clementineflow/internal/wait"
)

// retryCall repeats a store call until it succeeds or the context ends.
func (t *term) retryCall(ctx context.Context, what string, call func(context.Context) error) error {
	for {
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		err := call(limited)
		cancel()
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		t.config.Logger.Warn("store call failed, retrying", "what", what, "error", err)
		if !wait.Sleep(ctx, tickInterval) {
			return context.Cause(ctx)
		}
	}
}

// loadProgress reads the progress records of all jobs. It retries until it succeeds or the context ends.
func (t *term) loadProgress(ctx context.Context) error {
	return t.retryCall(ctx, "load progress", func(ctx context.Context) error {
		items, _, err := t.config.Store.ListAt(ctx, progressPrefix)
		if err != nil {
			return err
		}
		t.loadedProgress = make(map[string]store.KeyValue, len(items))
		for _, item := range items {
			t.loadedProgress[progressID(item.Key)] = item
		}
		t.config.Logger.Info("progress loaded", "jobs", len(items))
		return nil
	})
}

// handleInput processes a change of a key under InputPrefix.
func (t *term) handleInput(ctx context.Context, change store.Event) {
	switch {
	case strings.HasPrefix(change.Key, jobPrefix):
		if !change.Deleted {
			t.addJob(change)
		}
	case strings.HasPrefix(change.Key, cancelPrefix):
		if !change.Deleted {
			t.planner.Cancel(strings.TrimPrefix(change.Key, cancelPrefix))
		}
	case strings.HasPrefix(change.Key, agentPrefix):
		t.handleAgentRecord(ctx, change)
	}
}

// addJob adds a job to the planner, with its progress record if there is one.
func (t *term) addJob(change store.Event) {
	spec, err := decodeJob(strings.TrimPrefix(change.Key, jobPrefix), change.Value)
	if err != nil {
		store.ReportMalformed(t.config.Logger, "jobs", change.Key, err)
		return
	}
	item := t.loadedProgress[spec.ID]
	delete(t.loadedProgress, spec.ID)
	var progress *job.Progress
	if item.Revision != 0 {
		if progress, err = job.DecodeProgress(item.Value); err != nil {
			store.ReportMalformed(t.config.Logger, "progress", item.Key, err)
			return
		}
	}
	t.planner.AddJob(spec, progress, item.Revision, time.Since(spec.AcceptedAt))
}

// decodeJob decodes the record of the job with the ID. Another writer can have left one that no entry would accept.
func decodeJob(id string, value []byte) (*job.Spec, error) {
	spec, err := job.DecodeSpec(value)
	if err != nil {
		return nil, err
	}
	if spec.ID != id {
		return nil, errors.Wrapf(job.ErrInvalid, "record of job %.80q", spec.ID)
	}
	return spec, spec.Validate()
}
