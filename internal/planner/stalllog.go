package planner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"clementineflow/internal/job"
)

// logStalled logs the stalled tasks whose turn it is, those that were not logged for longest first.
func (p *Planner) logStalled() {
	due := slices.DeleteFunc(p.stalls.found, func(s stalledTask) bool {
		loggedAt := s.longRunning().loggedAt
		return loggedAt > 0 && p.now-loggedAt < stallLogInterval
	})
	slices.SortStableFunc(due, func(x, y stalledTask) int {
		return cmp.Compare(x.longRunning().loggedAt, y.longRunning().loggedAt)
	})
	for i := range due[:min(len(due), maxStallLines)] {
		due[i].longRunning().loggedAt = p.now
		p.logStalledTask(&due[i])
	}
	if len(due) > maxStallLines {
		p.log("more tasks are stalled", "not_listed", len(due)-maxStallLines)
	}
}

// logStalledTask logs a stalled task with what explains its reason.
func (p *Planner) logStalledTask(s *stalledTask) {
	task, phase := s.task(), "waiting"
	if task.Phase == job.PhaseAssigned {
		phase = "assigned"
	}
	fields := []any{
		"task", s.name(), "run", task.Run, "phase", phase,
		"stalled_ms", (p.now - s.longRunning().atWorkAt).Milliseconds(), "reason", s.reason,
	}
	if task.Phase == job.PhaseAssigned {
		fields = append(fields, p.assignedFields(s)...)
	} else {
		fields = append(fields, p.waitingFields(s)...)
	}
	p.log("task stalled", fields...)
}

// assignedFields returns the fields that explain why an assigned run is not at work.
func (p *Planner) assignedFields(s *stalledTask) []any {
	fields := []any{"agent", s.task().Worker.Agent}
	switch s.reason {
	case StallAgentUnreachable:
		if a := p.agents[s.task().Worker.Agent]; a != nil {
			fields = append(fields, "authority_ends_in_ms", (a.authorityEnds - p.now).Milliseconds())
		}
	case StallStopping, StallStartNotConfirmed:
		fields = append(fields, "ordered_ms", (p.now - s.run().orderAt).Milliseconds())
	case StallNotReported:
		fields = append(fields, "reported_ms", (p.now - s.longRunning().reportedAt).Milliseconds())
	case StallNotAtWork:
		fields = append(fields, "percent", s.run().percent)
	}
	return fields
}

// waitingFields returns the fields that explain why a task waits.
func (p *Planner) waitingFields(s *stalledTask) []any {
	var tried time.Duration
	if since := s.run().waitingSince; since > 0 {
		tried = p.now - since
	}
	fields := []any{"tried_ms", tried.Milliseconds()}
	if s.earlier {
		fields = append(fields, "earlier_tasks_wait", true)
	}
	if s.excluded != (exclusions{}) {
		fields = append(fields, "excluded", s.excluded.String())
	}
	if s.excluded[StallNoRoom] > 0 {
		fields = append(fields, p.roomFields(s.ref)...)
	}
	if s.excluded[StallNoHeadroom] > 0 {
		fields = append(fields, "best_headroom", roundToHundredths(s.headroom))
	}
	return fields
}

// roundToHundredths shortens a share for a log line.
func roundToHundredths(share float64) float64 { return math.Round(share*100) / 100 }
