package runner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"clementineflow/internal/interference"
)

const (
	// fullPacePercent is the pace of a run that is not held back.
	fullPacePercent = 100
	// minPacePercent is the smallest pace above 0; a lower one is set to 0.
	minPacePercent = 10
	// unknownPercent stands for the pace of a run that the agent has not set, as the call failed or a former process of the
	// agent may have set another one.
	unknownPercent = -1
	// heldBackPercent is the pace below which a filler counts as held back.
	heldBackPercent = 40
	// maxPaceIncrease is the maximum rise of a pace per adjustment, in percentage points. A fall has no limit.
	maxPaceIncrease = 40
	// aimedLatencyRatio is the ratio of latency to target up to which fillers may load a run.
	aimedLatencyRatio = 0.9
	// pausePressingAfter is how long a run may be over its target before the fillers with pressure on it are
	// paused. After pauseAllAfter all fillers are paused, since the learned pressures may be wrong.
	pausePressingAfter = 900 * time.Millisecond
	pauseAllAfter      = 2 * time.Second
	// recoveredRatio is the ratio of latency to target at which a run that was over its target counts as
	// recovered.
	recoveredRatio = 0.93
	// maxModelAdvance is the maximum time by which one adjustment advances the drift of the model's estimates.
	maxModelAdvance = 5 * time.Second
	// negligibleNeed is the need of the shared resource up to which a filler is not held back beside a run that
	// keeps its target: the margin between aimedLatencyRatio and the target covers it.
	// negligibleNeedOverTarget applies beside a run that is over its target.
	negligibleNeed           = 0.05
	negligibleNeedOverTarget = 0.005
	// fallingLatencyFactor is the ratio of the previous to the current latency above which the latency counts
	// as falling. Such a sample is not learned from: the worker's measurements are smoothed and still contain
	// earlier ones.
	fallingLatencyFactor = 1.6
	// adjustInterval is the minimum time between two adjustments of the paces; the worker's measurements cover
	// about the last half second.
	adjustInterval = 450 * time.Millisecond
	// priorityDoublingTime is how long a filler must have been held back for its priority to double.
	priorityDoublingTime = 2 * time.Second
	// minWorkPerValue is the least work for a unit of value that distinguishes fillers, in seconds of processor time. It
	// also stands for an unknown one.
	minWorkPerValue = 1
)

// servingRun is a run with a latency target and its latest latency.
type servingRun struct {
	task  string
	image string
	// latencyRatio is the latest latency divided by the target.
	latencyRatio float64
}

// fillerRun is a run that uses the capacity that other runs leave unused.
type fillerRun struct {
	task  string
	run   uint32
	image string
	// partsAtFullPace is the run's use of processors at full pace, partsUsed its latest measured use, both in
	// parts of the worker as returned by interference.Parts.
	partsAtFullPace float64
	partsUsed       float64
	// workPerValue is the processor time, in seconds, that the run's job needs for each unit of value, or zero if it is not
	// known.
	workPerValue float64
}

// fillerPace is the pace of one filler.
type fillerPace struct {
	run     uint32
	percent int
	// sentPercent is the pace that was last sent to the worker, or unknownPercent.
	sentPercent int
	// heldBackSince is when the pace last fell below heldBackPercent, pausedSince when it last fell to 0.
	heldBackSince time.Duration
	pausedSince   time.Duration
}

// set changes the pace and records when it fell.
func (f *fillerPace) set(now time.Duration, percent int) {
	if percent < heldBackPercent && f.percent >= heldBackPercent {
		f.heldBackSince = now
	}
	if percent == 0 && f.percent > 0 {
		f.pausedSince = now
	}
	f.percent = percent
}

// pacer sets how fast fillers work beside runs with a latency target. It learns the pressure of each filler
// image on each serving image, and lets fillers work as far as all targets are expected to be kept, those
// with the least pressure first. It reads no clock: callers pass the time.
type pacer struct {
	model         *interference.PressureModel
	paces         map[string]*fillerPace
	latencyRatios map[string]float64
	// overSince is when each run went over its target that has not recovered since.
	overSince  map[string]time.Duration
	adjustedAt time.Duration
	// headrooms holds, for each serving run, the room that the latest paces leave.
	headrooms []runHeadroom
	relief    reliefPlan
}

func newPacer() pacer {
	return pacer{
		model: interference.NewPressureModel(), paces: map[string]*fillerPace{}, latencyRatios: map[string]float64{},
		overSince: map[string]time.Duration{}, relief: newReliefPlan(),
	}
}

// resetRuns drops the runs and keeps the learned pressures of images.
func (p *pacer) resetRuns() {
	p.headrooms = nil
	p.paces, p.latencyRatios, p.overSince = map[string]*fillerPace{}, map[string]float64{}, map[string]time.Duration{}
	p.relief.runs = map[string]*runRelief{}
}

// adjust sets the paces of the fillers from the latest latencies. With serving runs it changes the paces at
// most once per adjustInterval.
func (p *pacer) adjust(now time.Duration, serving []servingRun, fillers []fillerRun) {
	p.syncFillers(fillers)
	if len(serving) > 0 && now-p.adjustedAt < adjustInterval {
		return
	}
	p.model.Advance(min(now-p.adjustedAt, maxModelAdvance))
	p.adjustedAt = now
	p.observeLatencies(now, serving, fillers)
	p.allocatePaces(now, serving, fillers)
}

// syncFillers adds fillers that were not admitted, with an unknown pace, and removes those that are gone.
func (p *pacer) syncFillers(fillers []fillerRun) {
	present := make(map[string]bool, len(fillers))
	for _, filler := range fillers {
		present[filler.task] = true
		if known := p.paces[filler.task]; known == nil || known.run != filler.run {
			p.paces[filler.task] = &fillerPace{run: filler.run, percent: fullPacePercent, sentPercent: unknownPercent}
		}
	}
	for task := range p.paces {
		if !present[task] {
			delete(p.paces, task)
		}
	}
}

