package jobs

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"clementineflow/internal/gateway"
	"clementineflow/internal/job"
	"clementineflow/internal/resource"
	"clementineflow/internal/standin/jobworker"
	"clementineflow/internal/standin/kvstore"
)

// seeds is the number of fault histories, one per seed. CI runs the default number; runs of thousands are
// started by hand.
var (
	seeds     = flag.Int("seeds", 40, "number of fault histories")
	firstSeed = flag.Int("first-seed", 1, "seed of the first fault history")
)

const (
	historyLength = 30 * time.Second
	// settleTime is the time after the last fault within which all accepted jobs must have ended.
	settleTime = 40 * time.Second
	// orderDelay is the delay of orders that a worker carries out late.
	orderDelay = 4 * time.Second
	// lateLeaveDelay is how long after the start of a worker the leave call of its previous incarnation arrives.
	lateLeaveDelay = 3 * time.Second
)

// history runs random faults and submissions against a region and records the outcomes by job id.
type history struct {
	*region
	random   *rand.Rand
	accepted map[string]bool
	refused  map[string]bool
	unknown  map[string]bool
	// cancelRequested holds the jobs for which a cancellation was requested, acknowledged or not.
	cancelRequested map[string]bool
	// refusedAfterUnknown holds the jobs that an entry refused after an attempt with an unknown outcome.
	refusedAfterUnknown map[string]bool
	// outcomes holds the outcome of each attempt to submit a job, for failure messages.
	outcomes map[string][]string
	jobs     int
	// extended adds faults to a history that leave its random choices as they are.
	extended bool
}

// TestHistories guards against combinations of failures that break a guarantee about jobs. It runs seeded
// fault histories: entries and agents are killed and partitioned; workers crash, stop responding and carry
// out orders late; the store is down, slow, loses responses, writes late and compacts its history.
func TestHistories(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + i
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runHistory(t, uint64(seed), false) })
		})
	}
}

// TestExtendedHistories guards against the same with more faults: callers withdraw jobs of unknown outcome, the leave call
// of a worker's previous incarnation arrives late, and some entries stop as planned.
func TestExtendedHistories(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + i
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runHistory(t, uint64(seed), true) })
		})
	}
}

func runHistory(t *testing.T, seed uint64, extended bool) {
	random := rand.New(rand.NewPCG(seed, 7))
	h := &history{
		region: newRegion(t, 3, 4, 0.98+0.02*random.Float64()), random: random,
		accepted: map[string]bool{}, refused: map[string]bool{}, unknown: map[string]bool{}, cancelRequested: map[string]bool{},
		refusedAfterUnknown: map[string]bool{}, outcomes: map[string][]string{}, extended: extended,
	}
	h.work = func(task string) jobworker.Work {
		return jobworker.Work{
			Duration: time.Duration(200+len(task)*37%900) * time.Millisecond,
			Need:     resource.Quantity{MilliCPU: 1000},
		}
	}
	time.Sleep(3 * time.Second)
	for end := time.Now().Add(historyLength); time.Now().Before(end); {
		time.Sleep(time.Duration(50+random.IntN(400)) * time.Millisecond)
		if random.IntN(3) > 0 {
			h.submitRandomJob()
		} else {
			h.toggleRandomFault()
		}
	}
	h.clearFaults()
	time.Sleep(settleTime)
	h.checkOutcomes()
	h.checkGuarantees()
	h.stop()
	// Delayed writes of the store may still be pending.
	time.Sleep(time.Minute)
}

// entry returns a random entry that is up.
func (h *history) entry() *entryProcess {
	for range 20 {
		if e := h.entries[h.random.IntN(len(h.entries))]; e.cancel != nil {
			return e
		}
	}
	return nil
}

// submitRandomJob submits a random job to a random entry, sometimes twice, and cancels some of those that are, or may be, stored.
func (h *history) submitRandomJob() {
	e := h.entry()
	if e == nil {
		return
	}
	h.jobs++
	id := fmt.Sprintf("%016x", h.jobs)
	s := newSpec(id, 1+h.random.IntN(4), 1+h.random.IntN(3))
	attempts, cancel := 1+h.random.IntN(2), h.random.IntN(8) == 0
	for range attempts {
		copied := *s
		outcome := h.submit(e, &copied)
		h.outcomes[id] = append(h.outcomes[id], fmt.Sprintf("%s by %s at %s", outcome, e.name, h.elapsed()))
		switch outcome {
		case gateway.Accepted:
			h.accepted[id] = true
		case gateway.Unknown:
			h.unknown[id] = true
		case gateway.Refused:
			h.refused[id] = true
			// All attempts for a job go to the same incarnation of an entry.
			h.refusedAfterUnknown[id] = h.refusedAfterUnknown[id] || h.unknown[id]
		}
	}
	if cancel && (h.accepted[id] || h.extended && h.unknown[id]) {
		h.cancelRequested[id] = true
		h.cancel(e, id)
	}
}

