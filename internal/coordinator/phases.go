package coordinator

import (
	"fmt"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// phase is a step of a new term on its way to service as before.
type phase uint8

// Phases of a term.
const (
	// phaseVacant: the entry knows that there is no coordinator.
	phaseVacant phase = iota
	// phaseElected: the entry is the coordinator.
	phaseElected
	// phaseRead: all records of jobs are read.
	phaseRead
	// phaseLinked: there is a link to each agent that has a record.
	phaseLinked
	// phaseAdopted: all runs of earlier terms are reported by their agents or given up.
	phaseAdopted
	// phaseStarted: the first run of the term is ordered.
	phaseStarted
	// phaseServing: all long-running tasks of jobs from before the term are at work.
	phaseServing
	phaseCount
)

var phaseNames = [phaseCount]string{"vacant", "elected", "read", "linked", "adopted", "first_start", "serving"}

// phaseSeconds is the time from the origin of a term to each phase.
var phaseSeconds = newPhaseSeconds()

func newPhaseSeconds() [phaseCount]*metrics.Histogram {
	var histograms [phaseCount]*metrics.Histogram
	for i, name := range phaseNames {
		histograms[i] = metrics.NewHistogram(fmt.Sprintf("clementine_term_phase_seconds{phase=%q}", name))
	}
	return histograms
}

const (
	// phaseLogTimeout is how long after the election the phases are logged at the latest.
	phaseLogTimeout = 30 * time.Second
	// maxVacancyDelay bounds the time from the first response of the store to the vacancy that belong to one recovery. The
	// lease of a former coordinator can outlast the return of the store by its time to live.
	maxVacancyDelay = 2 * leaseTTL
)

// phases holds when a term reached its phases. Its times are those of Config.Now.
type phases struct {
	// origin is the first response of the store, or the vacancy if the store was not away.
	origin  time.Duration
	reached [phaseCount]bool
	// after is the time from the origin to each phase that was reached.
	after  [phaseCount]time.Duration
	logged bool
}

// newPhases returns the phases of a term that is elected now. answeredAt is the first response of the store after its
// latest failure.
func newPhases(answeredAt, vacantAt, now time.Duration) *phases {
	p := &phases{origin: vacantAt}
	if answeredAt > 0 && answeredAt <= vacantAt && vacantAt-answeredAt <= maxVacancyDelay {
		p.origin = answeredAt
	}
	p.reach(phaseVacant, vacantAt)
	p.reach(phaseElected, now)
	return p
}

// reach records that a phase is reached, unless it was before.
func (p *phases) reach(next phase, now time.Duration) {
	if p.reached[next] {
		return
	}
	p.reached[next], p.after[next] = true, now-p.origin
	phaseSeconds[next].Update(p.after[next].Seconds())
}

// due reports whether the phases are to be logged: all are reached, or phaseLogTimeout has passed since the election.
func (p *phases) due(now time.Duration) bool {
	return !p.logged && (!slices.Contains(p.reached[:], false) || now-p.origin-p.after[phaseElected] >= phaseLogTimeout)
}

// fields returns the log fields of the phases. A phase that was not reached has the time -1.
func (p *phases) fields() []any {
	fields := []any{"from_store_response", p.after[phaseVacant] > 0}
	for i, name := range phaseNames {
		millis := int64(-1)
		if p.reached[i] {
			millis = p.after[i].Milliseconds()
		}
		fields = append(fields, name+"_ms", millis)
	}
	return fields
}

// checkPhases records the phases that the term has reached and logs them once. It looks at the tasks only until they have
// resumed.
func (t *term) checkPhases() {
	if t.phases == nil || t.phases.logged {
		return
	}
	now := t.config.Now()
	agents, linked := t.countLinks()
	if t.inputListed {
		t.phases.reach(phaseRead, now)
		if linked == agents {
			t.phases.reach(phaseLinked, now)
		}
		if !t.phases.reached[phaseAdopted] || !t.phases.reached[phaseServing] {
			t.checkWork(now)
		}
	}
	if t.phases.due(now) {
		t.logPhases("agents", agents, "agents_linked", linked)
	}
}

// checkWork records whether the work of earlier terms has resumed.
func (t *term) checkWork(now time.Duration) {
	recovery := t.planner.Recovery()
	if recovery.Unadopted == 0 {
		t.phases.reach(phaseAdopted, now)
	}
	if recovery.NotAtWork == 0 {
		t.phases.reach(phaseServing, now)
	}
}

// logPhases logs the phases with further fields, unless they are logged.
func (t *term) logPhases(fields ...any) {
	if t.phases != nil && !t.phases.logged {
		t.phases.logged = true
		t.config.Logger.Info("phases of the term", append(t.phases.fields(), fields...)...)
	}
}

// countLinks returns the number of agents with a record, and of those with a link.
func (t *term) countLinks() (agents, linked int) {
	for _, s := range t.sessions {
		if s.address == "" {
			continue
		}
		agents++
		if s.conn.Load() != nil {
			linked++
		}
	}
	return agents, linked
}
