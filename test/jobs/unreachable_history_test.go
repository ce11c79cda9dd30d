package jobs

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/standin/kvstore"
)

// unreachableHistorySteps is the number of faults of a history of unreachable agents.
const unreachableHistorySteps = 60

// TestUnreachableAgentHistories guards against tasks that run twice, or never again, because coordinators that follow
// one another disagree about when an agent was last reachable: agents are cut off and return, coordinators are killed,
// and their store calls take effect late or get no answer.
func TestUnreachableAgentHistories(t *testing.T) {
	for seed := range uint64(*lossSeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runUnreachableHistory(t, seed) })
		})
	}
}

func runUnreachableHistory(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 13))
	r := newRegion(t, 4, 4, 0.98+0.02*random.Float64())
	time.Sleep(3 * time.Second)
	submitWatch(is.New(t), r)
	for range unreachableHistorySteps {
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		switch random.IntN(4) {
		case 0:
			r.replaceCoordinator(random.Uint64())
		case 1:
			r.leader().faulty.SetFaults([]kvstore.Faults{
				storeUp, {LoseAnswerPercent: 40}, {LateWrites: 3, LateWriteMillis: 3000}, {DelayMillis: 200},
			}[random.IntN(4)])
		default:
			r.cutOff(r.agents[random.IntN(len(r.agents))], random.IntN(2) == 0)
		}
	}
	for _, e := range r.entries {
		e.faulty.SetFaults(storeUp)
	}
	for _, a := range r.agents {
		r.cutOff(a, false)
	}
	time.Sleep(settleTime)
	if runs := activeRuns(r); runs != watchTasks {
		t.Errorf("%d of %d tasks that last run", runs, watchTasks)
	}
	r.checkGuarantees()
	r.stop()
	time.Sleep(time.Minute)
}
