package shard

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"clementineflow/internal/store"
	"clementineflow/internal/wire"
)

// untilSignal is the delay that waits for the next signal without a timeout.
const untilSignal time.Duration = -1

// run executes steps until the context ends, then stops the shard. Only its goroutine writes the shard,
// so the shard has at most one write call at a time.
func (s *Shard) run(ctx context.Context) {
	for ctx.Err() == nil {
		s.waitForSignal(ctx, s.step(ctx))
	}
	s.stop()
}

// waitForSignal waits until the shard is signaled, the delay has passed or the context ends.
func (s *Shard) waitForSignal(ctx context.Context, delay time.Duration) {
	var expired <-chan time.Time
	if delay != untilSignal {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-ctx.Done():
	case <-s.wake:
	case <-expired:
	}
}

// step performs the work that is due and returns the delay until the next step.
func (s *Shard) step(ctx context.Context) time.Duration {
	if s.pendingBatch != nil {
		s.resolvePending(ctx)
		if s.pendingBatch != nil {
			return CommitInterval
		}
	}
	if !s.isOwned() {
		return s.stepUnowned(ctx)
	}
	return s.stepOwned(ctx)
}

func (s *Shard) stepUnowned(ctx context.Context) time.Duration {
	if s.unresolvedClaim != nil {
		s.resolveClaim(ctx)
		if s.isOwned() {
			return 0
		}
		return pollInterval
	}
	if !s.isIntendedOwner() {
		return untilSignal
	}
	if s.manager.config.Members.Backed() && s.tryClaim(ctx) {
		return 0
	}
	return pollInterval
}

func (s *Shard) stepOwned(ctx context.Context) time.Duration {
	members := s.manager.config.Members
	intended := intendedOwner(s.id, members.Entries())
	if members.Backed() && intended != "" && intended != s.manager.self.Name {
		return s.release(ctx)
	}
	if s.needsVerification() {
		s.verifyOwnership(ctx)
	}
	if !s.isOwned() {
		return 0
	}
	if s.hasQueued() {
		if due := s.lastWrite.Add(CommitInterval); time.Now().Before(due) {
			return time.Until(due)
		}
		s.commitQueued(ctx)
		return CommitInterval
	}
	if s.needsVerification() {
		return pollInterval
	}
	return max(0, time.Until(s.lastVerified.Add(verifyInterval)))
}

// needsVerification reports whether the ownership must be verified by a read: since the last
// verification this entry has registered again, or verifyInterval has passed.
func (s *Shard) needsVerification() bool {
	return s.verifiedRegistrations != s.manager.config.Members.RegistrationCount() || time.Since(s.lastVerified) >= verifyInterval
}

// verifyOwnership reads the shard and ends the ownership if the stored owner or epoch is another one.
func (s *Shard) verifyOwnership(ctx context.Context) {
	registrations := s.manager.config.Members.RegistrationCount()
	document, revision, err := s.manager.readDocument(ctx, s.id)
	if err != nil {
		return
	}
	s.verifiedRegistrations = registrations
	s.adoptStored(document, revision)
}

// adoptStored sets the local state to the stored document: it updates an owned shard, or ends the
// ownership if the stored owner or epoch is another one.
func (s *Shard) adoptStored(document *Document, revision store.Revision) {
	s.highestEpoch = max(s.highestEpoch, document.Epoch)
	if !document.isOwnedBy(s.manager.self) || document.Epoch != s.Epoch() {
		s.clearOwned("stored owner is " + document.Owner)
		return
	}
	s.setOwned(document, revision)
}

