package jobs

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/gateway"
	"clementineflow/internal/planner"
)

// storedKnowledge returns what the coordinators have stored of their knowledge.
func storedKnowledge(is *is.I, r *region) *planner.Knowledge {
	item, err := r.memory.Get(r.t.Context(), "knowledge")
	is.NoErr(err)
	knowledge, err := planner.DecodeKnowledge(item.Value)
	is.NoErr(err)
	return knowledge
}

// TestKnowledgeOutlivesAllProcesses guards against learned durations that are lost when all processes are killed, or
// replaced by those of a coordinator that has learned nothing yet.
func TestKnowledgeOutlivesAllProcesses(t *testing.T) {
	runInRegion(t, func(is *is.I, r *region) {
		const interval = 4 * time.Second
		is.Equal(r.submit(r.nonLeader(), newSpec("0000000000000001", 12)), gateway.Accepted)
		time.Sleep(3 * interval)
		learned := storedKnowledge(is, r)
		is.Equal(len(learned.Durations), 1)
		is.Equal(learned.Durations[0].Runs, 12)
		for _, e := range r.entries {
			e.kill()
		}
		time.Sleep(2 * time.Second)
		for i, e := range r.entries {
			e.start(uint64(100 + i))
		}
		time.Sleep(3 * interval)
		is.Equal(storedKnowledge(is, r), learned)
		is.Equal(r.submit(r.nonLeader(), newSpec("0000000000000002", 3)), gateway.Accepted)
		time.Sleep(3 * interval)
		is.Equal(storedKnowledge(is, r).Durations[0].Runs, 15)
	})
}
