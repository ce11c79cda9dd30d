package configuration

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"clementineflow/internal/store"
	"clementineflow/internal/wire"
)

// Change applies mutate to the current document by compare-and-swap and returns the new revision.
// A repeated call with the same requestID returns the revision of the first success, as long as the
// document lists that change. Errors are ErrMissingRequestID, ErrUnavailable (definitely not applied),
// *ConflictError (a concurrent change was applied first), *InvalidError, ErrOutcomeUnknown, and any
// error of mutate, unchanged.
func (f *Follower) Change(ctx context.Context, requestID, author, summary string, mutate func(*Document) error) (uint64, error) {
	if requestID == "" {
		return 0, ErrMissingRequestID
	}
	base, revision, err := f.readBase(ctx)
	if err != nil {
		return 0, err
	}
	if applied, ok := base.findChange(requestID); ok {
		return applied.Revision, nil
	}
	next := base.Clone()
	if err := mutate(next); err != nil {
		return 0, err
	}
	next.setCommitFields(base, Change{
		Revision: base.Revision + 1, At: time.Now().UTC(), RequestID: requestID, Author: author, Summary: summary,
	})
	if err := Validate(next); err != nil {
		return 0, err
	}
	return f.writeDocument(ctx, next, revision)
}

// readBase returns the document that a change is applied to, or an empty one if none is stored yet.
func (f *Follower) readBase(ctx context.Context) (*Document, store.Revision, error) {
	document, revision, err := f.readDocument(ctx)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return &Document{Region: f.config.Region}, 0, nil
	case errors.Is(err, wire.ErrMalformed):
		return nil, 0, err
	case err != nil:
		return nil, 0, errors.WithMessage(ErrUnavailable, err.Error())
	}
	f.adoptIfNewer(document, revision)
	return document, revision, nil
}

// findChange returns the accepted change with the request id.
func (d *Document) findChange(requestID string) (Change, bool) {
	index := slices.IndexFunc(d.Changes, func(change Change) bool { return change.RequestID == requestID })
	if index < 0 {
		return Change{}, false
	}
	return d.Changes[index], true
}

// setCommitFields sets the fields that a mutation must not change.
func (d *Document) setCommitFields(base *Document, change Change) {
	d.Revision = change.Revision
	d.Region = base.Region
	d.CommitID = uuid.NewString()
	d.Changes = append(slices.Clone(base.Changes), change)
	if excess := len(d.Changes) - MaxChanges; excess > 0 {
		d.Changes = slices.Delete(d.Changes, 0, excess)
	}
}

// writeDocument stores the document if the key still has the expected store revision. If the store
// does not answer, it reads the document back and, if the write was not applied, writes the same value
// again: the first write may still be in transit, and only a write that increases the store revision
// ensures that it cannot take effect later.
func (f *Follower) writeDocument(ctx context.Context, next *Document, expected store.Revision) (uint64, error) {
	data, err := wire.Marshal(next)
	if err != nil {
		return 0, errors.WithMessage(ErrTooLarge, err.Error())
	}
	outcomeUnknown := false
	for {
		if outcomeUnknown && f.isApplied(ctx, next) {
			return next.Revision, nil
		}
		revision, err := f.compareAndSwap(ctx, expected, data)
		var conflict *store.ConflictError
		switch {
		case err == nil:
			f.adoptIfNewer(next, revision)
			return next.Revision, nil
		case errors.As(err, &conflict):
			return f.resolveConflict(ctx, next, outcomeUnknown)
		case errors.Is(err, store.ErrValueTooLarge):
			return 0, fieldError("document", ErrTooLarge)
		case errors.Is(err, store.ErrOutcomeUnknown):
			outcomeUnknown = true
		case !outcomeUnknown:
			return 0, errors.WithMessage(ErrUnavailable, err.Error())
		}
		if err := waitBeforeRetry(ctx); err != nil {
			return 0, errors.WithMessage(ErrOutcomeUnknown, err.Error())
		}
	}
}

// isApplied reads the document back and reports whether it is next.
func (f *Follower) isApplied(ctx context.Context, next *Document) bool {
	current, revision, err := f.readDocument(ctx)
	if err != nil {
		return false
	}
	f.adoptIfNewer(current, revision)
	return current.CommitID == next.CommitID
}

func (f *Follower) compareAndSwap(ctx context.Context, expected store.Revision, data []byte) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return f.config.Store.CompareAndSwap(ctx, f.key, expected, data, 0)
}

// resolveConflict reads the document back after a compare-and-swap conflict and returns the outcome of
// the change. The conflicting write is either another change or, if an earlier answer was lost, this
// one.
func (f *Follower) resolveConflict(ctx context.Context, next *Document, outcomeUnknown bool) (uint64, error) {
	for {
		current, revision, err := f.readDocument(ctx)
		if err == nil {
			f.adoptIfNewer(current, revision)
			return changeOutcome(current, next, outcomeUnknown)
		}
		if !outcomeUnknown {
			// The change was definitely not applied. The current revision may be outdated.
			return 0, &ConflictError{Current: f.documentRevision()}
		}
		if err := waitBeforeRetry(ctx); err != nil {
			return 0, errors.WithMessage(ErrOutcomeUnknown, err.Error())
		}
	}
}

// changeOutcome determines from the current document whether next was applied.
func changeOutcome(current, next *Document, outcomeUnknown bool) (uint64, error) {
	if current.CommitID == next.CommitID {
		return next.Revision, nil
	}
	requestID := next.Changes[len(next.Changes)-1].RequestID
	if applied, ok := current.findChange(requestID); ok {
		return applied.Revision, nil
	}
	// If all listed changes are newer than next, the list may no longer include the requested change.
	listedIndex := slices.IndexFunc(current.Changes, func(change Change) bool { return change.Revision <= next.Revision })
	if outcomeUnknown && listedIndex < 0 {
		return 0, errors.WithMessage(ErrOutcomeUnknown, "the change is no longer listed")
	}
	return 0, &ConflictError{Current: current.Revision}
}

func (f *Follower) documentRevision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.document == nil {
		return 0
	}
	return f.document.Revision
}

func waitBeforeRetry(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(retryDelay):
		return nil
	}
}
