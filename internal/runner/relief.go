package runner

import (
	"cmp"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Relief is which fillers are paused beside a run over its latency target.
type Relief string

// Kinds of relief. The zero value is ReliefAll.
const (
	// ReliefAll pauses all fillers with pressure on the run.
	ReliefAll Relief = "all"
	// ReliefLargest pauses the filler with the largest pressure on the run first; the others go on at their paces.
	ReliefLargest Relief = "largest"
)

// reliefInterval is the minimum time between two reliefs of a run. The worker's measurements cover about half a second
// and are smoothed, so the effect of a pause shows in full after two of them only.
const reliefInterval = 800 * time.Millisecond

var (
	pausedLargest = metrics.NewCounter(`clementine_filler_reliefs_total{paused="largest"}`)
	pausedAll     = metrics.NewCounter(`clementine_filler_reliefs_total{paused="all"}`)
)

// reliefPlan holds the reliefs of the runs that are over their targets.
type reliefPlan struct {
	mode      Relief
	runs      map[string]*runRelief
	decisions []reliefDecision
}

// runRelief is the state of a run since it went over its target.
type runRelief struct {
	// pausedAt is when fillers were last paused for the run, or zero.
	pausedAt time.Duration
	// allPaused is set once all fillers are paused.
	allPaused bool
}

// reliefDecision is a decision to pause a filler, or all if all is set, beside the serving run.
type reliefDecision struct {
	serving      string
	latencyRatio float64
	all          bool
	filler       string
	// need is the share of the shared resource that the filler uses at full pace.
	need float64
	// others is the number of other fillers with pressure on the run that go on.
	others int
}

// contribution is the effect of a filler at work on a serving run.
type contribution struct {
	task string
	need float64
	// used is the share of the shared resource that the filler uses at its pace.
	used float64
}

func newReliefPlan() reliefPlan { return reliefPlan{runs: map[string]*runRelief{}} }

// takeDecisions returns the decisions since the last call.
func (r *reliefPlan) takeDecisions() []reliefDecision {
	decisions := r.decisions
	r.decisions = nil
	return decisions
}

// relieve returns the highest paces of the fillers with pressure on a run that is over its target: 0 for those that it
// pauses, and the current pace of the others. It returns nil for other runs and unless the mode is ReliefLargest.
func (p *pacer) relieve(now time.Duration, s servingRun, fillers []fillerRun) map[string]int {
	if p.relief.mode != ReliefLargest || p.overSince[s.task] == 0 {
		delete(p.relief.runs, s.task)
		return nil
	}
	state := p.relief.runs[s.task]
	if state == nil {
		state = &runRelief{}
		p.relief.runs[s.task] = state
	}
	limits, working := p.contributions(s, fillers)
	switch {
	case p.overTargetFor(now, s) >= pauseAllAfter:
		// allocatePaces pauses all fillers.
		if !state.allPaused {
			p.relief.decisions = append(p.relief.decisions, reliefDecision{serving: s.task, latencyRatio: s.latencyRatio, all: true})
		}
		state.allPaused = true
	case s.latencyRatio > 1 && len(working) > 0 && (state.pausedAt == 0 || now-state.pausedAt >= reliefInterval):
		state.pausedAt = now
		p.pauseLargest(s, working, limits)
	}
	return limits
}

// contributions returns the current paces of the fillers with pressure on a run, and those at work in the order of their
// pressure, the largest first.
func (p *pacer) contributions(s servingRun, fillers []fillerRun) (paces map[string]int, working []contribution) {
	paces = map[string]int{}
	for _, filler := range fillers {
		need := p.model.Pair(s.image, filler.image) * filler.partsAtFullPace
		if need <= negligibleNeedOverTarget {
			continue
		}
		percent := p.paces[filler.task].percent
		paces[filler.task] = percent
		if percent > 0 {
			working = append(working, contribution{task: filler.task, need: need, used: need * float64(percent) / fullPacePercent})
		}
	}
	slices.SortFunc(working, func(x, y contribution) int { return cmp.Or(cmp.Compare(y.need, x.need), cmp.Compare(x.task, y.task)) })
	return paces, working
}

// pauseLargest pauses the filler with the largest pressure, and those after it as long as the model expects the run to
// stay over its aim and their needs are not negligible.
func (p *pacer) pauseLargest(s servingRun, working []contribution, limits map[string]int) {
	expected := p.model.Load(s.task)
	for _, c := range working {
		expected += c.used
	}
	aim := p.model.Usage(s.image, aimedLatencyRatio)
	for i, c := range working {
		if i > 0 && (expected <= aim || c.need <= negligibleNeed) {
			return
		}
		limits[c.task] = 0
		expected -= c.used
		p.relief.decisions = append(p.relief.decisions, reliefDecision{
			serving: s.task, latencyRatio: s.latencyRatio, filler: c.task, need: c.need, others: len(working) - i - 1,
		})
	}
}
