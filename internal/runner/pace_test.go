package runner

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/interference"
)

// sharedWorker is a worker on which one run serves and two kinds of fillers work: "heavy" presses it,
// "light" does not.
type sharedWorker struct {
	pacer   pacer
	random  *rand.Rand
	figure  float64
	now     time.Duration
	fillers []fillerRun
	// overFor is how long the run has been over its target on end, and longest the longest such time.
	overFor time.Duration
	longest time.Duration
	over    int
	// worked is the work of each kind of filler, in core seconds.
	worked map[string]float64
}

const (
	sampleInterval = 500 * time.Millisecond
	heavyPressure  = 0.10
)

func newSharedWorker(seed uint64) *sharedWorker {
	return &sharedWorker{
		pacer: newPacer(), random: rand.New(rand.NewPCG(seed, 3)), worked: map[string]float64{},
		fillers: []fillerRun{
			{task: "a", run: 1, image: "heavy", parts: 2},
			{task: "b", run: 1, image: "heavy", parts: 2},
			{task: "c", run: 1, image: "heavy", parts: 2},
			{task: "d", run: 1, image: "light", parts: 2},
		},
	}
}

// step plays half a second. Figures still contain a part of the former ones.
func (w *sharedWorker) step(paced bool) {
	w.now += sampleInterval
	usage := 0.35 + 0.1*w.random.Float64()
	for i, filler := range w.fillers {
		percent := fullPace
		if current := w.pacer.paces[filler.task]; paced && current != nil {
			percent = current.percent
		}
		cores := filler.parts * float64(percent) / fullPace
		w.fillers[i].used = cores
		w.worked[filler.image] += cores * sampleInterval.Seconds()
		if filler.image == "heavy" {
			usage += heavyPressure * cores
		}
	}
	share := 0.2 / (1 - min(usage, 0.98))
	w.figure = 0.3*w.figure + 0.7*share
	w.overFor += sampleInterval
	if share <= 1 {
		w.overFor = 0
	} else {
		w.over++
	}
	w.longest = max(w.longest, w.overFor)
	w.pacer.adjust(w.now, []servingRun{{task: "s", image: "serving", share: w.figure}}, w.fillers)
	// The worker takes the paces at once.
	w.pacer.changes(w.fillers)
}

// TestPacerThrottlesTheNeighbourThatHurts guards against fillers that keep a run over its target for four
// seconds on end, and against harmless fillers that are held back together with the harmful ones. The
// plain way to compare with is no pacing at all, and half pace for all.
func TestPacerThrottlesTheNeighbourThatHurts(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		w := newSharedWorker(seed)
		for range 120 {
			w.step(true)
		}
		is.True(w.longest < 4*time.Second)
		is.True(w.over < 40)                  // of 120 samples; without pacing nearly all
		is.True(w.worked["light"] > 0.9*2*60) // the light filler worked at nearly full pace
		is.True(w.worked["heavy"] > 0.3*6*60) // and the heavy ones were not stopped for good
		plain := newSharedWorker(seed)
		for range 120 {
			plain.step(false)
		}
		is.True(plain.over > 100)
	}
}

// TestPacerWithoutServingRuns guards against fillers that stay held back after the run that they pressed
// has gone.
func TestPacerWithoutServingRuns(t *testing.T) {
	is := is.New(t)
	w := newSharedWorker(1)
	for range 10 {
		w.step(true)
	}
	for range 4 {
		w.now += sampleInterval
		w.pacer.adjust(w.now, nil, w.fillers)
	}
	for _, filler := range w.fillers {
		is.Equal(w.pacer.paces[filler.task].percent, fullPace)
	}
}

// TestPacerRepeatsLostPaces guards against a filler that works on at its former pace because the order
// got no answer.
func TestPacerRepeatsLostPaces(t *testing.T) {
	is := is.New(t)
	p := newPacer()
	fillers := []fillerRun{{task: "a", run: 1, image: "x", parts: 1}}
	p.follow(fillers)
	p.set(time.Second, fillers[0], 20)
	changes := p.changes(fillers)
	is.Equal(len(changes), 1)
	is.Equal(len(p.changes(fillers)), 0)
	p.failed(changes[0])
	is.Equal(len(p.changes(fillers)), 1)
}

