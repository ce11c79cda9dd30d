package shard

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/store"
)

// Shard is one shard of a region as seen by its owner. It is safe for concurrent use.
type Shard struct {
	id      uint16
	manager *Manager
	wake    chan struct{}

	mu       sync.Mutex
	owned    bool
	document *Document
	queue    []*proposal

	// The fields below belong to the goroutine of run.

	// revision is the store revision of document.
	revision store.Revision
	// pending is the commit whose outcome is not known yet; there is at most one.
	pending *batch
	// claim is the claim whose answer was lost, until the store shows what became of it.
	claim *unansweredClaim
	// wrote and checked are the times of the last write and of the last proof of ownership.
	wrote   time.Time
	checked time.Time
	// registrations is the count of own registrations at the last proof of ownership.
	registrations uint64
	// epochFloor is the highest epoch seen.
	epochFloor uint64
	warned     bool
}

func newShard(id uint16, manager *Manager) *Shard {
	return &Shard{id: id, manager: manager, wake: make(chan struct{}, 1), document: &Document{ID: id}}
}

// ID returns the shard's number.
func (s *Shard) ID() uint16 { return s.id }

// Epoch returns the epoch of the ownership, or of the last one if the shard is not owned any more.
func (s *Shard) Epoch() uint64 { return s.Snapshot().Epoch }

// Snapshot returns the last committed document. It is shared: callers do not change it.
func (s *Shard) Snapshot() *Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.document
}

// Propose applies mutate to the document with the next group commit and waits until it is durable.
//
// A nil error means durable. ErrNotOwner, ErrUnavailable and ErrFull mean certainly not applied, and
// so does an error of mutate, which is returned as it is. ErrOutcomeUnknown is returned only if the
// context ends, or the manager stops, while the commit is on its way. mutate may run more than once
// and, in the last case, after Propose has returned; it must not depend on anything that changes.
func (s *Shard) Propose(ctx context.Context, mutate func(*Document) error) error {
	proposed := newProposal(mutate)
	if err := s.enqueue(proposed); err != nil {
		return err
	}
	select {
	case err := <-proposed.done:
		return err
	case <-ctx.Done():
		return s.abandon(ctx, proposed)
	}
}

func (s *Shard) enqueue(proposed *proposal) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.owned {
		return ErrNotOwner
	}
	if len(s.queue) >= maxQueued {
		return errors.WithMessage(ErrUnavailable, "too many proposals are waiting")
	}
	s.queue = append(s.queue, proposed)
	s.signal()
	return nil
}

// abandon withdraws a proposal that no commit has picked up.
func (s *Shard) abandon(ctx context.Context, proposed *proposal) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case err := <-proposed.done:
		return err
	default:
	}
	if proposed.taken {
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

// signal wakes the shard's goroutine.
func (s *Shard) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// take removes all proposals from the queue.
func (s *Shard) take() []*proposal {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.queue
	s.queue = nil
	for _, proposed := range taken {
		proposed.taken = true
	}
	return taken
}

// refuse answers all waiting proposals with an error that says that they were not applied.
func (s *Shard) refuse(err error) {
	for _, proposed := range s.take() {
		proposed.done <- err
	}
}

func (s *Shard) waiting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) > 0
}

// gain makes the document the current one of an owned shard.
func (s *Shard) gain(document *Document, revision store.Revision) {
	s.mu.Lock()
	gained := !s.owned
	s.owned = true
	s.document = document
	s.mu.Unlock()
	s.revision = revision
	s.claim = nil
	s.epochFloor = max(s.epochFloor, document.Epoch)
	s.checked = time.Now()
	if gained {
		s.manager.config.Logger.Info("shard gained", "shard", s.id, "epoch", document.Epoch, "tasks", len(document.Tasks))
		s.manager.changes.Notify()
	}
}

// lose ends the ownership and refuses what waits.
func (s *Shard) lose(reason string) {
	s.mu.Lock()
	lost := s.owned
	s.owned = false
	s.mu.Unlock()
	s.refuse(ErrNotOwner)
	if lost {
		s.manager.config.Logger.Info("shard no longer owned", "shard", s.id, "epoch", s.Epoch(), "reason", reason)
		s.manager.changes.Notify()
	}
}
