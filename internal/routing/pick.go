package routing

import (
	"slices"
	"time"
)

// Thresholds of the choice of a worker.
const (
	// maxOwnZoneLoad is the share of the own zone's limit that is in progress from which on workers of all
	// zones are used.
	maxOwnZoneLoad = 0.8
	// ownZoneSlowFactor is the ratio to the service's median latency above which a worker is not preferred
	// for being in the own zone, because a slow worker costs more time than a request to another zone.
	ownZoneSlowFactor = 1.25
)

// serviceCounts holds totals over the workers of a service.
type serviceCounts struct {
	excluded                        Exclusions
	eligible                        int // routable workers, ejected ones included
	ejected                         int
	remainingLimit                  int // limit of the eligible workers that are not ejected
	inProgress                      int
	ownZoneLimit, ownZoneInProgress int
}

// Pick chooses a worker for a request of the service, except those in tried. It does not count the
// request as started; see RecordStart.
func (r *Router) Pick(now time.Time, name string, tried []string) Decision {
	s, ok := r.services[name]
	if !ok || len(s.targets) == 0 {
		return Decision{Reason: ReasonNoTarget}
	}
	counts := s.countWorkers(now, r.zone)
	// Ejections apply only while at most half of the workers are ejected and the others can serve the
	// load. Otherwise they are ignored, because a failing worker is better than none.
	ignoreEjections := counts.ejected > 0 && !counts.ejectionsHold()
	s.collectCandidates(now, r.zone, tried, ignoreEjections, &counts)
	decision := Decision{Excluded: counts.excluded, Candidates: len(s.candidates), EjectionsIgnored: ignoreEjections}
	candidates := s.candidates
	decision.Reason = ReasonAllZones
	if len(s.ownZoneCandidates) > 0 && float64(counts.ownZoneInProgress) < maxOwnZoneLoad*float64(counts.ownZoneLimit) {
		candidates, decision.Reason = s.ownZoneCandidates, ReasonOwnZone
	}
	if len(candidates) == 0 {
		decision.Reason = ReasonNoCandidate
		return decision
	}
	chosen := r.chooseOfTwo(now, s, candidates)
	if len(s.candidates) == 1 {
		decision.Reason = ReasonOnlyCandidate
	}
	decision.Worker, decision.Incarnation = chosen.worker, chosen.incarnation
	decision.InProgress = chosen.inProgress()
	return decision
}

// isRoutable reports whether a worker can get requests now, apart from its load, its ejection and
// earlier attempts. If not, it counts the reason in excluded.
func (t *target) isRoutable(now time.Time, excluded *Exclusions) bool {
	switch {
	case !t.connected:
		excluded.Disconnected++
	case t.leaving:
		excluded.Leaving++
	case t.zoneOutOfService:
		excluded.ZoneOut++
	case now.After(t.heartbeatExpiresAt):
		excluded.Silent++
	default:
		return true
	}
	return false
}

// countWorkers totals the routable workers of the service, ejected ones included.
func (s *service) countWorkers(now time.Time, zone string) serviceCounts {
	var counts serviceCounts
	for _, t := range s.targets {
		if !t.isRoutable(now, &counts.excluded) {
			continue
		}
		counts.eligible++
		counts.inProgress += t.inProgress()
		if t.ejection.active(now) {
			counts.ejected++
			continue
		}
		counts.remainingLimit += t.limit
		if t.zone == zone {
			counts.ownZoneLimit += t.limit
			counts.ownZoneInProgress += t.inProgress()
		}
	}
	return counts
}

// ejectionsHold reports whether at most half of the workers are ejected and the others can serve the
// load.
func (l *serviceCounts) ejectionsHold() bool {
	return 2*l.ejected <= l.eligible && float64(l.inProgress) <= maxRemainingLoad*float64(l.remainingLimit)
}

// collectCandidates fills candidates and ownZoneCandidates, and counts the excluded workers.
func (s *service) collectCandidates(now time.Time, zone string, tried []string, ignoreEjections bool, counts *serviceCounts) {
	s.candidates, s.ownZoneCandidates = s.candidates[:0], s.ownZoneCandidates[:0]
	median := s.medianLatency(now)
	var ignored Exclusions
	for _, t := range s.targets {
		if !t.isRoutable(now, &ignored) {
			continue
		}
		switch {
		case t.ejection.active(now) && !ignoreEjections:
			counts.excluded.Ejected++
		case t.full():
			counts.excluded.Full++
		case slices.Contains(tried, t.worker):
			counts.excluded.Tried++
		default:
			s.candidates = append(s.candidates, t)
			if t.zone == zone && !t.isSlow(now, median) {
				s.ownZoneCandidates = append(s.ownZoneCandidates, t)
			}
		}
	}
}

// isSlow reports whether the worker's latency is so far above the median over all zones that a worker
// in another zone may answer sooner.
func (t *target) isSlow(now time.Time, median time.Duration) bool {
	latency, ok := t.freshLatency(now)
	return ok && median > 0 && float64(latency) > ownZoneSlowFactor*float64(median)
}

// chooseOfTwo draws two candidates at random and returns the one with the lower cost. The second draw
// excludes the first, so that two different candidates are compared.
func (r *Router) chooseOfTwo(now time.Time, s *service, candidates []*target) *target {
	if len(candidates) == 1 {
		return candidates[0]
	}
	first := r.random.IntN(len(candidates))
	second := r.random.IntN(len(candidates) - 1)
	if second >= first {
		second++
	}
	median := s.medianLatency(now)
	if r.disabled.LatencyFeedback {
		median = 0
	}
	if candidates[second].cost(now, median) < candidates[first].cost(now, median) {
		return candidates[second]
	}
	return candidates[first]
}

// medianLatency returns the median of the workers' fresh latencies, or 0 if there is none. The result
// is cached for medianInterval.
func (s *service) medianLatency(now time.Time) time.Duration {
	if now.Sub(s.medianAt) < medianInterval {
		return s.median
	}
	latencies := make([]time.Duration, 0, len(s.targets))
	for _, t := range s.targets {
		if latency, ok := t.freshLatency(now); ok {
			latencies = append(latencies, latency)
		}
	}
	s.median, s.medianAt = 0, now
	if len(latencies) > 0 {
		slices.Sort(latencies)
		s.median = latencies[(len(latencies)-1)/2]
	}
	return s.median
}
