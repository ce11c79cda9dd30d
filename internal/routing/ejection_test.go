package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func countEjected(router *Router, now time.Time) int {
	counts := router.services[serviceName].countWorkers(now, "")
	return counts.ejected
}

// TestEjection guards against a failing or slow worker that still gets requests, and against repeated
// ejections whose duration does not grow.
func TestEjection(t *testing.T) {
	is := is.New(t)
	router := New("z0", 1)
	router.Update(newWorkers(4, "z0"), allZones)
	var ejection Ejection
	for range failuresToEject {
		router.RecordStart(serviceName, "w000")
		ejection, _ = router.RecordResult(start, serviceName, "w000", ResultFailed, 0)
	}
	is.Equal(ejection, Ejection{Service: serviceName, Worker: "w000", Cause: EjectedForFailures, Duration: firstEjection})
	for range 100 {
		is.True(router.Pick(start, serviceName, nil).Worker != "w000")
	}
	now := start.Add(firstEjection)
	for range failuresToEject {
		ejection, _ = router.RecordResult(now, serviceName, "w000", ResultFailed, 0)
	}
	is.Equal(ejection.Duration, 2*firstEjection)

	router = New("z0", 1)
	router.Update(newWorkers(4, "z0"), allZones)
	var slow bool
	for round := range minSlowSamples {
		now = start.Add(time.Duration(round) * medianInterval)
		for _, worker := range []string{"w001", "w002", "w003"} {
			router.RecordResult(now, serviceName, worker, ResultAnswered, 10*time.Millisecond)
		}
		ejection, slow = router.RecordResult(now, serviceName, "w000", ResultAnswered, 100*time.Millisecond)
	}
	is.True(slow)
	is.Equal(ejection.Cause, EjectedForLatency)
}

// failUntilEjected records as many failures as an ejection takes and reports whether the worker was
// ejected.
func failUntilEjected(router *Router, worker string) bool {
	ejected := false
	for range failuresToEject {
		_, wasEjected := router.RecordResult(start, serviceName, worker, ResultFailed, 0)
		ejected = ejected || wasEjected
	}
	return ejected
}

// TestEjectionLimits guards against ejecting more than half of the workers, or so many that the others
// cannot serve the load, and against ejections that still apply after healthy workers have left.
func TestEjectionLimits(t *testing.T) {
	is := is.New(t)
	router := New("z0", 1)
	workers := newWorkers(4, "z0")
	router.Update(workers, allZones)
	is.True(failUntilEjected(router, "w000"))
	is.True(failUntilEjected(router, "w001"))
	is.True(!failUntilEjected(router, "w002"))
	is.Equal(router.Pick(start, serviceName, nil).Excluded.Ejected, 2)
	workers[3].Leaving = true
	router.Update(workers, allZones)
	decision := router.Pick(start, serviceName, nil)
	is.True(decision.EjectionsIgnored)
	is.Equal(decision.Candidates, 3)

	router = New("z0", 1)
	workers = newWorkers(4, "z0")
	router.Update(workers, allZones)
	for _, worker := range []string{"w001", "w002", "w003"} {
		for range 7 { // 21 in progress; without w000 there are 24 slots, of which at most 19 may be used
			router.RecordStart(serviceName, worker)
		}
	}
	is.True(!failUntilEjected(router, "w000"))
}

// TestSilentAndFull guards against routing a request to a worker whose heartbeats have stopped or that
// has no free slot.
func TestSilentAndFull(t *testing.T) {
	is := is.New(t)
	router := New("z0", 1)
	workers := newWorkers(3, "z0")
	workers[0].HeartbeatAt = start.Add(-HeartbeatTimeout - 1)
	workers[1].Targets[0].SlotsUsed = 8
	router.Update(workers, allZones)
	for range 8 {
		decision := router.Pick(start, serviceName, nil)
		is.Equal(decision.Worker, "w002")
		is.Equal(decision.Excluded, Exclusions{Silent: 1, Full: 1})
		router.RecordStart(serviceName, "w002")
	}
	is.Equal(router.Pick(start, serviceName, nil).Reason, ReasonNoCandidate)
	is.Equal(router.Pick(start, serviceName, []string{"w000"}).Excluded, Exclusions{Silent: 1, Full: 2})
}
