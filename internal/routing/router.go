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
