package runner

import "time"

// runHeadroom is how much more of the shared resource fillers may use beside a serving run.
type runHeadroom struct {
	image     string
	available float64
	// minNeed is the need above which a filler is limited to the available room.
	minNeed float64
	// limits holds the highest paces of fillers to which the available room does not apply.
	limits map[string]int
}

// updateOverSince records since when a run is over its target. The run counts as over until its latency falls
// to recoveredRatio: fillers that resume at the first latency below the target push it over again.
func (p *pacer) updateOverSince(now time.Duration, s servingRun) {
	switch {
	case s.latencyRatio <= recoveredRatio:
		delete(p.overSince, s.task)
	case s.latencyRatio > 1 && p.overSince[s.task] == 0:
		p.overSince[s.task] = now
	}
}

// overTargetFor returns how long a run has been over its target, or 0 if it is not.
func (p *pacer) overTargetFor(now time.Duration, s servingRun) time.Duration {
	since := p.overSince[s.task]
	if since == 0 {
		return 0
	}
	return now - since
}

// availableBeside returns how much of the shared resource fillers may use beside a run.
func (p *pacer) availableBeside(now time.Duration, s servingRun) float64 {
	if p.overTargetFor(now, s) >= pausePressingAfter {
		return 0
	}
	return max(0, p.model.Usage(s.image, aimedLatencyRatio)-p.model.Load(s.task))
}

// affordablePercent returns the highest pace of a filler that the available room beside all runs allows.
func (p *pacer) affordablePercent(filler fillerRun) int {
	fraction, limit := 1.0, fullPacePercent
	for _, headroom := range p.headrooms {
		if highest, ok := headroom.limits[filler.task]; ok {
			limit = min(limit, highest)
			continue
		}
		if need := p.model.Pair(headroom.image, filler.image) * filler.partsAtFullPace; need > headroom.minNeed {
			fraction = min(fraction, headroom.available/need)
		}
	}
	return min(limit, int(fraction*fullPacePercent))
}

// reserve subtracts the room that a filler needs at a pace.
func (p *pacer) reserve(filler fillerRun, percent int) {
	for i := range p.headrooms {
		headroom := &p.headrooms[i]
		used := p.model.Pair(headroom.image, filler.image) * filler.partsAtFullPace * float64(percent) / fullPacePercent
		headroom.available = max(0, headroom.available-used)
	}
}
