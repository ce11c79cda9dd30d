package routing

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Thresholds of routing.
const (
	// SilentAfter is the age of the last heartbeat after which a worker gets no requests: two
	// heartbeats are missing and the third is late.
	SilentAfter = 2500 * time.Millisecond
	// ownZoneLoad is the share of the own zone's slots in progress above which all zones are used.
	ownZoneLoad = 0.8
	// ownZoneSlow is the ratio to the service's median latency above which a worker is not preferred for
	// being in the own zone: a slow neighbour costs more than the way to another zone.
	ownZoneSlow = 1.25
	// medianInterval bounds how old the cached median latency of a service is.
	medianInterval = 100 * time.Millisecond
)

// Router holds the routing state of one entry.
type Router struct {
	zone     string
	random   *rand.Rand
	services map[string]*service
	without  Without
}

// Without names parts of the policy that are switched off, so that their effect can be measured.
type Without struct {
	// LatencyFeedback makes the cost of a worker depend on its requests in progress only.
	LatencyFeedback bool
	// Ejection keeps failing and slow workers among the candidates.
	Ejection bool
}

// NewWithout returns a router of an entry in the zone that lacks parts of the policy.
func NewWithout(zone string, seed uint64, without Without) *Router {
	r := New(zone, seed)
	r.without = without
	return r
}

// service is the state of the workers of one service.
type service struct {
	targets []*target // sorted by worker name, so that equal seeds give equal decisions
	byName  map[string]*target
	// pool is reused by Pick.
	pool, ownPool []*target
	median        time.Duration
	medianAt      time.Time
	serviceTime   time.Duration
	budget        RetryBudget
}

// New returns a router of an entry in the zone.
func New(zone string, seed uint64) *Router {
	return &Router{
		zone:     zone,
		random:   rand.New(rand.NewPCG(seed, seed)),
		services: make(map[string]*service),
	}
}

// Update takes over the state of all workers. Requests in progress and ejections of a worker that is
// no longer listed are forgotten once nothing is in progress there.
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
		s.sweep()
		if len(s.targets) == 0 {
			delete(r.services, name)
		}
	}
}

// updateWorker takes over the targets of one worker.
func (r *Router) updateWorker(worker *Worker, zoneInService func(zone string) bool) {
	for index := range worker.Targets {
		name := worker.Targets[index].Service
		if slices.ContainsFunc(worker.Targets[:index], func(t wireTarget) bool { return t.Service == name }) {
			continue
		}
		t := r.service(name).target(worker.Name)
		t.announce(worker, worker.Targets, name)
		t.zoneOut = !zoneInService(worker.Zone)
	}
}

// service returns the state of a service, new if needed.
func (r *Router) service(name string) *service {
	s, ok := r.services[name]
	if !ok {
		s = &service{byName: make(map[string]*target), budget: NewRetryBudget()}
		r.services[name] = s
	}
	return s
}

// target returns the state of a worker, new if needed.
func (s *service) target(worker string) *target {
	t, ok := s.byName[worker]
	if ok {
		return t
	}
	t = &target{worker: worker}
	s.byName[worker] = t
	at, _ := slices.BinarySearchFunc(s.targets, worker, func(t *target, name string) int {
		if t.worker < name {
			return -1
		}
		return 1
	})
	s.targets = slices.Insert(s.targets, at, t)
	return t
}

// sweep drops workers that no longer announce the service and have nothing in progress.
func (s *service) sweep() {
	s.targets = slices.DeleteFunc(s.targets, func(t *target) bool {
		gone := !t.connected && t.limit == 0 && t.own == 0
		if gone {
			delete(s.byName, t.worker)
		}
		return gone
	})
}

// survey is the result of looking at each worker of a service once.
type survey struct {
	excluded         Exclusions
	eligible         int
	ejected          int
	restLimit        int
	inProgress       int
	ownZone, ownLoad int
}

