package runner

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
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
			{task: "a", run: 1, image: "heavy", cores: 2},
			{task: "b", run: 1, image: "heavy", cores: 2},
			{task: "c", run: 1, image: "heavy", cores: 2},
			{task: "d", run: 1, image: "light", cores: 2},
		},
	}
}

// step plays half a second. Figures still contain a part of the former ones.
func (w *sharedWorker) step(paced bool) {
	w.now += sampleInterval
	usage := 0.35 + 0.1*w.random.Float64()
	for _, filler := range w.fillers {
		percent := fullPace
		if current := w.pacer.paces[filler.task]; paced && current != nil {
			percent = current.percent
		}
		cores := filler.cores * float64(percent) / fullPace
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
	fillers := []fillerRun{{task: "a", run: 1, image: "x", cores: 1}}
	p.follow(fillers)
	p.set(time.Second, fillers[0], 20)
	changes := p.changes(fillers)
	is.Equal(len(changes), 1)
	is.Equal(len(p.changes(fillers)), 0)
	p.failed(changes[0])
	is.Equal(len(p.changes(fillers)), 1)
}
