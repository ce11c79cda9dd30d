package lease

import (
	"time"

	"clementineflow/internal/wire"
)

// workerBoot identifies one boot of a worker's runtime.
type workerBoot struct {
	worker string
	bootID string
}

// Silence is an entry's memory of its acknowledgements, from which it denies workers.
type Silence struct {
	startedAt time.Time
	acks      map[workerBoot]time.Time
	prunedAt  time.Time
}

// NewSilence returns the empty memory of an entry that started at startedAt.
func NewSilence(startedAt time.Time) *Silence {
	return &Silence{startedAt: startedAt, prunedAt: startedAt, acks: map[workerBoot]time.Time{}}
}

// Acknowledge records that a heartbeat is acknowledged at now. It must be called before the
// acknowledgement is sent, so that no verdict overlooks one under way.
func (s *Silence) Acknowledge(worker, bootID string, now time.Time) {
	key := workerBoot{worker: worker, bootID: bootID}
	if now.After(s.acks[key]) {
		s.acks[key] = now
	}
	s.prune(now)
}

// Verdict returns the entry's statement about one boot of a worker. An acknowledgement to a worker that
// stated no boot id counts for each of its boots.
func (s *Silence) Verdict(worker, bootID string, now time.Time) wire.SilenceVerdict {
	if s.recent(workerBoot{worker: worker, bootID: bootID}, now) || s.recent(workerBoot{worker: worker}, now) {
		return wire.SilenceAcknowledged
	}
	if now.Sub(s.startedAt) < SilenceTerm {
		return wire.SilenceTooYoung
	}
	return wire.SilenceDenied
}

// recent reports whether the boot was acknowledged within SilenceTerm.
func (s *Silence) recent(key workerBoot, now time.Time) bool {
	at, ok := s.acks[key]
	return ok && now.Sub(at) < SilenceTerm
}

// prune drops acknowledgements that no longer matter, at most once in SilenceTerm, so that replaced
// workers do not accumulate.
func (s *Silence) prune(now time.Time) {
	if now.Sub(s.prunedAt) < SilenceTerm {
		return
	}
	s.prunedAt = now
	for key, at := range s.acks {
		if now.Sub(at) >= SilenceTerm {
			delete(s.acks, key)
		}
	}
}
