package shard

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"clementineflow/internal/store"
)

// commitQueued writes all queued proposals as one batch.
func (s *Shard) commitQueued(ctx context.Context) {
	next := prepareBatch(s.Snapshot(), s.dequeueAll(), uuid.NewString(), time.Now())
	if next == nil {
		return
	}
	s.warnIfLarge(len(next.data))
	s.writeBatch(ctx, next)
	if s.pendingBatch != nil {
		s.resolvePending(ctx)
	}
}

// writeBatch makes one attempt to write the batch. If the outcome must be read from the store, it sets
// pendingBatch.
func (s *Shard) writeBatch(ctx context.Context, next *batch) {
	s.lastWrite = time.Now()
	revision, err := s.manager.writeDocument(ctx, s.id, s.revision, next.data)
	var conflict *store.ConflictError
	switch {
	case err == nil:
		s.completeApplied(next, revision)
	case errors.As(err, &conflict):
		s.pendingBatch = next
	case errors.Is(err, store.ErrOutcomeUnknown):
		next.maybeApplied = true
		s.pendingBatch = next
	case next.maybeApplied:
		s.pendingBatch = next
	default:
		s.completeBatch(next, errors.WithMessage(ErrUnavailable, err.Error()))
	}
}

func (s *Shard) completeApplied(next *batch, revision store.Revision) {
	s.setOwned(next.document, revision)
	s.completeBatch(next, nil)
}

func (s *Shard) completeBatch(done *batch, err error) {
	s.pendingBatch = nil
	done.reply(err)
}

// resolvePending reads the outcome of the pending batch from the store. If the shard is unchanged, it
// writes the same value again: the earlier write may still be in flight, and only a write that changes
// the revision ensures that it cannot be applied later.
func (s *Shard) resolvePending(ctx context.Context) {
	pending := s.pendingBatch
	current, revision, err := s.manager.readDocument(ctx, s.id)
	if err != nil {
		s.rejectQueued(errors.WithMessage(ErrUnavailable, err.Error()))
		return
	}
	switch determineOutcome(current, revision != s.revision, pending.document.Epoch, pending.document.CommitID) {
	case outcomeApplied:
		s.completeBatch(pending, nil)
		s.adoptStored(current, revision)
	case outcomePending:
		s.writeBatch(ctx, pending)
	case outcomeNotApplied:
		s.adoptStored(current, revision)
		s.completeBatch(pending, s.notAppliedError())
	case outcomeUnknown:
		s.adoptStored(current, revision)
		s.completeBatch(pending, unknownOutcomeError(pending))
	}
}

// notAppliedError returns the error for a batch that was not applied because of a concurrent write.
func (s *Shard) notAppliedError() error {
	if s.isOwned() {
		return ErrUnavailable
	}
	return ErrNotOwner
}

// unknownOutcomeError returns the error for a batch whose epoch is no longer in the history. If the store
// rejected every write of the batch, it was not applied.
func unknownOutcomeError(pending *batch) error {
	if pending.maybeApplied {
		return ErrOutcomeUnknown
	}
	return ErrNotOwner
}

// warnIfLarge logs a warning when the size of the shard rises above sizeWarningBytes.
func (s *Shard) warnIfLarge(size int) {
	large := size > sizeWarningBytes
	if large && !s.sizeWarned {
		s.manager.config.Logger.Warn("shard is large", "shard", s.id, "bytes", size, "limit", store.MaxValueBytes)
	}
	s.sizeWarned = large
}
