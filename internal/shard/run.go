package shard

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"clementineflow/internal/store"
	"clementineflow/internal/wire"
)

// untilWoken is the delay of a shard that has nothing to do before the next signal.
const untilWoken time.Duration = -1

// run does one step after the other until the context ends. All writes of the shard are made here,
// so that at most one is in flight.
func (s *Shard) run(ctx context.Context) {
	for ctx.Err() == nil {
		s.wait(ctx, s.step(ctx))
	}
	s.stop()
}

func (s *Shard) wait(ctx context.Context, delay time.Duration) {
	var expired <-chan time.Time
	if delay != untilWoken {
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

// step does what is due and returns the time until the next step.
func (s *Shard) step(ctx context.Context) time.Duration {
	if s.pending != nil {
		s.resolve(ctx)
		if s.pending != nil {
			return CommitInterval
		}
	}
	if !s.isOwned() {
		return s.stepUnowned(ctx)
	}
	return s.stepOwned(ctx)
}

func (s *Shard) stepUnowned(ctx context.Context) time.Duration {
	if s.claim != nil {
		s.settleClaim(ctx)
		if s.isOwned() {
			return 0
		}
		return pollInterval
	}
	if !s.intended() {
		return untilWoken
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
	if s.unproven() {
		s.verify(ctx)
	}
	if !s.isOwned() {
		return 0
	}
	if s.waiting() {
		if due := s.wrote.Add(CommitInterval); time.Now().Before(due) {
			return time.Until(due)
		}
		s.commit(ctx)
		return CommitInterval
	}
	if s.unproven() {
		return pollInterval
	}
	return max(0, time.Until(s.checked.Add(auditInterval)))
}

// unproven reports whether the ownership needs a read: the own registration has lapsed since the
// last proof, or the last proof is old.
func (s *Shard) unproven() bool {
	return s.registrations != s.manager.config.Members.Registrations() || time.Since(s.checked) >= auditInterval
}

// verify reads the shard and gives it up if the store shows another owner.
func (s *Shard) verify(ctx context.Context) {
	registrations := s.manager.config.Members.Registrations()
	document, revision, err := s.manager.read(ctx, s.id)
	if err != nil {
		return
	}
	s.registrations = registrations
	s.accept(document, revision)
}

// accept takes what the store shows as the current state.
func (s *Shard) accept(document *Document, revision store.Revision) {
	s.epochFloor = max(s.epochFloor, document.Epoch)
	if !document.heldBy(s.manager.self) || document.Epoch != s.Epoch() {
		s.lose("the store shows owner " + document.Owner)
		return
	}
	s.gain(document, revision)
}

// tryClaim makes one attempt to take the shard over.
func (s *Shard) tryClaim(ctx context.Context) bool {
	registrations := s.manager.config.Members.Registrations()
	document, revision, err := s.manager.read(ctx, s.id)
	if err != nil {
		return false
	}
	s.epochFloor = max(s.epochFloor, document.Epoch)
	if document.heldBy(s.manager.self) {
		s.registrations = registrations
		s.gain(document, revision)
		return true
	}
	if !mayClaim(document, s.manager.config.Members.Entries()) {
		return false
	}
	next := claimed(document, s.manager.self, uuid.NewString(), s.epochFloor)
	data, err := wire.Marshal(next)
	if err != nil {
		s.manager.config.Logger.Error("cannot encode the shard", "shard", s.id, "error", err)
		return false
	}
	written, err := s.manager.write(ctx, s.id, revision, data)
	if errors.Is(err, store.ErrOutcomeUnknown) {
		s.claim = &unansweredClaim{expected: revision}
	}
	if err != nil {
		return false
	}
	s.registrations = registrations
	s.gain(next, written)
	return true
}

// unansweredClaim is a claim whose answer was lost.
type unansweredClaim struct {
	// expected is the store revision that the claim was written over.
	expected store.Revision
}

// settleClaim reads what became of a claim whose answer was lost. The entry looks until the shard has
// moved on, even if it is no longer the intended owner: a claim that takes effect unnoticed would
// leave the shard with an owner that neither serves nor releases it.
func (s *Shard) settleClaim(ctx context.Context) {
	registrations := s.manager.config.Members.Registrations()
	document, revision, err := s.manager.read(ctx, s.id)
	if err != nil {
		return
	}
	s.epochFloor = max(s.epochFloor, document.Epoch)
	if document.heldBy(s.manager.self) {
		s.registrations = registrations
		s.gain(document, revision)
		return
	}
	if revision != s.claim.expected {
		s.claim = nil
		return
	}
	if s.manager.config.Members.Backed() && s.intended() {
		s.tryClaim(ctx)
	}
}

// intended reports whether this entry is the shard's intended owner.
func (s *Shard) intended() bool {
	return intendedOwner(s.id, s.manager.config.Members.Entries()) == s.manager.self.Name
}

// release hands the shard to its intended owner. What waits is refused as not applied.
func (s *Shard) release(ctx context.Context) time.Duration {
	s.lose("released")
	next := released(s.Snapshot(), uuid.NewString())
	data, err := wire.Marshal(next)
	if err != nil {
		s.manager.config.Logger.Error("cannot encode the shard", "shard", s.id, "error", err)
		return untilWoken
	}
	if _, err := s.manager.write(ctx, s.id, s.revision, data); err == nil {
		return untilWoken
	}
	// The store still names this entry, or the answer was lost: read it and release again if needed.
	document, revision, err := s.manager.read(ctx, s.id)
	if err == nil && !document.heldBy(s.manager.self) {
		return untilWoken
	}
	if err == nil {
		s.revision = revision
	}
	return s.keepReleasing()
}

// keepReleasing takes the shard back so that the next step releases it again.
func (s *Shard) keepReleasing() time.Duration {
	s.gain(s.Snapshot(), s.revision)
	return pollInterval
}

// commit writes one batch of the waiting proposals.
func (s *Shard) commit(ctx context.Context) {
	next := prepare(s.Snapshot(), s.take(), uuid.NewString(), time.Now())
	if next == nil {
		return
	}
	s.warn(len(next.data))
	s.send(ctx, next)
	if s.pending != nil {
		s.resolve(ctx)
	}
}

// send makes one attempt to write the batch. The batch is pending afterwards if its outcome has to be
// read from the store.
func (s *Shard) send(ctx context.Context, next *batch) {
	s.wrote = time.Now()
	revision, err := s.manager.write(ctx, s.id, s.revision, next.data)
	var conflict *store.ConflictError
	switch {
	case err == nil:
		s.applied(next, revision)
	case errors.As(err, &conflict):
		s.pending = next
	case errors.Is(err, store.ErrOutcomeUnknown):
		next.uncertain = true
		s.pending = next
	case next.uncertain:
		s.pending = next
	default:
		s.finish(next, errors.WithMessage(ErrUnavailable, err.Error()))
	}
}

func (s *Shard) applied(next *batch, revision store.Revision) {
	s.gain(next.document, revision)
	s.finish(next, nil)
}

func (s *Shard) finish(done *batch, err error) {
	s.pending = nil
	done.answer(err)
}

// resolve reads back what became of the pending batch. If the shard is unchanged, the same value is
// written again: the lost write may still be on its way, and only a write that moves the revision
// excludes that it takes effect later.
func (s *Shard) resolve(ctx context.Context) {
	pending := s.pending
	current, revision, err := s.manager.read(ctx, s.id)
	if err != nil {
		s.refuse(errors.WithMessage(ErrUnavailable, err.Error()))
		return
	}
	switch judge(current, revision != s.revision, pending.document.Epoch, pending.document.CommitID) {
	case verdictApplied:
		s.finish(pending, nil)
		s.accept(current, revision)
	case verdictPending:
		s.send(ctx, pending)
	case verdictNotApplied:
		s.accept(current, revision)
		s.finish(pending, s.notApplied())
	case verdictUnknown:
		s.accept(current, revision)
		s.finish(pending, unknown(pending))
	}
}

// notApplied returns the reason for a batch that lost against another write.
func (s *Shard) notApplied() error {
	if s.isOwned() {
		return ErrUnavailable
	}
	return ErrNotOwner
}

// unknown returns the error of a batch that the store shows no trace of. A batch whose every write
// was refused was certainly not applied.
func unknown(pending *batch) error {
	if pending.uncertain {
		return ErrOutcomeUnknown
	}
	return ErrNotOwner
}

// warn logs once when the shard grows above warningBytes.
func (s *Shard) warn(size int) {
	large := size > warningBytes
	if large && !s.warned {
		s.manager.config.Logger.Warn("shard is large", "shard", s.id, "bytes", size, "limit", store.MaxValueBytes)
	}
	s.warned = large
}

// stop commits what waits and releases the shard, within stopTimeout.
func (s *Shard) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for s.pending != nil && ctx.Err() == nil {
		s.resolve(ctx)
		if s.pending != nil {
			s.wait(ctx, CommitInterval)
		}
	}
	if s.pending == nil && s.isOwned() && s.waiting() {
		s.commit(ctx)
	}
	if s.pending != nil {
		s.finish(s.pending, ErrOutcomeUnknown)
		s.lose("stopped with an unresolved commit")
		return
	}
	if s.isOwned() {
		s.release(ctx)
		s.lose("stopped")
	}
}