// tryClaim makes one attempt to claim the shard and reports whether this entry owns it afterwards.
func (s *Shard) tryClaim(ctx context.Context) bool {
	registrations := s.manager.config.Members.RegistrationCount()
	document, revision, err := s.manager.readDocument(ctx, s.id)
	if err != nil {
		return false
	}
	s.highestEpoch = max(s.highestEpoch, document.Epoch)
	if document.isOwnedBy(s.manager.self) {
		s.verifiedRegistrations = registrations
		s.setOwned(document, revision)
		return true
	}
	if !mayClaim(document, s.manager.config.Members.Entries()) {
		return false
	}
	next := claimDocument(document, s.manager.self, uuid.NewString(), s.highestEpoch)
	data, err := wire.Marshal(next)
	if err != nil {
		s.manager.config.Logger.Error("cannot encode the shard document", "shard", s.id, "error", err)
		return false
	}
	written, err := s.manager.writeDocument(ctx, s.id, revision, data)
	if errors.Is(err, store.ErrOutcomeUnknown) {
		s.unresolvedClaim = &unresolvedClaim{expected: revision}
	}
	if err != nil {
		return false
	}
	s.verifiedRegistrations = registrations
	s.setOwned(next, written)
	return true
}

// unresolvedClaim is a claim whose response was lost.
type unresolvedClaim struct {
	// expected is the store revision that the compare-and-swap of the claim expected.
	expected store.Revision
}

// resolveClaim reads the outcome of a claim whose response was lost. It is called until the revision of
// the shard has changed, even if this entry is no longer the intended owner: a claim that is applied
// later without being detected would leave the shard with an owner that neither serves nor releases it.
func (s *Shard) resolveClaim(ctx context.Context) {
	registrations := s.manager.config.Members.RegistrationCount()
	document, revision, err := s.manager.readDocument(ctx, s.id)
	if err != nil {
		return
	}
	s.highestEpoch = max(s.highestEpoch, document.Epoch)
	if document.isOwnedBy(s.manager.self) {
		s.verifiedRegistrations = registrations
		s.setOwned(document, revision)
		return
	}
	if revision != s.unresolvedClaim.expected {
		s.unresolvedClaim = nil
		return
	}
	if s.manager.config.Members.Backed() && s.isIntendedOwner() {
		s.tryClaim(ctx)
	}
}

// isIntendedOwner reports whether this entry is the shard's intended owner.
func (s *Shard) isIntendedOwner() bool {
	return intendedOwner(s.id, s.manager.config.Members.Entries()) == s.manager.self.Name
}

// release gives up the shard so that its intended owner can claim it, and returns the delay until the
// next step. Queued proposals are rejected as not applied.
func (s *Shard) release(ctx context.Context) time.Duration {
	s.clearOwned("released")
	next := releaseDocument(s.Snapshot(), uuid.NewString())
	data, err := wire.Marshal(next)
	if err != nil {
		s.manager.config.Logger.Error("cannot encode the shard document", "shard", s.id, "error", err)
		return untilSignal
	}
	if _, err := s.manager.writeDocument(ctx, s.id, s.revision, data); err == nil {
		return untilSignal
	}
	// The release failed or its response was lost: read the owner and release again if needed.
	document, revision, err := s.manager.readDocument(ctx, s.id)
	if err == nil && !document.isOwnedBy(s.manager.self) {
		return untilSignal
	}
	if err == nil {
		s.revision = revision
	}
	return s.retryRelease()
}

// retryRelease marks the shard as owned again so that the next step retries the release.
func (s *Shard) retryRelease() time.Duration {
	s.setOwned(s.Snapshot(), s.revision)
	return pollInterval
}

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

// stop commits the queued proposals and releases the shard, within stopTimeout.
func (s *Shard) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for s.pendingBatch != nil && ctx.Err() == nil {
		s.resolvePending(ctx)
		if s.pendingBatch != nil {
			s.waitForSignal(ctx, CommitInterval)
		}
	}
	if s.pendingBatch == nil && s.isOwned() && s.hasQueued() {
		s.commitQueued(ctx)
	}
	if s.pendingBatch != nil {
		s.completeBatch(s.pendingBatch, ErrOutcomeUnknown)
		s.clearOwned("stopped with an unresolved commit")
		return
	}
	if s.isOwned() {
		s.release(ctx)
		s.clearOwned("stopped")
	}
}
