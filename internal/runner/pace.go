package runner

import (
	"cmp"
	"slices"
	"time"

	"clementineflow/internal/interference"
)

const (
	// fullPace is the pace of a run that is not held back, in percent.
	fullPace = 100
	// lowestPace is the smallest pace above a standstill.
	lowestPace = 10
	// heldPace is the pace below which a filler counts as held back.
	heldPace = 40
	// paceStep bounds how much a pace rises at a time; it falls without a bound.
	paceStep = 40
	// aimedShare is the share of a latency target that fillers may bring a run to.
	aimedShare = 0.9
	// maxOver is how long a run may be over its target before the fillers that press it stand still, and
	// maxOverOfAll before all fillers beside it do: what was learned of their pressure may be wrong.
	maxOver      = 900 * time.Millisecond
	maxOverOfAll = 2 * time.Second
	// clearShare is the share of its target at which a run that was over it counts as relieved.
	clearShare = 0.93
	// maxElapsed bounds the time for which the model lets its estimates drift at once.
	maxElapsed = 5 * time.Second
	// smallNeed is the part of the shared resource up to which a filler is not held back beside a run that keeps
	// its target; all of it lies between the aimed latency and the target. leastNeed goes for a run that is
	// over its target.
	smallNeed = 0.05
	leastNeed = 0.005
	// fallingFactor tells a latency that falls: the worker's figures still contain the former ones, so
	// nothing can be learned from it.
	fallingFactor = 1.6
	// adjustInterval is the time between two changes of the paces; the worker's figures are of about the
	// last half second.
	adjustInterval = 450 * time.Millisecond
	// patience is how long a filler must have been held back for its claim to double.
	patience = 2 * time.Second
)

// servingRun is a run with a latency target and its latest latency.
type servingRun struct {
	task  string
	image string
	// share is the latency as a share of the target.
	share float64
}

// fillerRun is a run that uses what others leave.
type fillerRun struct {
	task  string
	run   uint32
	image string
	// parts is what the run uses of the worker at full pace, and used what it has used lately.
	parts float64
	used  float64
}

// pace is the pace of one filler.
type pace struct {
	run     uint32
	percent int
	// applied is the pace that was last sent to the worker.
	applied int
	// heldSince is when the filler was last brought below heldPace.
	heldSince time.Duration
}

// pacer decides how fast fillers work beside runs with a latency target. It learns how much each image
// presses which run, and lets the fillers work as far as all targets are expected to be kept, those
// that press least first. It is pure: times are passed in.
type pacer struct {
	model   *interference.Pressure
	paces   map[string]*pace
	figures map[string]float64
	// overSince is since when each run that came over its target has not been well below it again.
	overSince  map[string]time.Duration
	adjustedAt time.Duration
	// beside holds the room that the latest paces leave beside each run.
	beside []roomBeside
}

func newPacer() pacer {
	return pacer{model: interference.NewPressure(), paces: map[string]*pace{}, figures: map[string]float64{}, overSince: map[string]time.Duration{}}
}

// reset forgets the runs, but not what was learned about images.
func (p *pacer) reset() {
	p.beside = nil
	p.paces, p.figures, p.overSince = map[string]*pace{}, map[string]float64{}, map[string]time.Duration{}
}

// adjust sets the paces of the fillers from the latest latencies.
func (p *pacer) adjust(now time.Duration, serving []servingRun, fillers []fillerRun) {
	p.follow(fillers)
	if len(serving) > 0 && now-p.adjustedAt < adjustInterval {
		return
	}
	p.model.Advance(min(now-p.adjustedAt, maxElapsed))
	p.adjustedAt = now
	p.learn(now, serving, fillers)
	p.share(now, serving, fillers)
}

// follow begins and forgets fillers.
func (p *pacer) follow(fillers []fillerRun) {
	present := make(map[string]bool, len(fillers))
	for _, filler := range fillers {
		present[filler.task] = true
		if known := p.paces[filler.task]; known == nil || known.run != filler.run {
			p.paces[filler.task] = &pace{run: filler.run, percent: fullPace, applied: fullPace}
		}
	}
	for task := range p.paces {
		if !present[task] {
			delete(p.paces, task)
		}
	}
}

