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
// The same requestID again returns the revision of its first success, as long as the document lists
// that change. Errors: ErrUnavailable (certainly not applied), a ConflictError (another change came
// first), *InvalidError, an error of mutate as it is, and ErrOutcomeUnknown.
func (f *Follower) Change(ctx context.Context, requestID, author, summary string, mutate func(*Document) error) (uint64, error) {
	if requestID == "" {
		return 0, ErrRequestID
	}
	base, revision, err := f.base(ctx)
	if err != nil {
		return 0, err
	}
	if applied, ok := base.change(requestID); ok {
		return applied.Revision, nil
	}
	next := base.Clone()
	if err := mutate(next); err != nil {
		return 0, err
	}
	next.seal(base, Change{
		Revision: base.Revision + 1, At: time.Now().UTC(), RequestID: requestID, Author: author, Summary: summary,
	})
	if err := Validate(next); err != nil {
		return 0, err
	}
	return f.write(ctx, next, revision)
}

// base returns the document that a change starts from; an empty one if there is none yet.
func (f *Follower) base(ctx context.Context) (*Document, store.Revision, error) {
	document, revision, err := f.read(ctx)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return &Document{Region: f.config.Region}, 0, nil
	case errors.Is(err, wire.ErrMalformed):
		return nil, 0, err
	case err != nil:
		return nil, 0, errors.WithMessage(ErrUnavailable, err.Error())
	}
	f.adopt(document, revision)
	return document, revision, nil
}

// change returns the accepted change with the request id.
func (d *Document) change(requestID string) (Change, bool) {
	index := slices.IndexFunc(d.Changes, func(change Change) bool { return change.RequestID == requestID })
	if index < 0 {
		return Change{}, false
	}
	return d.Changes[index], true
}

// seal sets the fields that a mutation must not change.
func (d *Document) seal(base *Document, change Change) {
	d.Revision = change.Revision
	d.Region = base.Region
	d.CommitID = uuid.NewString()
	d.Changes = append(slices.Clone(base.Changes), change)
	if excess := len(d.Changes) - MaxChanges; excess > 0 {
		d.Changes = slices.Delete(d.Changes, 0, excess)
	}
}

// write stores the document at the expected revision. After a lost answer it reads back and, if the
// document has not changed, writes the same value again: the lost write may still be on its way, and
// only a write that moves the revision excludes that it takes effect later.
func (f *Follower) write(ctx context.Context, next *Document, expected store.Revision) (uint64, error) {
	data, err := wire.Marshal(next)
	if err != nil {
		return 0, errors.WithMessage(ErrTooLarge, err.Error())
	}
	unresolved := false
	for {
		if unresolved && f.applied(ctx, next) {
			return next.Revision, nil
		}
		revision, err := f.swap(ctx, expected, data)
		var conflict *store.ConflictError
		switch {
		case err == nil:
			f.adopt(next, revision)
			return next.Revision, nil
		case errors.As(err, &conflict):
			return f.resolve(ctx, next, unresolved)
		case errors.Is(err, store.ErrValueTooLarge):
			return 0, fault("document", ErrTooLarge)
		case errors.Is(err, store.ErrOutcomeUnknown):
			unresolved = true
		case !unresolved:
			return 0, errors.WithMessage(ErrUnavailable, err.Error())
		}
		if err := pause(ctx); err != nil {
			return 0, errors.WithMessage(ErrOutcomeUnknown, err.Error())
		}
	}
}

// applied reads back whether the document in the store is next.
func (f *Follower) applied(ctx context.Context, next *Document) bool {
	current, revision, err := f.read(ctx)
	if err != nil {
		return false
	}
	f.adopt(current, revision)
	return current.CommitID == next.CommitID
}

func (f *Follower) swap(ctx context.Context, expected store.Revision, data []byte) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return f.config.Store.CompareAndSwap(ctx, f.key, expected, data, 0)
}

// resolve reads back after a conflict, which shows that the document has moved on: either by this
// change, if an earlier answer was lost, or by another one.
func (f *Follower) resolve(ctx context.Context, next *Document, unresolved bool) (uint64, error) {
	for {
		current, revision, err := f.read(ctx)
		if err == nil {
			f.adopt(current, revision)
			return settle(current, next, unresolved)
		}
		if !unresolved {
			// The change is certainly not applied; the current revision is the best that is known.
			return 0, &ConflictError{Current: f.known()}
		}
		if err := pause(ctx); err != nil {
			return 0, errors.WithMessage(ErrOutcomeUnknown, err.Error())
		}
	}
}

// settle decides from the current document whether next was applied.
func settle(current, next *Document, unresolved bool) (uint64, error) {
	if current.CommitID == next.CommitID {
		return next.Revision, nil
	}
	requestID := next.Changes[len(next.Changes)-1].RequestID
	if applied, ok := current.change(requestID); ok {
		return applied.Revision, nil
	}
	oldest := slices.IndexFunc(current.Changes, func(change Change) bool { return change.Revision <= next.Revision })
	if unresolved && oldest < 0 {
		return 0, errors.WithMessage(ErrOutcomeUnknown, "the change is no longer listed")
	}
	return 0, &ConflictError{Current: current.Revision}
}

func (f *Follower) known() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.document == nil {
		return 0
	}
	return f.document.Revision
}

func pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(retryDelay):
		return nil
	}
}
