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
	// latencyMaxAge is the age after which a latency no longer counts, so that a worker that became
	// slow and then got no requests is tried again.
	latencyMaxAge = 10 * time.Second
)

// target is the state of one service on one worker.
type target struct {
	worker, incarnation, zone string
	connected, leaving        bool
	zoneOut                   bool
	heardAt, silentAt         time.Time
	// limit is the number of requests that the worker's targets hold at once.
	limit int
	// own counts the requests of this entry in progress; others is the rest that was reported.
	own, others int
	latency     time.Duration
	latencyAt   time.Time
	samples     int
	ejection    ejection
}

// announce takes over the announced targets of one service.
func (t *target) announce(worker *Worker, states []wire.TargetState, service string) {
	fresh := worker.HeardAt.After(t.heardAt) || worker.Incarnation != t.incarnation
	t.worker, t.incarnation, t.zone = worker.Name, worker.Incarnation, worker.Zone
	t.connected, t.heardAt = worker.Connected, worker.HeardAt
	t.silentAt = worker.HeardAt.Add(SilentAfter)
	limit, used, live := 0, 0, false
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
		live = true
		limit += limitOf(state)
		reported = max(reported, state.LatencyMicros)
	}
	t.limit = limit
	t.leaving = worker.Leaving || !live
	if !fresh {
		return
	}
	t.others = max(0, used-t.own)
	if t.samples == 0 && reported > 0 {
		t.latency, t.latencyAt = time.Duration(reported)*time.Microsecond, worker.HeardAt
	}
}

// limitOf returns how many requests a target holds at once. A limit of zero is not declared; a target
// that declares neither gets nothing.
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

// inProgress returns the best known number of requests in progress.
func (t *target) inProgress() int { return t.own + t.others }

// full reports whether the worker has no free slot or connection.
func (t *target) full() bool { return t.inProgress() >= t.limit }

// observe adds one latency sample.
func (t *target) observe(now time.Time, latency time.Duration) {
	if t.samples == 0 || now.Sub(t.latencyAt) > latencyMaxAge {
		t.latency, t.samples = latency, 0
	}
	t.latency += time.Duration(latencyGain * float64(latency-t.latency))
	t.latencyAt = now
	t.samples++
}

// freshLatency returns the latency if it still counts.
func (t *target) freshLatency(now time.Time) (time.Duration, bool) {
	return t.latency, t.latency > 0 && now.Sub(t.latencyAt) <= latencyMaxAge
}

// Bounds of the latency factor: feedback shifts work between workers without starving one.
const (
	minLatencyFactor = 0.5
	maxLatencyFactor = 4
)

// cost returns the expected delay at the worker in units of the service's median; the least is chosen.
func (t *target) cost(now time.Time, median time.Duration) float64 {
	factor := 1.0
	if latency, ok := t.freshLatency(now); ok && median > 0 {
		factor = float64(latency) / float64(median)
		factor = math.Min(maxLatencyFactor, math.Max(minLatencyFactor, factor))
	}
	return float64(t.inProgress()+1) * factor / float64(max(1, t.limit))
}
