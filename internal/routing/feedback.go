package routing

import (
	"time"

	"clementineflow/internal/wire"
)

// wireTarget keeps signatures short.
type wireTarget = wire.TargetState

// Result is what became of one attempt at a worker.
type Result uint8

// Results of an attempt.
const (
	// ResultAnswered is a complete answer below status 500.
	ResultAnswered Result = iota + 1
	// ResultFailed is a status of 500 or above, a broken connection or an unknown outcome.
	ResultFailed
	// ResultNotRun says that the worker refused for lack of room or because it leaves; that is no failure.
	ResultNotRun
)

// Started records that a request was sent to a worker.
func (r *Router) Started(name, worker string) {
	s, ok := r.services[name]
	if !ok {
		return
	}
	if t, ok := s.byName[worker]; ok {
		t.own++
	}
}

// Finished records the result of an attempt that Started counted. It returns an Ejection if the
// worker was ejected for it.
func (r *Router) Finished(now time.Time, name, worker string, result Result, latency time.Duration) (Ejection, bool) {
	s, ok := r.services[name]
	if !ok {
		return Ejection{}, false
	}
	t, ok := s.byName[worker]
	if !ok {
		return Ejection{}, false
	}
	t.own = max(0, t.own-1)
	switch result {
	case ResultAnswered:
		t.ejection.failures = 0
		t.observe(now, latency)
		s.observe(latency)
	case ResultFailed:
		t.ejection.failures++
	case ResultNotRun:
		return Ejection{}, false
	}
	cause, outlier := s.outlier(now, t)
	if !outlier || r.without.Ejection || t.ejection.active(now) || !s.mayEject(now, t) {
		return Ejection{}, false
	}
	length := t.ejection.begin(now)
	t.samples = 0
	return Ejection{Service: name, Worker: worker, Cause: cause, For: length}, true
}

// outlier reports whether the worker fails or is slow apart from its peers.
func (s *service) outlier(now time.Time, t *target) (EjectionCause, bool) {
	if t.ejection.failures >= failuresToEject {
		return EjectedForFailures, true
	}
	median := s.medianLatency(now)
	slow := t.samples >= slowSamples && median > 0 &&
		t.latency > slowFactor*median && t.latency-median > slowFloor
	return EjectedForLatency, slow
}

// mayEject reports whether the rules allow one more ejected worker.
func (s *service) mayEject(now time.Time, t *target) bool {
	look := s.survey(now, "")
	var standing Exclusions
	if !t.standing(now, &standing) {
		return true // it gets nothing now, and the rules are checked again when it returns
	}
	look.ejected++
	look.restLimit -= t.limit
	return look.ejectionsHold()
}

// observe adds a sample to the service time over all workers.
func (s *service) observe(latency time.Duration) {
	if s.serviceTime == 0 {
		s.serviceTime = latency
	}
	s.serviceTime += time.Duration(latencyGain * float64(latency-s.serviceTime))
}

// Load is the observed state of a service.
type Load struct {
	// InProgress counts requests in progress; Limit is how many the eligible workers hold at once.
	InProgress, Limit int
	// ServiceTime is the observed mean; zero before the first answer.
	ServiceTime time.Duration
}

// Load returns the observed state of a service.
func (r *Router) Load(now time.Time, name string) Load {
	s, ok := r.services[name]
	if !ok {
		return Load{}
	}
	look := s.survey(now, r.zone)
	limit := 0
	var standing Exclusions
	for _, t := range s.targets {
		if t.standing(now, &standing) {
			limit += t.limit
		}
	}
	return Load{InProgress: look.inProgress, Limit: limit, ServiceTime: s.serviceTime}
}

// Budget returns the retry budget of a service.
func (r *Router) Budget(name string) *RetryBudget { return &r.service(name).budget }
