package lease

import (
	"time"

	"clementineflow/internal/wire"
)

// workerBoot identifies one boot of a worker's runtime. The boot ID is empty if the worker stated none.
type workerBoot struct {
	worker string
	bootID string
}

// SilenceDetector records when an entry acknowledged each worker, and decides whether the entry denies a worker.
// An entry that denies a worker states that it acknowledged no heartbeat of it within SilenceTerm.
type SilenceDetector struct {
	startedAt time.Time
	acks      map[workerBoot]time.Time
	prunedAt  time.Time
}

// NewSilenceDetector returns a detector without acknowledgements for an entry that started at startedAt.
func NewSilenceDetector(startedAt time.Time) *SilenceDetector {
	return &SilenceDetector{startedAt: startedAt, prunedAt: startedAt, acks: map[workerBoot]time.Time{}}
}

// Acknowledge records that a heartbeat is acknowledged at now. It must be called before the
// acknowledgement is sent, so that Verdict never misses an acknowledgement in transit.
func (s *SilenceDetector) Acknowledge(worker, bootID string, now time.Time) {
	key := workerBoot{worker: worker, bootID: bootID}
	if now.After(s.acks[key]) {
		s.acks[key] = now
	}
	s.prune(now)
}

// Verdict returns whether the entry denies one boot of a worker. An acknowledgement to a worker that
// stated no boot ID counts for each of its boots. An entry that started less than SilenceTerm ago denies
// no worker, because it has no record of acknowledgements before its start.
func (s *SilenceDetector) Verdict(worker, bootID string, now time.Time) wire.AckStatus {
	if s.acknowledgedRecently(workerBoot{worker: worker, bootID: bootID}, now) || s.acknowledgedRecently(workerBoot{worker: worker}, now) {
		return wire.AckStatusRecent
	}
	if now.Sub(s.startedAt) < SilenceTerm {
		return wire.AckStatusUptimeTooShort
	}
	return wire.AckStatusNone
}

// acknowledgedRecently reports whether the boot was acknowledged within SilenceTerm.
func (s *SilenceDetector) acknowledgedRecently(key workerBoot, now time.Time) bool {
	at, ok := s.acks[key]
	return ok && now.Sub(at) < SilenceTerm
}

// prune removes acknowledgements older than SilenceTerm, so that records of replaced workers do not
// accumulate. It runs at most once per SilenceTerm.
func (s *SilenceDetector) prune(now time.Time) {
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
