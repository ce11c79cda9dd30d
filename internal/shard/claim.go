package shard

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"clementineflow/internal/store"
	"clementineflow/internal/wire"
)

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
