package losses

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// at returns the time the given seconds after began.
func at(seconds float64) time.Time { return began.Add(time.Duration(seconds * float64(time.Second))) }

// TestMaxInTime guards against a bound that is lower than what can be done, or that counts processor time twice.
func TestMaxInTime(t *testing.T) {
	is := is.New(t)
	// One core for ten seconds.
	used := []usage{{from: at(0), to: at(10), coreSeconds: 10}}
	windows := []window{
		{from: at(0), to: at(4), work: 3},
		{from: at(0), to: at(4), work: 3},
		{from: at(0), to: at(10), work: 4},
		{from: at(6), to: at(8), work: 4},
	}
	count, work := maxInTime(windows, used)
	// By second 4 the first two get 4 of their 6, the last one 2 of 4 seconds; the third the 4 seconds between.
	is.Equal(work, 10*time.Second)
	is.True(math.Abs(count-(1+1.0/3+1+0.5)) < 1e-9)
}

// TestBoundOfAQueue guards against a bound below what was done, and against jobs that don't count in it.
func TestBoundOfAQueue(t *testing.T) {
	is := is.New(t)
	b := collect(t, lateJob()...).Bound("q")
	is.Equal(b.Jobs, 1)
	is.Equal(b.InTime, 0)
	is.Equal(b.Work, 3*sec)
	// Until its objective at 4 s the job's runs did two tasks, 0.3 of one, and a fifth of the last run's task.
	is.Equal(b.MaxInTimeWork.Round(time.Millisecond), 2500*ms)
	is.Equal(collect(t, lateJob()...).Bound("other"), Bound{})
}

// TestBoundHoldsForEachOrder guards against a bound that some order of the jobs exceeds: each order is played with the
// processor time given to one job after the other.
func TestBoundHoldsForEachOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var windows []window
		for range rapid.IntRange(1, 6).Draw(t, "jobs") {
			from := rapid.IntRange(0, 10).Draw(t, "from")
			windows = append(windows, window{
				from: at(float64(from)), to: at(float64(from + rapid.IntRange(1, 8).Draw(t, "length"))),
				work: float64(rapid.IntRange(1, 8).Draw(t, "work")),
			})
		}
		var used []usage
		rates := make([]float64, 20)
		for second := range rates {
			rates[second] = float64(rapid.IntRange(0, 3).Draw(t, "rate"))
			used = append(used, usage{from: at(float64(second)), to: at(float64(second + 1)), coreSeconds: rates[second]})
		}
		order := rapid.Permutation(windows).Draw(t, "order")
		done, work := playInOrder(order, rates)
		count, most := maxInTime(windows, used)
		if done > count+1e-6 || work > most.Seconds()+1e-6 {
			t.Fatalf("%f jobs and %f core s in time, bound %f and %f", done, work, count, most.Seconds())
		}
	})
}

// playInOrder gives each second's processor time to the first jobs of the order, and returns the jobs that are done in
// time and the work done in time.
func playInOrder(order []window, rates []float64) (jobs, work float64) {
	left := make([]float64, len(order))
	for i, w := range order {
		left[i] = w.work
	}
	for second, rate := range rates {
		for i, w := range order {
			if at(float64(second)).Before(w.from) || at(float64(second+1)).After(w.to) {
				continue
			}
			share := min(rate, left[i])
			left[i] -= share
			rate -= share
			work += share
		}
	}
	for _, rest := range left {
		if rest == 0 {
			jobs++
		}
	}
	return jobs, work
}