// toggleRandomFault starts or ends one random fault.
func (h *history) toggleRandomFault() {
	e, a := h.entries[h.random.IntN(len(h.entries))], h.agents[h.random.IntN(len(h.agents))]
	switch h.random.IntN(10) {
	case 0:
		h.toggleEntry(e)
	case 1:
		if a.cancel != nil {
			a.kill()
		} else {
			a.start()
		}
	case 2:
		a.worker.Crash()
		time.AfterFunc(time.Duration(h.random.IntN(4000))*time.Millisecond, func() {
			a.worker.Restart()
			if h.extended {
				// The leave call of the previous incarnation was held up.
				time.AfterFunc(lateLeaveDelay, a.deliverLeave)
			}
		})
	case 3:
		a.worker.SetUnresponsive(true)
		time.AfterFunc(time.Duration(h.random.IntN(8000))*time.Millisecond, func() { a.worker.SetUnresponsive(false) })
	case 4:
		a.worker.DelayCalls(1+h.random.IntN(6), orderDelay)
	case 5:
		h.network.setCut(e.name, a.name, h.random.IntN(2) == 0)
		h.network.setCut(a.name, e.name, h.random.IntN(2) == 0)
	case 6:
		h.setZoneOutOfService(zones[0], h.random.IntN(2) == 0)
	case 7:
		h.memory.Compact()
	default:
		h.setRandomStoreFaults(e)
	}
}

func (h *history) toggleEntry(e *entryProcess) {
	switch {
	case e.cancel == nil:
		e.start(h.random.Uint64())
	case h.extended && h.jobs%2 == 0:
		e.shutDown()
	default:
		e.kill()
	}
}

// setRandomStoreFaults sets random faults on the connection of one entry to the store, or clears them.
func (h *history) setRandomStoreFaults(e *entryProcess) {
	faults := []kvstore.Faults{
		{},
		{Down: true},
		{DelayMillis: 300},
		{LoseAnswerPercent: 40},
		{LateWrites: 3, LateWriteMillis: 3000},
		{AnswerDelayMillis: 500},
	}
	e.faulty.SetFaults(faults[h.random.IntN(len(faults))])
}

// clearFaults ends all faults.
func (h *history) clearFaults() {
	for i, e := range h.entries {
		if e.cancel == nil {
			e.start(uint64(1000 + i))
		}
		e.faulty.SetFaults(kvstore.Faults{})
		for _, a := range h.agents {
			h.network.setCut(e.name, a.name, false)
			h.network.setCut(a.name, e.name, false)
		}
	}
	for _, a := range h.agents {
		if a.cancel == nil {
			a.start()
		}
		a.worker.SetUnresponsive(false)
		a.worker.Restart()
	}
	h.setZoneOutOfService(zones[0], false)
}

// checkOutcomes checks that no accepted job is lost and that no refused job ran.
func (h *history) checkOutcomes() {
	for id := range h.accepted {
		state, err := h.state(h.entry(), id)
		if err != nil {
			h.t.Errorf("%s was accepted but its state is not available: %v", id, err)
			continue
		}
		// A cancellation without a response may have taken effect.
		ended := state == job.StateDone || h.cancelRequested[id] && state == job.StateCancelled
		// Two crashes at the start of a task can't be told from a task that causes them.
		givenUp := state == job.StateFailed && h.recorder.MayBeGivenUp(id)
		if !ended && !givenUp {
			h.t.Errorf("%s was accepted but its state is %s", id, state)
		}
	}
	for id := range h.refused {
		// An attempt with an unknown outcome may have stored the job, so the entry must not refuse the job
		// afterwards: a refusal means that the job never runs.
		if h.refusedAfterUnknown[id] {
			h.t.Errorf("%s was refused by an entry after an unknown outcome: %s", id, h.outcomes[id])
		}
		if h.accepted[id] || h.unknown[id] {
			continue
		}
		if state, err := h.state(h.entry(), id); err == nil {
			h.t.Errorf("%s was refused but its state is %s: %s", id, state, h.outcomes[id])
		}
	}
}
