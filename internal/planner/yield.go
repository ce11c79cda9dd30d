package planner

import (
	"cmp"
	"slices"
	"time"

	"clementineflow/internal/wire"
)

const (
	// yieldAfter is how long a filler stands at 0 percent before it is stopped. Shorter pauses follow the load of the
	// runs beside it and end by themselves.
	yieldAfter = 2 * time.Second
	// yieldInterval is the minimum time between two stops of throttled fillers on one worker: each stop changes what the
	// others there can use.
	yieldInterval = 500 * time.Millisecond
	// destinationHold is how long a worker is no further destination after a filler was stopped for it. The filler takes
	// that long to save its checkpoint, end and be placed.
	destinationHold = time.Second
	// returnAfter is how long a stopped filler is not placed on the worker that it has left. The load there is taken to be
	// the same for that time, after which fillers are placed without headroom too.
	returnAfter = fillerPatience
	// maxPausedAge is the age up to which a report on paused fillers counts; agents report each second.
	maxPausedAge = 1500 * time.Millisecond
	// maxPassAge is the age of the latest placement pass up to which a stopped filler is expected to be placed soon.
	maxPassAge = time.Second
	// maxYieldedPercent is the progress from which a filler without checkpoints keeps its slot.
	maxYieldedPercent = 25
)

// YieldCounts counts decisions about paused fillers.
type YieldCounts struct {
	// Stopped counts fillers that were stopped, Kept those that stay where they are because no other worker takes them.
	Stopped int
	Kept    int
}

// yieldedRun is a run that was stopped because it was throttled.
type yieldedRun struct {
	agent string
	until time.Duration
}

// excludes reports whether the task must not return to the agent's worker yet.
func (y yieldedRun) excludes(a *agent, now time.Duration) bool {
	return now < y.until && y.agent == a.name
}

// pausedFillers are the fillers at 0 percent that an agent has reported.
type pausedFillers struct {
	rows       []wire.ThrottledRow
	reportedAt time.Duration
	// nextStopAt is when the next throttled filler on the worker may be stopped, heldUntil until when the worker is no
	// destination of another one.
	nextStopAt time.Duration
	heldUntil  time.Duration
}

// any reports whether fillers are paused now.
func (f *pausedFillers) any(now time.Duration) bool {
	return len(f.rows) > 0 && now-f.reportedAt <= maxPausedAge
}

// TakeYields returns the numbers of decisions about paused fillers since the last call.
func (p *Planner) TakeYields() YieldCounts {
	counts := p.yields
	p.yields = YieldCounts{}
	return counts
}

// yieldPaused stops fillers that have stood at 0 percent for yieldAfter and that another worker takes, at most one on each
// worker. It follows a placement pass, so that what is free is not wanted by a waiting task.
func (p *Planner) yieldPaused() {
	if !p.options.YieldThrottled || p.operator.Config == nil || p.now-p.stalls.assignedAt > maxPassAge {
		return
	}
	// No destination depends on where the filler is, so one search for each shape is enough.
	refused := map[shape]bool{}
	for _, a := range p.workers {
		if a.available() && a.paused.any(p.now) && p.now >= a.paused.nextStopAt {
			p.yieldLongestPaused(a, refused)
		}
	}
}

// yieldLongestPaused stops the filler on the worker that has been paused longest of those that may be stopped and that
// another worker takes.
func (p *Planner) yieldLongestPaused(a *agent, refused map[shape]bool) {
	rows := slices.SortedFunc(slices.Values(a.paused.rows), func(x, y wire.ThrottledRow) int {
		return cmp.Or(cmp.Compare(y.DurationMillis, x.DurationMillis), cmp.Compare(x.Task, y.Task))
	})
	for i := range rows {
		r, ok := p.yieldable(a, &rows[i])
		if !ok {
			continue
		}
		key := newShape(p.service(r.entry), r.definition())
		var destination *option
		if !refused[key] {
			destination = p.yieldDestination(r, a)
		}
		if destination == nil {
			// The bounds of its job, and the worker that it has left, exclude destinations for this task only.
			shared := r.definition().MaxPerWorker == 0 && p.now >= r.run().yielded.until
			refused[key] = refused[key] || shared
			p.keepPaused(r, a, &rows[i])
			continue
		}
		p.log("stopping paused filler", "task", rows[i].Task, "run", rows[i].Run, "from", a.name, "to_about", destination.agent.name,
			"paused_ms", rows[i].DurationMillis, "percent", r.run().percent, "headroom", destination.headroom, "headroom_here", p.currentHeadroom(a))
		p.yields.Stopped++
		p.sendAway(r, a, destination.agent)
		return
	}
}

// yieldable returns the task of a paused filler, or false if it must not be stopped now. A task that is suspected of
// crashes stays: it would endanger the runs on another worker.
func (p *Planner) yieldable(a *agent, row *wire.ThrottledRow) (ref, bool) {
	r, ok := p.movableFiller(a, row)
	if !ok || row.DurationMillis < yieldAfter.Milliseconds() || p.suspected(r) {
		return ref{}, false
	}
	return r, r.definition().Checkpoints || r.run().percent < maxYieldedPercent
}

// yieldDestination returns the worker that would take a paused filler without throttling it, or nil if there is none.
func (p *Planner) yieldDestination(r ref, from *agent) *option {
	found := p.optionsFor(r.entry, r.step, p.workers, soundWorkers)
	found.list = slices.DeleteFunc(found.list, func(candidate option) bool {
		other := candidate.agent
		return other == from || candidate.headroom < 0 || p.now < other.paused.heldUntil || other.paused.any(p.now)
	})
	return found.best(r)
}

// keepPaused logs and counts, once for each run, that a paused filler stays where it is.
func (p *Planner) keepPaused(r ref, a *agent, row *wire.ThrottledRow) {
	if r.run().keptPaused {
		return
	}
	r.run().keptPaused = true
	p.yields.Kept++
	p.log("paused filler stays: no other worker takes it", "task", row.Task, "run", row.Run, "agent", a.name,
		"paused_ms", row.DurationMillis, "percent", r.run().percent, "headroom_here", p.currentHeadroom(a))
}
