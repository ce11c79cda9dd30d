package planner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/wire"
)

// TestKnowledgeOutlivesATerm guards against a new coordinator that expects unknown pressures and durations of images
// and queues that its predecessor knew.
func TestKnowledgeOutlivesATerm(t *testing.T) {
	is := is.New(t)
	former := newTestPlanner(1)
	former.pressures.update(agentName(0), wire.PressureRow{Serving: "x", Filler: "heavy", Value: 0.3, Samples: 500})
	for range minDurationRuns {
		former.durations.observe("timed", 3*time.Second)
	}
	data, err := EncodeKnowledge(former.Knowledge())
	is.NoErr(err)
	for range 5 { // terms
		stored, err := DecodeKnowledge(data)
		is.NoErr(err)
		next := newTestPlanner(1)
		next.RestoreKnowledge(stored)
		is.True(next.pressures.expected("x", "heavy") > 0.27)
		is.Equal(next.durations.expected("timed", 0).Round(time.Millisecond), 3*time.Second)
		row, _ := next.pressures.row("x", "heavy")
		is.Equal(row.Samples, float32(maxRestoredSamples))
		// What an agent measures soon outweighs what was restored.
		next.pressures.update(agentName(0), wire.PressureRow{Serving: "x", Filler: "heavy", Value: 0.05, Samples: 100})
		is.True(next.pressures.expected("x", "heavy") < 0.1)
		next.pressures.update(agentName(0), wire.PressureRow{})
		next = newTestPlanner(1)
		next.RestoreKnowledge(stored)
		data, err = EncodeKnowledge(next.Knowledge())
		is.NoErr(err)
	}
}

// TestOwnDurationsAreKept guards against restored durations that replace those which the planner has observed.
func TestOwnDurationsAreKept(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(1)
	for range minDurationRuns {
		p.durations.observe("timed", time.Second)
	}
	p.RestoreKnowledge(&Knowledge{Durations: []QueueDuration{{Queue: "timed", LogMean: 5, Runs: 100}, {Queue: "q", LogMean: 1}}})
	is.Equal(p.durations.expected("timed", 0).Round(time.Millisecond), time.Second)
	is.Equal(p.durations.expected("q", time.Minute), time.Minute)
}

// FuzzDecodeKnowledge guards against a panic from a malformed record.
func FuzzDecodeKnowledge(f *testing.F) {
	data, err := EncodeKnowledge(&Knowledge{Pressures: []wire.PressureRow{{Serving: "x", Filler: "y", Value: 1, Samples: 2}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0xff})
	f.Fuzz(func(_ *testing.T, data []byte) {
		if k, err := DecodeKnowledge(data); err == nil {
			p := newTestPlanner(1)
			p.RestoreKnowledge(k)
			p.Knowledge()
		}
	})
}
