package routing

import (
	"time"

	"clementineflow/internal/wire"
)

// wireTarget abbreviates wire.TargetState.
type wireTarget = wire.TargetState

// Result is the result of one attempt at a worker.
type Result uint8

// Results of an attempt.
const (
	// ResultAnswered is a complete answer below status 500.
	ResultAnswered Result = iota + 1
	// ResultFailed is a status of 500 or above, a broken connection or an unknown outcome.
	ResultFailed
	// ResultNotRun is a refusal for lack of capacity or because the worker is leaving; it does not count
	// as a failure.
	ResultNotRun
)

// RecordStart records that a request was sent to a worker. Unknown services and workers are ignored.
func (r *Router) RecordStart(name, worker string) {
	s, ok := r.services[name]
	if !ok {
		return
	}
	if t, ok := s.byName[worker]; ok {
		t.ownInProgress++
	}
}

// RecordResult records the result of an attempt that RecordStart recorded. If the result caused the worker to
// be ejected, it returns the Ejection and true.
func (r *Router) RecordResult(now time.Time, name, worker string, result Result, latency time.Duration) (Ejection, bool) {
	s, ok := r.services[name]
	if !ok {
		return Ejection{}, false
	}
	t, ok := s.byName[worker]
	if !ok {
		return Ejection{}, false
	}
	t.ownInProgress = max(0, t.ownInProgress-1)
	switch result {
	case ResultAnswered:
		t.ejection.failures = 0
		t.addLatency(now, latency)
		s.addLatency(latency)
	case ResultFailed:
		t.ejection.failures++
	case ResultNotRun:
		return Ejection{}, false
	}
	cause, outlier := s.checkOutlier(now, t)
	if !outlier || r.disabled.Ejection || t.ejection.active(now) || !s.mayEject(now, t) {
		return Ejection{}, false
	}
	duration := t.ejection.begin(now)
	t.samples = 0
	return Ejection{Service: name, Worker: worker, Cause: cause, Duration: duration}, true
}

// checkOutlier reports whether the worker has failed repeatedly or is much slower than the service's
// median. The cause is only valid if it is true.
func (s *service) checkOutlier(now time.Time, t *target) (EjectionCause, bool) {
	if t.ejection.failures >= failuresToEject {
		return EjectedForFailures, true
	}
	median := s.medianLatency(now)
	slow := t.samples >= minSlowSamples && median > 0 &&
		t.latency > ejectSlowFactor*median && t.latency-median > minSlowDifference
	return EjectedForLatency, slow
}

// mayEject reports whether the worker may be ejected in addition to those that already are.
func (s *service) mayEject(now time.Time, t *target) bool {
	counts := s.countWorkers(now, "")
	var ignored Exclusions
	if !t.isRoutable(now, &ignored) {
		return true // it gets no requests now; Pick checks the limits again once it does
	}
	counts.ejected++
	counts.remainingLimit -= t.limit
	return counts.ejectionsHold()
}

// addLatency adds a sample to the mean service time over all workers.
func (s *service) addLatency(latency time.Duration) {
	if s.serviceTime == 0 {
		s.serviceTime = latency
	}
	s.serviceTime += time.Duration(latencyGain * float64(latency-s.serviceTime))
}

// Load is the observed state of a service.
type Load struct {
	// InProgress is the number of requests in progress; Limit is the number of requests that the eligible
	// workers accept at once.
	InProgress, Limit int
	// ServiceTime is the moving average of the latency; zero before the first answer.
	ServiceTime time.Duration
}

// Load returns the observed state of a service; it is zero for an unknown service.
func (r *Router) Load(now time.Time, name string) Load {
	s, ok := r.services[name]
	if !ok {
		return Load{}
	}
	counts := s.countWorkers(now, r.zone)
	limit := 0
	var ignored Exclusions
	for _, t := range s.targets {
		if t.isRoutable(now, &ignored) {
			limit += t.limit
		}
	}
	return Load{InProgress: counts.inProgress, Limit: limit, ServiceTime: s.serviceTime}
}

// Budget returns the retry budget of a service, creating the service's state if needed.
func (r *Router) Budget(name string) *RetryBudget { return &r.service(name).budget }
