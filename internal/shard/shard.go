package shard

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/store"
)

// Shard is this entry's view of one shard of a region; the entry may or may not own it. It is safe
// for concurrent use.
type Shard struct {
	id      uint16
	manager *Manager
	wake    chan struct{}

	mu       sync.Mutex
	owned    bool
	document *Document
	queue    []*proposal

	// The fields below are accessed only by the goroutine that executes run.

	// revision is the store revision of document.
	revision store.Revision
	// pendingBatch is the only batch whose write has an unknown outcome, or nil.
	pendingBatch *batch
	// unresolvedClaim is a claim whose response was lost and whose outcome has not been read from the
	// store yet, or nil.
	unresolvedClaim *unresolvedClaim
	// lastWrite and lastVerified are the times of the last write and of the last verification of
	// ownership.
	lastWrite    time.Time
	lastVerified time.Time
	// verifiedRegistrations is the count of this entry's registrations at the last verification of
	// ownership.
	verifiedRegistrations uint64
	// highestEpoch is the highest epoch read from or written to the store.
	highestEpoch uint64
	// sizeWarned is set while the shard is above sizeWarningBytes.
	sizeWarned bool
}

func newShard(id uint16, manager *Manager) *Shard {
	return &Shard{id: id, manager: manager, wake: make(chan struct{}, 1), document: &Document{ID: id}}
}

// ID returns the shard's number.
func (s *Shard) ID() uint16 { return s.id }

// Epoch returns the epoch of the ownership, or of the last ownership if the shard is no longer owned.
func (s *Shard) Epoch() uint64 { return s.Snapshot().Epoch }

// Snapshot returns the last committed document. The document is shared, so callers must not modify it.
func (s *Shard) Snapshot() *Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.document
}

// Propose applies mutate to the document with the next group commit and waits until it is durable.
//
// A nil error means that the change is durable. ErrNotOwner, ErrUnavailable, ErrFull and an error of
// mutate, which is returned unwrapped, mean that the change was not applied. ErrOutcomeUnknown means
// that it may or may not be applied: the context ended, or the manager stopped, while the commit was
// in flight, or the shard changed too often to determine the outcome. mutate may run more than once
// and, if the context ended, after Propose has returned; it must not depend on mutable state.
func (s *Shard) Propose(ctx context.Context, mutate func(*Document) error) error {
	proposed := newProposal(mutate)
	if err := s.enqueue(proposed); err != nil {
		return err
	}
	select {
	case err := <-proposed.done:
		return err
	case <-ctx.Done():
		return s.withdraw(ctx, proposed)
	}
}

func (s *Shard) enqueue(proposed *proposal) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.owned {
		return ErrNotOwner
	}
	if len(s.queue) >= maxQueuedProposals {
		return errors.WithMessage(ErrUnavailable, "too many proposals are waiting")
	}
	s.queue = append(s.queue, proposed)
	s.signal()
	return nil
}

// withdraw removes a proposal whose context ended from the queue. If a commit already includes it, the
// outcome is unknown.
func (s *Shard) withdraw(ctx context.Context, proposed *proposal) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case err := <-proposed.done:
		return err
	default:
	}
	if proposed.dequeued {
		return errors.WithMessage(ErrOutcomeUnknown, ctx.Err().Error())
	}
	s.queue = slices.DeleteFunc(s.queue, func(queued *proposal) bool { return queued == proposed })
	return errors.WithMessage(ErrUnavailable, ctx.Err().Error())
}

func (s *Shard) isOwned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owned
}

// signal wakes the shard's goroutine without blocking.
func (s *Shard) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// dequeueAll removes and returns all queued proposals.
func (s *Shard) dequeueAll() []*proposal {
	s.mu.Lock()
	defer s.mu.Unlock()
	dequeued := s.queue
	s.queue = nil
	for _, proposed := range dequeued {
		proposed.dequeued = true
	}
	return dequeued
}

// rejectQueued completes all queued proposals with err, which must mean that they were not applied.
func (s *Shard) rejectQueued(err error) {
	for _, proposed := range s.dequeueAll() {
		proposed.done <- err
	}
}

func (s *Shard) hasQueued() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) > 0
}

// setOwned marks the shard as owned and sets its current document and store revision.
func (s *Shard) setOwned(document *Document, revision store.Revision) {
	s.mu.Lock()
	gained := !s.owned
	s.owned = true
	s.document = document
	s.mu.Unlock()
	s.revision = revision
	s.unresolvedClaim = nil
	s.highestEpoch = max(s.highestEpoch, document.Epoch)
	s.lastVerified = time.Now()
	if gained {
		s.manager.config.Logger.Info("acquired shard", "shard", s.id, "epoch", document.Epoch, "tasks", len(document.Tasks))
		s.manager.changes.Notify()
	}
}

// clearOwned marks the shard as not owned and rejects the queued proposals.
func (s *Shard) clearOwned(reason string) {
	s.mu.Lock()
	lost := s.owned
	s.owned = false
	s.mu.Unlock()
	s.rejectQueued(ErrNotOwner)
	if lost {
		s.manager.config.Logger.Info("shard no longer owned", "shard", s.id, "epoch", s.Epoch(), "reason", reason)
		s.manager.changes.Notify()
	}
}
