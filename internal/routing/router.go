package routing

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Thresholds of routing.
const (
	// HeartbeatTimeout is the age of the last heartbeat after which a worker gets no requests: two
	// heartbeats are missing and the third is late.
	HeartbeatTimeout = 2500 * time.Millisecond
	// maxOwnZoneLoad is the share of the own zone's limit that is in progress from which on workers of all
	// zones are used.
	maxOwnZoneLoad = 0.8
	// ownZoneSlowFactor is the ratio to the service's median latency above which a worker is not preferred
	// for being in the own zone, because a slow worker costs more time than a request to another zone.
	ownZoneSlowFactor = 1.25
	// medianInterval is the maximum age of the cached median latency of a service.
	medianInterval = 100 * time.Millisecond
)

// Router holds the routing state of one entry and chooses workers for its requests.
type Router struct {
	zone     string
	random   *rand.Rand
	services map[string]*service
	disabled Disabled
}

// Disabled selects parts of the policy to disable, so that their effect can be measured.
type Disabled struct {
	// LatencyFeedback makes the cost of a worker depend only on its limit and its requests in progress.
	LatencyFeedback bool
	// Ejection disables the ejection of failing and slow workers.
	Ejection bool
}

// NewWithDisabled returns a router for an entry in the zone with parts of the policy disabled.
func NewWithDisabled(zone string, seed uint64, disabled Disabled) *Router {
	r := New(zone, seed)
	r.disabled = disabled
	return r
}

// service is the state of the workers of one service.
type service struct {
	targets []*target // sorted by worker name, so that equal seeds give equal decisions
	byName  map[string]*target
	// candidates and ownZoneCandidates are buffers that Pick reuses to avoid allocations.
	candidates, ownZoneCandidates []*target
	median                        time.Duration
	medianAt                      time.Time
	serviceTime                   time.Duration
	budget                        RetryBudget
}

// New returns a router for an entry in the zone. Equal seeds and inputs give equal decisions.
func New(zone string, seed uint64) *Router {
	return &Router{
		zone:     zone,
		random:   rand.New(rand.NewPCG(seed, seed)),
		services: make(map[string]*service),
	}
}

// Update replaces the state of all workers. The state of a worker that is no longer listed, including
// its ejection, is removed once this entry has no request in progress there.
func (r *Router) Update(workers []Worker, zoneInService func(zone string) bool) {
	for _, s := range r.services {
		for _, t := range s.targets {
			t.connected, t.limit = false, 0
		}
	}
	for index := range workers {
		r.updateWorker(&workers[index], zoneInService)
	}
	for name, s := range r.services {
		s.removeUnused()
		if len(s.targets) == 0 {
			delete(r.services, name)
		}
	}
}

// updateWorker updates the targets of one worker.
func (r *Router) updateWorker(worker *Worker, zoneInService func(zone string) bool) {
	for index := range worker.Targets {
		name := worker.Targets[index].Service
		if slices.ContainsFunc(worker.Targets[:index], func(t wireTarget) bool { return t.Service == name }) {
			continue
		}
		t := r.service(name).target(worker.Name)
		t.applyState(worker, worker.Targets, name)
		t.zoneOutOfService = !zoneInService(worker.Zone)
	}
}

// service returns the state of a service and creates it if needed.
func (r *Router) service(name string) *service {
	s, ok := r.services[name]
	if !ok {
		s = &service{byName: make(map[string]*target), budget: NewRetryBudget()}
		r.services[name] = s
	}
	return s
}

// target returns the state of a worker and creates it if needed.
func (s *service) target(worker string) *target {
	t, ok := s.byName[worker]
	if ok {
		return t
	}
	t = &target{worker: worker}
	s.byName[worker] = t
	position, _ := slices.BinarySearchFunc(s.targets, worker, func(t *target, name string) int {
		if t.worker < name {
			return -1
		}
		return 1
	})
	s.targets = slices.Insert(s.targets, position, t)
	return t
}

// removeUnused removes workers that no longer announce the service and have no request of this entry in
// progress.
func (s *service) removeUnused() {
	s.targets = slices.DeleteFunc(s.targets, func(t *target) bool {
		removable := !t.connected && t.limit == 0 && t.ownInProgress == 0
		if removable {
			delete(s.byName, t.worker)
		}
		return removable
	})
}

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
