package replay

import (
	"fmt"
	"strings"
	"time"

	"clementineflow/internal/task"
)

// verdict is whether an outcome holds, and what was found.
type verdict struct {
	passed bool
	detail string
}

func found(passed bool, format string, arguments ...any) verdict {
	return verdict{passed, fmt.Sprintf(format, arguments...)}
}

// check returns the verdict on one stated outcome.
func (r *replayer) check(line *Line) Outcome {
	e := line.Expect
	var v verdict
	switch {
	case e.Running != nil:
		v = r.checkRunning(e.Running)
	case e.State != nil:
		v = r.checkState(e.State)
	case e.Capacity != nil:
		v = r.checkCapacity(e.Capacity)
	case e.NoStart != nil:
		v = r.checkNoStart(e.NoStart)
	case e.Evictions != nil:
		count := countFacts(r.history.evicted, e.Evictions.Window, "")
		v = found(count <= e.Evictions.AtMost, "%d evictions, at most %d", count, e.Evictions.AtMost)
	case e.Request != nil:
		v = r.checkRequest(e.Request)
	case e.Answered != nil:
		v = r.checkAnswered(e.Answered)
	case e.Finished != nil:
		count := countFacts(r.history.finished, e.Finished.Window, e.Finished.Team)
		v = found(count >= e.Finished.AtLeast, "%d finished, at least %d", count, e.Finished.AtLeast)
	case e.UrgentStart != nil:
		v = r.checkUrgentStart(e.UrgentStart)
	case e.Final != nil:
		v = r.checkFinal(e.Final)
	case e.Quarantined != nil:
		v = r.checkQuarantined(e.Quarantined)
	case e.Refused != nil:
		reason, refused := r.history.refused[e.Refused.Task]
		v = found(refused && strings.Contains(reason, e.Refused.Reason), "refused=%t %s", refused, reason)
	default:
		v = r.checkOnePlace()
	}
	return Outcome{Line: line.number, Name: e.Name, Passed: v.passed, Detail: v.detail}
}

// contains reports whether the time lies in the window.
func (w Window) contains(at time.Time) bool {
	since := Duration(at.Sub(epoch))
	return since >= w.From && (w.To == 0 || since <= w.To)
}

func countFacts(facts []taskFact, window Window, team string) int {
	total := 0
	for _, fact := range facts {
		if window.contains(fact.at) && (team == "" || team == fact.team) {
			total++
		}
	}
	return total
}

func (r *replayer) checkRunning(e *ExpectRunning) verdict {
	fact, ok := r.history.stateAt(e.Task, epoch.Add(time.Duration(e.By)))
	running := ok && fact.state == task.StateRunning
	place := (e.Zone == "" || e.Zone == fact.zone) && (e.Worker == "" || e.Worker == fact.worker)
	return found(running && place, "state %s on %q in %q", fact.state, fact.worker, fact.zone)
}

func (r *replayer) checkState(e *ExpectState) verdict {
	fact, ok := r.history.stateAt(e.Task, epoch.Add(time.Duration(e.By)))
	return found(ok && fact.state.String() == e.State, "state %s, stated %s", fact.state, e.State)
}

func (r *replayer) checkCapacity(e *ExpectCapacity) verdict {
	total, first := 0, ""
	for _, each := range r.history.overloads {
		if each.realUse != e.RealUse || !e.contains(each.at) {
			continue
		}
		if total == 0 {
			first = fmt.Sprintf(", first %s at %s", each.worker, each.at.Sub(epoch))
		}
		total++
	}
	return found(total == 0, "%d times above capacity%s", total, first)
}

func (r *replayer) checkNoStart(e *ExpectNoStart) verdict {
	for _, facts := range [][]taskFact{r.history.assigned, r.history.started} {
		for _, fact := range facts {
			if fact.zone == e.Zone && e.contains(fact.at) {
				return found(false, "%s on %s at %s", fact.taskID, fact.worker, fact.at.Sub(epoch))
			}
		}
	}
	return found(true, "none in %s", e.Zone)
}

func (r *replayer) checkRequest(e *ExpectRequest) verdict {
	fact, ok := r.history.requests[e.ID]
	if !ok {
		return found(false, "the request did not arrive")
	}
	holds := fact.outcome == e.Outcome && (e.Reason == "" || e.Reason == fact.reason)
	return found(holds, "outcome %q, reason %q", fact.outcome, fact.reason)
}

func (r *replayer) checkAnswered(e *ExpectAnswered) verdict {
	arrived, answered := 0, 0
	for _, id := range r.history.requestOrder {
		fact := r.history.requests[id]
		if fact.service != e.Service || !e.contains(fact.arrivedAt) || e.Priority != "" && priorities[e.Priority] != fact.priority {
			continue
		}
		arrived++
		if fact.outcome == "answered" && fact.endedAt.Sub(fact.arrivedAt) <= time.Duration(e.Within) {
			answered++
		}
	}
	holds := arrived > 0 && answered*1000 >= arrived*e.AtLeastPermille
	return found(holds, "%d of %d within %s, at least %d permille", answered, arrived, e.Within, e.AtLeastPermille)
}

func (r *replayer) checkUrgentStart(e *ExpectUrgentStart) verdict {
	total, worst, worstID := 0, time.Duration(0), ""
	for _, id := range r.history.acceptedOrder {
		accepted := r.history.accepted[id]
		if !accepted.urgent || !e.contains(accepted.at) {
			continue
		}
		total++
		waited := r.now.Sub(accepted.at)
		if !accepted.startAt.IsZero() {
			waited = accepted.startAt.Sub(accepted.at)
		}
		if waited > worst {
			worst, worstID = waited, id
		}
	}
	return found(total > 0 && worst <= time.Duration(e.Within), "%d urgent tasks, longest wait %s (%s), at most %s",
		total, worst, worstID, e.Within)
}

func (r *replayer) checkFinal(e *ExpectFinal) verdict {
	open, first := 0, ""
	for _, id := range r.history.acceptedOrder {
		fact, ok := r.history.stateAt(id, epoch.Add(time.Duration(e.By)))
		record := task.Record{State: fact.state}
		if !ok || !r.history.accepted[id].batch || record.IsFinal() {
			continue
		}
		if open == 0 {
			first = fmt.Sprintf(", first %s: %s", id, fact.state)
		}
		open++
	}
	return found(open == 0, "%d tasks not final%s", open, first)
}

func (r *replayer) checkQuarantined(e *ExpectQuarantined) verdict {
	for _, fact := range r.history.quarantined {
		if fact.worker == e.Worker && fact.at.Sub(epoch) <= time.Duration(e.By) {
			return found(true, "at %s", fact.at.Sub(epoch))
		}
	}
	return found(false, "not in quarantine by %s", e.By)
}

func (r *replayer) checkOnePlace() verdict {
	if len(r.history.doubles) > 0 {
		double := r.history.doubles[0]
		return found(false, "%s started on %s at %s while it ran elsewhere", double.taskID, double.worker, double.at.Sub(epoch))
	}
	finished := map[string]bool{}
	for _, fact := range r.history.finished {
		if finished[fact.taskID] {
			return found(false, "%s finished twice", fact.taskID)
		}
		finished[fact.taskID] = true
	}
	return found(true, "%d tasks finished once", len(finished))
}
