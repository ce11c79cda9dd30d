package runner

import "time"

// roomBeside is how much of the shared resource fillers may use in addition beside a run.
type roomBeside struct {
	image string
	room  float64
	// relevant is the need of a filler from which on it is held back.
	relevant float64
}

// noteOver follows how long a run has been over its target. Once it is over, it counts so until it is well
// below: fillers that go on at the first figure below the target bring it over again.
func (p *pacer) noteOver(now time.Duration, s servingRun) {
	switch {
	case s.share <= clearShare:
		delete(p.overSince, s.task)
	case s.share > 1 && p.overSince[s.task] == 0:
		p.overSince[s.task] = now
	}
}

// overFor returns for how long a run has been over its target.
func (p *pacer) overFor(now time.Duration, s servingRun) time.Duration {
	since := p.overSince[s.task]
	if since == 0 {
		return 0
	}
	return now - since
}

// room returns how much of the shared resource fillers may use beside a run.
func (p *pacer) room(now time.Duration, s servingRun) float64 {
	if p.overFor(now, s) >= maxOver {
		return 0
	}
	return max(0, p.model.Usage(s.image, aimedShare)-p.model.Load(s.task))
}

// affordable returns the pace that the room beside all runs allows a filler.
func (p *pacer) affordable(filler fillerRun) int {
	part := 1.0
	for _, beside := range p.beside {
		if need := p.model.Pair(beside.image, filler.image) * filler.parts; need > beside.relevant {
			part = min(part, beside.room/need)
		}
	}
	return int(part * fullPace)
}

// take takes the room that a filler needs at a pace.
func (p *pacer) take(filler fillerRun, percent int) {
	for i := range p.beside {
		beside := &p.beside[i]
		used := p.model.Pair(beside.image, filler.image) * filler.parts * float64(percent) / fullPace
		beside.room = max(0, beside.room-used)
	}
}
