package routing

import (
	"math"
	"time"

	"clementineflow/internal/wire"
)

// Weights and ages of latency samples.
const (
	// latencyGain is the weight of a new sample in the moving average.
	latencyGain = 0.2
	// latencyMaxAge is the age after which a latency is ignored, so that a worker that became slow and
	// therefore got no requests is tried again.
	latencyMaxAge = 10 * time.Second
)

// target is the state of one service on one worker.
type target struct {
	worker, incarnation, zone       string
	connected, leaving              bool
	zoneOutOfService                bool
	heartbeatAt, heartbeatExpiresAt time.Time
	// limit is the number of requests that the worker's targets accept at once.
	limit int
	// ownInProgress counts this entry's requests in progress; otherInProgress is the remainder of the
	// number that the worker reported.
	ownInProgress, otherInProgress int
	latency                        time.Duration
	latencyAt                      time.Time
	samples                        int
	ejection                       ejection
}

// applyState updates the target from the worker's announced targets of one service. Reported counts and
// latencies are used only if the state is newer than the last one.
func (t *target) applyState(worker *Worker, states []wire.TargetState, service string) {
	newer := worker.HeartbeatAt.After(t.heartbeatAt) || worker.Incarnation != t.incarnation
	t.worker, t.incarnation, t.zone = worker.Name, worker.Incarnation, worker.Zone
	t.connected, t.heartbeatAt = worker.Connected, worker.HeartbeatAt
	t.heartbeatExpiresAt = worker.HeartbeatAt.Add(HeartbeatTimeout)
	limit, used, accepting := 0, 0, false
	var reported int64
	for index := range states {
		state := &states[index]
		if state.Service != service {
			continue
		}
		used += max(state.SlotsUsed, state.ConnectionsUsed)
		if state.Leaving {
			continue
		}
		accepting = true
		limit += limitOf(state)
		reported = max(reported, state.LatencyMicros)
	}
	t.limit = limit
	t.leaving = worker.Leaving || !accepting
	if !newer {
		return
	}
	t.otherInProgress = max(0, used-t.ownInProgress)
	if t.samples == 0 && reported > 0 {
		t.latency, t.latencyAt = time.Duration(reported)*time.Microsecond, worker.HeartbeatAt
	}
}

// limitOf returns how many requests a target accepts at once. A limit of zero means that it is not
// declared; a target that declares neither slots nor connections gets no requests.
func limitOf(state *wire.TargetState) int {
	switch {
	case state.Slots <= 0:
		return max(0, state.Connections)
	case state.Connections <= 0:
		return state.Slots
	default:
		return min(state.Slots, state.Connections)
	}
}

// inProgress returns the estimated number of requests in progress over all entries.
func (t *target) inProgress() int { return t.ownInProgress + t.otherInProgress }

// full reports whether the worker has no free slot or connection.
func (t *target) full() bool { return t.inProgress() >= t.limit }

// addLatency adds one sample to the moving average. If the average is too old, the sample replaces it.
func (t *target) addLatency(now time.Time, latency time.Duration) {
	if t.samples == 0 || now.Sub(t.latencyAt) > latencyMaxAge {
		t.latency, t.samples = latency, 0
	}
	t.latency += time.Duration(latencyGain * float64(latency-t.latency))
	t.latencyAt = now
	t.samples++
}

// freshLatency returns the latency and whether it is known and at most latencyMaxAge old.
func (t *target) freshLatency(now time.Time) (time.Duration, bool) {
	return t.latency, t.latency > 0 && now.Sub(t.latencyAt) <= latencyMaxAge
}

// Bounds of the latency factor, so that latency feedback shifts work between workers without starving
// any of them.
const (
	minLatencyFactor = 0.5
	maxLatencyFactor = 4
)

// cost returns the expected delay at the worker relative to the service's median latency. A median of 0
// disables the latency factor.
func (t *target) cost(now time.Time, median time.Duration) float64 {
	factor := 1.0
	if latency, ok := t.freshLatency(now); ok && median > 0 {
		factor = float64(latency) / float64(median)
		factor = math.Min(maxLatencyFactor, math.Max(minLatencyFactor, factor))
	}
	return float64(t.inProgress()+1) * factor / float64(max(1, t.limit))
}