// besideRun returns a pacer that has seen one run at the share of its target beside no fillers.
func besideRun(share float64) (*pacer, []servingRun) {
	p := newPacer()
	serving := []servingRun{{task: "s", image: "serving", share: share}}
	for sample := range 10 {
		p.adjust(time.Duration(sample+1)*sampleInterval, serving, nil)
	}
	return &p, serving
}

// TestFillerIsAdmittedAtAPace guards against a filler that works at full pace until the next look: half a
// second of a filler that presses hard keeps the runs beside it over their targets for seconds.
func TestFillerIsAdmittedAtAPace(t *testing.T) {
	is := is.New(t)
	p, _ := besideRun(0.4)
	p.model.Adopt(interference.Pair{Class: "serving", Neighbour: "heavy"}, interference.PressureEstimate{Value: 0.2, Samples: 50})
	p.model.Adopt(interference.Pair{Class: "serving", Neighbour: "light"}, interference.PressureEstimate{Value: 0, Samples: 50})
	now := 11 * sampleInterval
	is.True(p.admit(now, fillerRun{task: "a", run: 1, image: "heavy", parts: 3}) < 60)
	is.Equal(p.admit(now, fillerRun{task: "b", run: 1, image: "light", parts: 3}), fullPace)
	is.Equal(p.admit(now, fillerRun{task: "c", run: 1, image: "heavy", parts: 3}), 0) // "a" has taken the room
	changes := p.changes([]fillerRun{{task: "a", run: 1}, {task: "b", run: 1}, {task: "c", run: 1}})
	is.Equal(len(changes), 2) // the worker starts runs at full pace
}

// TestWronglyTrustedFillersStop guards against a run that stays over its target because the filler that
// presses it was learned to be harmless: such fillers worked on for four seconds in a played day.
func TestWronglyTrustedFillersStop(t *testing.T) {
	is := is.New(t)
	p, serving := besideRun(0.4)
	p.model.Adopt(interference.Pair{Class: "serving", Neighbour: "trusted"}, interference.PressureEstimate{Value: 0, Samples: 1e6})
	fillers := []fillerRun{{task: "a", run: 1, image: "trusted", parts: 0.5, used: 0.5}}
	serving[0].share = 3
	stoppedAfter := time.Duration(0)
	for sample := range 8 {
		now := time.Duration(11+sample) * sampleInterval
		p.adjust(now, serving, fillers)
		if p.paces["a"].percent == 0 {
			stoppedAfter = time.Duration(sample) * sampleInterval
			break
		}
	}
	is.True(stoppedAfter > 0 && stoppedAfter <= maxOverOfAll+sampleInterval)
	// The first figure just below the target does not let the filler work again.
	serving[0].share = 0.95
	p.adjust(30*sampleInterval, serving, fillers)
	is.Equal(p.paces["a"].percent, 0)
	serving[0].share = 0.5
	p.adjust(31*sampleInterval, serving, fillers)
	is.True(p.paces["a"].percent > 0)
}

// TestSmallNeedsAreNotHeldBack guards against fillers that hardly press being stopped at the peak of a load:
// without room they all stood still, though they would not have brought the run over its target.
func TestSmallNeedsAreNotHeldBack(t *testing.T) {
	is := is.New(t)
	p, serving := besideRun(0.85)
	p.model.Adopt(interference.Pair{Class: "serving", Neighbour: "light"}, interference.PressureEstimate{Value: 0.005, Samples: 500})
	fillers := []fillerRun{{task: "a", run: 1, image: "light", parts: 3, used: 3}}
	for sample := range 4 {
		p.adjust(time.Duration(11+sample)*sampleInterval, serving, fillers)
	}
	is.Equal(p.paces["a"].percent, fullPace)
	// Beside a run that is over its target also the small needs count.
	serving[0].share = 1.5
	for sample := range 6 {
		p.adjust(time.Duration(15+sample)*sampleInterval, serving, fillers)
	}
	is.Equal(p.paces["a"].percent, 0)
}