// observeLatencies updates the model with the latencies of the serving runs beside the fillers at work.
func (p *pacer) observeLatencies(now time.Duration, serving []servingRun, fillers []fillerRun) {
	var neighbours []interference.Neighbour
	for _, filler := range fillers {
		neighbours = append(neighbours, interference.Neighbour{Image: filler.image, Parts: filler.partsUsed})
	}
	latencyRatios := make(map[string]float64, len(serving))
	for _, s := range serving {
		formerRatio := p.latencyRatios[s.task]
		latencyRatios[s.task] = s.latencyRatio
		p.updateOverSince(now, s)
		if formerRatio <= fallingLatencyFactor*s.latencyRatio {
			p.model.Observe(s.task, s.image, s.latencyRatio, neighbours)
		}
	}
	for task := range p.latencyRatios {
		if _, ok := latencyRatios[task]; !ok {
			p.model.RemoveRun(task)
			delete(p.overSince, task)
			delete(p.relief.runs, task)
		}
	}
	p.latencyRatios = latencyRatios
}

// allocatePaces sets the pace of each filler so that all serving runs are expected to keep their targets.
// Fillers with the least pressure come first, and of similar ones that of the job whose delay costs most; the longer a
// filler is held back, the earlier it comes.
func (p *pacer) allocatePaces(now time.Duration, serving []servingRun, fillers []fillerRun) {
	pauseAll := false
	p.headrooms = p.headrooms[:0]
	for _, s := range serving {
		pauseAll = pauseAll || p.overTargetFor(now, s) >= pauseAllAfter
		minNeed := negligibleNeed
		if s.latencyRatio > 1 || p.overTargetFor(now, s) >= pausePressingAfter {
			minNeed = negligibleNeedOverTarget
		}
		p.headrooms = append(p.headrooms, runHeadroom{
			image: s.image, available: p.availableBeside(now, s), minNeed: minNeed, limits: p.relieve(now, s, fillers),
		})
	}
	ordered := slices.Clone(fillers)
	sortKeys := make(map[string]float64, len(fillers))
	for _, filler := range fillers {
		sortKeys[filler.task] = p.paceKey(filler, now)
	}
	slices.SortStableFunc(ordered, func(x, y fillerRun) int { return cmp.Compare(sortKeys[x.task], sortKeys[y.task]) })
	for _, filler := range ordered {
		percent := p.affordablePercent(filler)
		if pauseAll {
			percent = 0
		}
		p.reserve(filler, p.setPace(now, filler, percent))
	}
}

// paceKey returns the key by which fillers get room: the smallest comes first. The cost of the delay of the job counts with
// its square root: with its full weight, fillers with much pressure displaced several with little.
func (p *pacer) paceKey(filler fillerRun, now time.Duration) float64 {
	patience := 1 + float64(p.heldBackFor(filler.task, now))/float64(priorityDoublingTime)
	return p.maxPressure(filler) * math.Sqrt(max(filler.workPerValue, minWorkPerValue)) / patience
}

// admitFiller returns the pace of a filler that has just started, until the next adjustment. The worker
// starts every run at full pace.
func (p *pacer) admitFiller(now time.Duration, filler fillerRun) int {
	current := &fillerPace{run: filler.run, percent: fullPacePercent, sentPercent: fullPacePercent}
	p.paces[filler.task] = current
	percent := min(p.affordablePercent(filler), fullPacePercent)
	if percent < minPacePercent {
		percent = 0
	}
	current.set(now, percent)
	p.reserve(filler, percent)
	return percent
}

// maxPressure returns the highest pressure of one part of the filler's image on any serving run.
func (p *pacer) maxPressure(filler fillerRun) float64 {
	highest := 0.0
	for _, headroom := range p.headrooms {
		highest = max(highest, p.model.Pair(headroom.image, filler.image))
	}
	return highest
}

// setPace moves a filler's pace towards percent, within the pace limits, and returns the new pace.
func (p *pacer) setPace(now time.Duration, filler fillerRun, percent int) int {
	current := p.paces[filler.task]
	percent = min(percent, current.percent+maxPaceIncrease, fullPacePercent)
	if percent < minPacePercent {
		percent = 0
	}
	current.set(now, percent)
	return percent
}

// takeChanges returns the paces that have to be sent to the worker, and marks them as sent.
func (p *pacer) takeChanges(fillers []fillerRun) []paceChange {
	var result []paceChange
	for _, filler := range fillers {
		current := p.paces[filler.task]
		if current != nil && current.percent != current.sentPercent {
			current.sentPercent = current.percent
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

// markUnsent makes takeChanges return a pace again that may not have reached the worker.
func (p *pacer) markUnsent(change paceChange) {
	if current := p.paces[change.task]; current != nil && current.run == change.run && current.sentPercent == change.percent {
		current.sentPercent = unknownPercent
	}
}

// heldBackFor returns how long the filler's pace has been below heldBackPercent.
func (p *pacer) heldBackFor(task string, now time.Duration) time.Duration {
	current := p.paces[task]
	if current == nil || current.percent >= heldBackPercent {
		return 0
	}
	return now - current.heldBackSince
}

// pausedFor returns how long the filler has been paused, or 0 if it is not or if the worker may not have got the pace.
func (p *pacer) pausedFor(task string, now time.Duration) time.Duration {
	current := p.paces[task]
	if current == nil || current.percent > 0 || current.sentPercent != 0 {
		return 0
	}
	return now - current.pausedSince
}
