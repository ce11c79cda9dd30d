package losses

import (
	"slices"
	"time"
)

// Segment is a part of a job's duration that was spent on one cause.
type Segment struct {
	From  time.Time     `json:"from" yaml:"from"`
	For   time.Duration `json:"for" yaml:"for"`
	Cause Cause         `json:"cause" yaml:"cause"`
	// Task, Run and Agent name the run; they are empty for CauseAccepting.
	Task  string `json:"task,omitempty" yaml:"task,omitempty"`
	Run   int    `json:"run,omitempty" yaml:"run,omitempty"`
	Agent string `json:"agent,omitempty" yaml:"agent,omitempty"`
}

// Chain returns how the job's time was spent, in order, along the tasks that ended last: the last end of the job, the
// runs of its task, the last end among the steps before it, and so on. It is empty for a job that is not done.
func (j *Job) Chain() []Segment {
	if j.State != "done" {
		return nil
	}
	var chain []Segment
	for task := j.lastDone(j.Ended, anyStep); task != ""; {
		first := j.tasks[task][0]
		earlier := j.lastDone(first.assigned, first.step)
		ready := j.Accepted
		if earlier != "" {
			ready = j.end(earlier)
		}
		chain = append(chain, j.taskSegments(task, ready)...)
		task = earlier
	}
	chain = appendSegment(chain, Segment{From: j.Submitted, For: duration(j.Submitted, j.Accepted), Cause: CauseAccepting})
	slices.Reverse(chain)
	return chain
}

// taskSegments returns the segments of the runs of a task that was ready at the given time, the last one first.
func (j *Job) taskSegments(task string, ready time.Time) []Segment {
	var segments []Segment
	runs := j.tasks[task]
	saving := j.newSaving(runs)
	for i := len(runs) - 1; i >= 0; i-- {
		r := runs[i]
		saving.earlier = 0
		if i > 0 && saving.checkpointed && runs[i-1].moved() {
			saving.earlier = runs[i-1].movedPercent
		}
		if r.moved() {
			segments = append(segments, r.movedSegments(task, &saving)...)
		} else {
			segments = append(segments, r.segments(task)...)
		}
		if r.outcome == outcomeFailed {
			saving.checkpointed, saving.left = false, 0
		}
		if i > 0 {
			segments = append(segments, j.waitAfter(runs[i-1], r, task)...)
		} else {
			segments = append(segments, j.splitWait(r.waitSince(ready, task))...)
		}
	}
	return segments
}

// waitAfter returns the segments between a run of a task and the next one, the last one first.
func (j *Job) waitAfter(former, next *run, task string) []Segment {
	switch {
	case former.moved():
		wait := next.waitSince(former.movedAt, task)
		wait.Cause = CauseMoved
		return appendSegment(nil, wait)
	case former.ended.IsZero():
		return nil // The end of the run before is not in the logs.
	default:
		return j.splitWait(next.waitSince(former.ended, task))
	}
}

// waitSince returns the wait that the assignment of the run has ended.
func (r *run) waitSince(since time.Time, task string) Segment {
	return Segment{From: since, For: duration(since, r.assigned), Cause: r.waitCause(), Task: task, Run: r.number, Agent: r.agent}
}

// waitCause returns the cause of the wait that the assignment of the run has ended, outside of holds.
func (r *run) waitCause() Cause {
	switch r.promoted {
	case PromotedForProgress:
		return CausePromoted
	case PromotedAsStarved:
		return CauseStarved
	default:
		return CauseWaiting
	}
}

// splitWait returns the parts of a wait within and outside of holds of workers for the job, the last one first.
func (j *Job) splitWait(wait Segment) []Segment {
	var segments []Segment
	end := wait.From.Add(wait.For)
	for i := len(j.holds) - 1; i >= 0; i-- {
		from, to := j.holds[i].from, j.holds[i].to
		if from.Before(wait.From) {
			from = wait.From
		}
		if to.After(end) {
			to = end
		}
		if !from.Before(to) {
			continue
		}
		after, held := wait, wait
		after.From, after.For = to, duration(to, end)
		held.From, held.For, held.Cause = from, duration(from, to), CauseHeld
		segments = appendSegment(appendSegment(segments, after), held)
		end = from
	}
	wait.For = duration(wait.From, end)
	return appendSegment(segments, wait)
}

// segments returns the segments of one run, the last one first.
func (r *run) segments(task string) []Segment {
	ran := duration(r.assigned, r.ended)
	template := Segment{From: r.assigned, Task: task, Run: r.number, Agent: r.agent}
	if r.outcome != outcomeDone {
		template.For, template.Cause = ran, CauseRepeated
		return appendSegment(nil, template)
	}
	expected := min(ran, r.estimate)
	slow := template
	slow.From, slow.For, slow.Cause = r.assigned.Add(expected), ran-expected, CauseSlow
	segments := appendSegment(nil, slow)
	template.For, template.Cause = expected, CauseRunning
	return appendSegment(segments, template)
}

// appendSegment appends a segment unless it has no duration.
func appendSegment(segments []Segment, s Segment) []Segment {
	if s.For <= 0 {
		return segments
	}
	return append(segments, s)
}

// anyStep makes lastDone consider all steps.
const anyStep = -1

// lastDone returns the task that was done last, but not after the given time, among the steps before the given one or
// among all with anyStep. It returns "" if there is none.
func (j *Job) lastDone(until time.Time, beforeStep int) string {
	last := ""
	var lastEnd time.Time
	for task, runs := range j.tasks {
		end := j.end(task)
		if end.IsZero() || end.After(until) || beforeStep != anyStep && runs[0].step >= beforeStep {
			continue
		}
		if last == "" || end.After(lastEnd) || end.Equal(lastEnd) && task < last {
			last, lastEnd = task, end
		}
	}
	return last
}

// end returns when a task was done, or zero.
func (j *Job) end(task string) time.Time {
	runs := j.tasks[task]
	if last := runs[len(runs)-1]; last.outcome == outcomeDone {
		return last.ended
	}
	return time.Time{}
}