// learn takes in how the runs fare beside the fillers that work now.
func (p *pacer) learn(now time.Duration, serving []servingRun, fillers []fillerRun) {
	var neighbours []interference.Neighbour
	for _, filler := range fillers {
		neighbours = append(neighbours, interference.Neighbour{Image: filler.image, Parts: filler.used})
	}
	figures := make(map[string]float64, len(serving))
	for _, s := range serving {
		former := p.figures[s.task]
		figures[s.task] = s.share
		p.noteOver(now, s)
		if former <= fallingFactor*s.share {
			p.model.Observe(s.task, s.image, s.share, neighbours)
		}
	}
	for task := range p.figures {
		if _, ok := figures[task]; !ok {
			p.model.Forget(task)
			delete(p.overSince, task)
		}
	}
	p.figures = figures
}

// share gives each filler the pace at which all runs are expected to keep their targets. Fillers that
// press least go first, and with time those that have been held back.
func (p *pacer) share(now time.Duration, serving []servingRun, fillers []fillerRun) {
	stalled := false
	p.beside = p.beside[:0]
	for _, s := range serving {
		stalled = stalled || p.overFor(now, s) >= maxOverOfAll
		relevant := smallNeed
		if s.share > 1 || p.overFor(now, s) >= maxOver {
			relevant = leastNeed
		}
		p.beside = append(p.beside, roomBeside{image: s.image, room: p.room(now, s), relevant: relevant})
	}
	ordered := slices.Clone(fillers)
	claims := make(map[string]float64, len(fillers))
	for _, filler := range fillers {
		claims[filler.task] = p.worstPressure(filler) / (1 + float64(p.held(filler.task, now))/float64(patience))
	}
	slices.SortStableFunc(ordered, func(x, y fillerRun) int { return cmp.Compare(claims[x.task], claims[y.task]) })
	for _, filler := range ordered {
		percent := p.affordable(filler)
		if stalled {
			percent = 0
		}
		p.take(filler, p.set(now, filler, percent))
	}
}

// admit returns the pace at which a filler that has just started may work until the next adjustment. The
// worker starts every run at full pace.
func (p *pacer) admit(now time.Duration, filler fillerRun) int {
	current := &pace{run: filler.run, percent: fullPace, applied: fullPace}
	p.paces[filler.task] = current
	percent := min(p.affordable(filler), fullPace)
	if percent < lowestPace {
		percent = 0
	}
	if percent < heldPace {
		current.heldSince = now
	}
	current.percent = percent
	p.take(filler, percent)
	return percent
}

// worstPressure returns the highest pressure of one part of a filler on the runs.
func (p *pacer) worstPressure(filler fillerRun) float64 {
	worst := 0.0
	for _, beside := range p.beside {
		worst = max(worst, p.model.Pair(beside.image, filler.image))
	}
	return worst
}

// set brings a filler towards a pace and returns its new one.
func (p *pacer) set(now time.Duration, filler fillerRun, percent int) int {
	current := p.paces[filler.task]
	percent = min(percent, current.percent+paceStep, fullPace)
	if percent < lowestPace {
		percent = 0
	}
	if percent < heldPace && current.percent >= heldPace {
		current.heldSince = now
	}
	current.percent = percent
	return percent
}

// changes returns the fillers whose pace has to be sent, with it, and takes them as sent.
func (p *pacer) changes(fillers []fillerRun) []paceChange {
	var result []paceChange
	for _, filler := range fillers {
		current := p.paces[filler.task]
		if current != nil && current.percent != current.applied {
			current.applied = current.percent
			result = append(result, paceChange{fillerRun: filler, percent: current.percent})
		}
	}
	return result
}

// paceChange is a pace to be sent to the worker.
type paceChange struct {
	fillerRun
	percent int
}

// failed takes in that a pace may not have reached the worker.
func (p *pacer) failed(change paceChange) {
	if current := p.paces[change.task]; current != nil && current.run == change.run && current.applied == change.percent {
		current.applied = -1
	}
}

// held returns how long the filler has worked at less than heldPace.
func (p *pacer) held(task string, now time.Duration) time.Duration {
	current := p.paces[task]
	if current == nil || current.percent >= heldPace {
		return 0
	}
	return now - current.heldSince
}
