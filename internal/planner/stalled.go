package planner

import (
	"time"

	"clementineflow/internal/job"
)

const (
	// stallAfter is how long a long-running task may be without a run at work before it counts as stalled. A start on
	// another worker takes less.
	stallAfter = 3 * time.Second
	// stallCheckInterval is how often stalled tasks are looked for.
	stallCheckInterval = time.Second
	// stallLogInterval is how often a task is logged while it is stalled.
	stallLogInterval = 5 * time.Second
	// maxStallLines is the number of stalled tasks that one check logs; the others have their turn in the next checks.
	maxStallLines = 20
)

// stallCheck is the state of the search for stalled tasks.
type stallCheck struct {
	// nextAt is when the next check is due.
	nextAt time.Duration
	// assignedAt is when waiting tasks were last assigned to workers. It stands still while nothing can be committed.
	assignedAt time.Duration
	// counts holds the number of stalled tasks by reason, as of the latest check.
	counts [stallReasonCount]int
	// found is reused by each check.
	found []stalledTask
}

// stalledTask is a long-running task without a run at work.
type stalledTask struct {
	ref
	reason StallReason
	// earlier is set if another task of the step waits and is tried before this one.
	earlier bool
	// excluded counts the workers that don't take the task. It is empty if the task was not tried on workers.
	excluded exclusions
	// headroom is the highest headroom among the workers that are excluded only for it.
	headroom float64
}

// StalledTasks returns the number of long-running tasks that are stalled for a reason, as of the latest check.
func (p *Planner) StalledTasks(reason StallReason) int {
	if reason >= stallReasonCount {
		return 0
	}
	return p.stalls.counts[reason]
}

// checkStalls counts and logs the stalled tasks if a check is due.
func (p *Planner) checkStalls() {
	if p.now < p.stalls.nextAt {
		return
	}
	p.stalls.nextAt = p.now + stallCheckInterval
	p.stalls.counts = [stallReasonCount]int{}
	p.findStalled()
	if len(p.stalls.found) > 0 {
		p.explainStalled()
		p.logStalled()
		clear(p.stalls.found)
	}
}

// findStalled collects the stalled tasks of active jobs.
func (p *Planner) findStalled() {
	found := p.stalls.found[:0]
	for _, e := range p.active {
		for step := range e.longRunning {
			for index := range e.longRunning[step] {
				if p.now-e.longRunning[step][index].atWorkAt > stallAfter {
					found = append(found, stalledTask{ref: ref{e, step, index}})
				}
			}
		}
	}
	p.stalls.found = found
}

// explainStalled determines the reason of each stalled task. Tasks of one step share the search for workers.
func (p *Planner) explainStalled() {
	var search *stepSearch
	for i := range p.stalls.found {
		s := &p.stalls.found[i]
		if s.task().Phase == job.PhaseAssigned {
			s.reason = p.assignedReason(s.ref)
		} else if s.reason = p.waitingReason(s.ref); s.reason == StallNone {
			if search == nil || search.entry != s.entry || search.step != s.step {
				search = p.searchForStep(s.ref)
			}
			p.explainPlacement(s, search)
		}
		p.stalls.counts[s.reason]++
	}
}

// assignedReason returns why the assigned run of a task is not known to be at work.
func (p *Planner) assignedReason(r ref) StallReason {
	a, current := p.agents[r.task().Worker.Agent], r.run()
	switch {
	case !current.ordered:
		return StallCommitPending
	case a == nil || !a.connected:
		return StallAgentUnreachable
	case a.lost:
		return StallWorkerLost
	case !a.ready:
		return StallWorkerNotReady
	case current.stopping:
		return StallStopping
	case !current.reported:
		return StallStartNotConfirmed
	case p.now-r.longRunning().reportedAt > stallAfter:
		return StallNotReported
	default:
		return StallNotAtWork
	}
}

// waitingReason returns why a waiting task is not tried on any worker, or StallNone if it is.
func (p *Planner) waitingReason(r ref) StallReason {
	switch {
	case p.operator.Config == nil:
		return StallNoConfiguration
	case !r.entry.ready(r.step):
		return StallStepNotReady
	case p.now-p.stalls.assignedAt >= stallCheckInterval:
		return StallCommitPending
	case p.suspected(r) && p.activeProbations(r.entry) >= maxJobProbations:
		return StallProbations
	default:
		return StallNone
	}
}