// Pick chooses a worker for a request of the service. Workers in tried are not chosen.
func (r *Router) Pick(now time.Time, name string, tried []string) Decision {
	s, ok := r.services[name]
	if !ok || len(s.targets) == 0 {
		return Decision{Reason: ReasonNoTarget}
	}
	look := s.survey(now, r.zone)
	// Ejections hold only while at most half of the workers are ejected and the rest can carry the
	// load; otherwise failing workers are better than none.
	ignore := look.ejected > 0 && !look.ejectionsHold()
	s.collect(now, r.zone, tried, ignore, &look)
	decision := Decision{Excluded: look.excluded, Candidates: len(s.pool), EjectionsIgnored: ignore}
	pool := s.pool
	decision.Reason = ReasonAllZones
	if len(s.ownPool) > 0 && float64(look.ownLoad) < ownZoneLoad*float64(look.ownZone) {
		pool, decision.Reason = s.ownPool, ReasonOwnZone
	}
	if len(pool) == 0 {
		decision.Reason = ReasonNoCandidate
		return decision
	}
	chosen := r.better(now, s, pool)
	if len(s.pool) == 1 {
		decision.Reason = ReasonOnlyCandidate
	}
	decision.Worker, decision.Incarnation = chosen.worker, chosen.incarnation
	decision.InProgress = chosen.inProgress()
	return decision
}

// standing returns the reason for which a worker cannot get requests now, apart from its load.
func (t *target) standing(now time.Time, excluded *Exclusions) bool {
	switch {
	case !t.connected:
		excluded.Disconnected++
	case t.leaving:
		excluded.Leaving++
	case t.zoneOut:
		excluded.ZoneOut++
	case now.After(t.silentAt):
		excluded.Silent++
	default:
		return true
	}
	return false
}

// survey counts the workers of the service that could get requests, ejected ones included.
func (s *service) survey(now time.Time, zone string) survey {
	var look survey
	for _, t := range s.targets {
		if !t.standing(now, &look.excluded) {
			continue
		}
		look.eligible++
		look.inProgress += t.inProgress()
		if t.ejection.active(now) {
			look.ejected++
			continue
		}
		look.restLimit += t.limit
		if t.zone == zone {
			look.ownZone += t.limit
			look.ownLoad += t.inProgress()
		}
	}
	return look
}

// ejectionsHold reports whether at most half of the workers are ejected and the rest can carry the load.
func (l *survey) ejectionsHold() bool {
	return 2*l.ejected <= l.eligible && float64(l.inProgress) <= carryShare*float64(l.restLimit)
}

// collect fills the pools with the candidates.
func (s *service) collect(now time.Time, zone string, tried []string, ignoreEjections bool, look *survey) {
	s.pool, s.ownPool = s.pool[:0], s.ownPool[:0]
	median := s.medianLatency(now)
	var standing Exclusions
	for _, t := range s.targets {
		if !t.standing(now, &standing) {
			continue
		}
		switch {
		case t.ejection.active(now) && !ignoreEjections:
			look.excluded.Ejected++
		case t.full():
			look.excluded.Full++
		case slices.Contains(tried, t.worker):
			look.excluded.Tried++
		default:
			s.pool = append(s.pool, t)
			if t.zone == zone && !t.slow(now, median) {
				s.ownPool = append(s.ownPool, t)
			}
		}
	}
}

// slow reports whether the way to another zone may be worth it: the worker's latency is well above
// the median over all zones.
func (t *target) slow(now time.Time, median time.Duration) bool {
	latency, ok := t.freshLatency(now)
	return ok && median > 0 && float64(latency) > ownZoneSlow*float64(median)
}

// better draws two workers and returns the one with the lower cost. The second draw excludes the
// first, so that two candidates are always compared.
func (r *Router) better(now time.Time, s *service, pool []*target) *target {
	if len(pool) == 1 {
		return pool[0]
	}
	first := r.random.IntN(len(pool))
	second := r.random.IntN(len(pool) - 1)
	if second >= first {
		second++
	}
	median := s.medianLatency(now)
	if r.without.LatencyFeedback {
		median = 0
	}
	if pool[second].cost(now, median) < pool[first].cost(now, median) {
		return pool[second]
	}
	return pool[first]
}

// medianLatency returns the median of the workers' fresh latencies, at most medianInterval old.
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
