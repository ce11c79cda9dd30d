package shard

import (
	"context"
	"time"

	"clementineflow/internal/store"
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
