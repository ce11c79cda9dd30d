package interference

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestLearnsPairs guards against attributing a slowdown to the wrong neighbour, as each report covers a whole set
// of neighbours.
func TestLearnsPairs(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	model := New()
	for i := range 3000 {
		noisy, quiet := random.IntN(3), random.IntN(3)
		model.Observe(Observation{
			Class: "service", Worker: "w1", Neighbours: map[string]int{"noisy": noisy, "quiet": quiet},
			Slowdown: math.Pow(1.5, float64(noisy)) * math.Exp(random.NormFloat64()*0.05),
			At:       start.Add(time.Duration(i) * time.Second),
		})
	}
	now := start.Add(3000 * time.Second)
	is.True(math.Abs(model.Pair("service", "noisy", now).Slowdown-1.5) < 0.1)
	is.True(model.Pair("service", "quiet", now).Slowdown < 1.1)
	is.True(model.Pair("service", "noisy", now).Confidence > 0.9)
}

// TestPriorAndDecay guards against a high confidence with few or old observations.
func TestPriorAndDecay(t *testing.T) {
	is := is.New(t)
	model := New()
	is.Equal(model.Pair("a", "b", start).Confidence, 0.0)
	is.True(math.Abs(model.Pair("a", "b", start).Slowdown-priorSlowdown) < 1e-9)
	for range 50 {
		model.Observe(Observation{Class: "a", Neighbours: map[string]int{"b": 1}, Slowdown: 2, At: start})
	}
	fresh := model.Pair("a", "b", start)
	old := model.Pair("a", "b", start.Add(24*time.Hour))
	is.True(fresh.Slowdown > 1.7)
	is.True(old.Slowdown < 1.2)
	is.True(old.Confidence < fresh.Confidence/5)
}

// TestCrowdedWorkerConverges guards against estimates that diverge when many neighbours share a worker.
func TestCrowdedWorkerConverges(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	model := New()
	for range 2000 {
		count := 4 + random.IntN(8)
		model.Observe(Observation{Class: "a", Neighbours: map[string]int{"b": count}, Slowdown: math.Pow(1.1, float64(count)), At: start})
	}
	is.True(math.Abs(model.Pair("a", "b", start).Slowdown-1.1) < 0.03)
}

// TestWorkerFactor guards against attributing the slowdown of a slow worker to the neighbours there.
func TestWorkerFactor(t *testing.T) {
	is := is.New(t)
	model := New()
	for i := range 500 {
		slowdown := 1.0
		worker := "good"
		if i%2 == 0 {
			slowdown, worker = 2.0, "slow"
		}
		model.Observe(Observation{Class: "a", Worker: worker, Neighbours: map[string]int{"b": 1}, Slowdown: slowdown, At: start})
	}
	is.True(model.Worker("slow", start).Slowdown > 1.3*model.Worker("good", start).Slowdown)
}

// TestSnapshot guards against losing learned values when a model is serialised and restored.
func TestSnapshot(t *testing.T) {
	is := is.New(t)
	model := New()
	model.Observe(Observation{Class: "a", Worker: "w", Neighbours: map[string]int{"b": 2}, Slowdown: 3, At: start})
	data, err := json.Marshal(model.Snapshot())
	is.NoErr(err)
	var snapshot Snapshot
	is.NoErr(json.Unmarshal(data, &snapshot))
	is.Equal(FromSnapshot(snapshot).Pair("a", "b", start), model.Pair("a", "b", start))
	is.Equal(FromSnapshot(snapshot).Worker("w", start), model.Worker("w", start))
}
