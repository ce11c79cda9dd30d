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

// seeds is the number of histories; CI plays the default, thousands are played by hand.
var (
	seeds     = flag.Int("seeds", 40, "number of fault histories")
	firstSeed = flag.Int("first-seed", 1, "seed of the first fault history")
)

const (
	historyLength = 30 * time.Second
	// settleTime is how long after the last fault all accepted work must be done.
	settleTime = 40 * time.Second
	// lateOrder is how late delayed orders are carried out.
	lateOrder = 4 * time.Second
)

// history plays random faults and submissions against a region.
type history struct {
	*region
	random   *rand.Rand
	accepted map[string]bool
	refused  map[string]bool
	unknown  map[string]bool
	// cancelAsked holds the jobs that were told to be cancelled, acknowledged or not.
	cancelAsked map[string]bool
	// refusedAfterUnknown holds the jobs that an entry refused after it could not tell.
	refusedAfterUnknown map[string]bool
	// outcomes tells how each attempt to hand a job in ended, for failures.
	outcomes map[string][]string
	jobs     int
}

// TestHistories guards against any promise about jobs that a combination of failures breaks. It plays
// seeded histories: entries and agents are killed and cut off, workers crash, fall silent and carry out
// orders late, the store is down, slow, loses answers, writes late and drops its history.
func TestHistories(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + i
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playHistory(t, uint64(seed)) })
		})
	}
}

func playHistory(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 7))
	h := &history{
		region: newRegion(t, 3, 4, 0.98+0.02*random.Float64()), random: random,
		accepted: map[string]bool{}, refused: map[string]bool{}, unknown: map[string]bool{}, cancelAsked: map[string]bool{},
		refusedAfterUnknown: map[string]bool{}, outcomes: map[string][]string{},
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
			h.submitOne()
		} else {
			h.injectFault()
		}
	}
	h.heal()
	time.Sleep(settleTime)
	h.checkDone()
	h.check()
	h.stop()
	// Late writes of the store may still be on their way.
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

// submitOne hands a job in, now and then twice or at two entries, and cancels some.
func (h *history) submitOne() {
	e := h.entry()
	if e == nil {
		return
	}
	h.jobs++
	id := fmt.Sprintf("%016x", h.jobs)
	s := spec(id, 1+h.random.IntN(4), 1+h.random.IntN(3))
	attempts, cancel := 1+h.random.IntN(2), h.random.IntN(8) == 0
	for range attempts {
		copied := *s
		outcome := h.submit(e, &copied)
		h.outcomes[id] = append(h.outcomes[id], fmt.Sprintf("%s by %s at %s", outcome, e.name, h.now()))
		switch outcome {
		case gateway.Accepted:
			h.accepted[id] = true
		case gateway.Unknown:
			h.unknown[id] = true
		case gateway.Refused:
			h.refused[id] = true
			// All attempts at a job go to one life of an entry.
			h.refusedAfterUnknown[id] = h.refusedAfterUnknown[id] || h.unknown[id]
		}
	}
	if cancel && h.accepted[id] {
		h.cancelAsked[id] = true
		h.cancel(e, id)
	}
}

// injectFault starts or ends one fault.
func (h *history) injectFault() {
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
		time.AfterFunc(time.Duration(h.random.IntN(4000))*time.Millisecond, a.worker.Restart)
	case 3:
		a.worker.SetUnresponsive(true)
		time.AfterFunc(time.Duration(h.random.IntN(8000))*time.Millisecond, func() { a.worker.SetUnresponsive(false) })
	case 4:
		a.worker.DelayCalls(1+h.random.IntN(6), lateOrder)
	case 5:
		h.network.setCut(e.name, a.name, h.random.IntN(2) == 0)
		h.network.setCut(a.name, e.name, h.random.IntN(2) == 0)
	case 6:
		h.setZoneOut(zones[0], h.random.IntN(2) == 0)
	case 7:
		h.memory.Compact()
	default:
		h.disturbStore(e)
	}
}

func (h *history) toggleEntry(e *entryProcess) {
	if e.cancel != nil {
		e.kill()
		return
	}
	e.start(h.random.Uint64())
}

// disturbStore changes how the store behaves towards one entry.
func (h *history) disturbStore(e *entryProcess) {
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

// heal ends all faults.
func (h *history) heal() {
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
	h.setZoneOut(zones[0], false)
}

// checkDone guards against accepted work that is lost, and against refused work that ran.
func (h *history) checkDone() {
	for id := range h.accepted {
		state, err := h.state(h.entry(), id)
		if err != nil {
			h.t.Errorf("%s was accepted and is not known: %v", id, err)
			continue
		}
		// A cancellation that got no answer may have taken effect.
		ended := state == job.StateDone || h.cancelAsked[id] && state == job.StateCancelled
		if !ended {
			h.t.Errorf("%s was accepted and is %s", id, state)
		}
	}
	for id := range h.refused {
		// An attempt without a known outcome may have stored the job. An entry that has said so does not
		// say afterwards that the job never runs.
		if h.refusedAfterUnknown[id] {
			h.t.Errorf("%s was refused by an entry that could not tell before: %s", id, h.outcomes[id])
		}
		if h.accepted[id] || h.unknown[id] {
			continue
		}
		if state, err := h.state(h.entry(), id); err == nil {
			h.t.Errorf("%s was refused and is %s: %s", id, state, h.outcomes[id])
		}
	}
}
