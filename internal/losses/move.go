package losses

import (
	"time"

	"github.com/pkg/errors"
)

// maxDiscardedPercent is the progress, in percent, up to which the coordinator moves a filler without checkpoints.
const maxDiscardedPercent = 25

// wholePercent is the progress of a task that is done, in percent.
const wholePercent = 100

// stopPaused records that a filler at 0 percent is stopped for another worker.
func (c *Collector) stopPaused(line *Line) error {
	j, task, err := c.taskJob(line)
	if err != nil || j == nil {
		return err
	}
	number, err := line.number("run")
	if err != nil {
		return err
	}
	percent, logged, err := line.progress()
	if err != nil {
		return err
	}
	j.moves++
	if r := j.openRun(task); r != nil && r.number == number {
		j.recordMove(r, line.Time, percent, logged)
	}
	return nil
}

// moveThrottled records that a throttled filler is moved to a worker with more headroom.
func (c *Collector) moveThrottled(line *Line) error {
	j, task, err := c.taskJob(line)
	if err != nil || j == nil {
		return err
	}
	from, err := line.text("from")
	if err != nil {
		return err
	}
	percent, logged, err := line.progress()
	if err != nil {
		return err
	}
	j.moves++
	if r := j.openRun(task); r != nil && r.agent == from {
		j.recordMove(r, line.Time, percent, logged)
	}
	return nil
}

// progress returns the progress of the task in percent, or maxDiscardedPercent if an older version did not log it.
func (l *Line) progress() (percent int, logged bool, err error) {
	if _, logged = l.Fields["percent"]; !logged {
		return maxDiscardedPercent, false, nil
	}
	if percent, err = l.number("percent"); err == nil && percent > wholePercent {
		err = errors.Wrapf(ErrMalformedLine, "%s: percent=%d is above 100", l.Source, percent)
	}
	return percent, true, err
}

// recordMove records the decision to move a run. Fillers without checkpoints are not moved from maxDiscardedPercent on.
func (j *Job) recordMove(r *run, at time.Time, percent int, logged bool) {
	r.movedAt, r.movedPercent = at, percent
	if logged && percent > maxDiscardedPercent {
		j.checkpointed[r.step] = true
	}
}

// openRun returns the latest run of a task if it has no end and was not moved yet, or nil.
func (j *Job) openRun(task string) *run {
	runs := j.tasks[task]
	if len(runs) == 0 {
		return nil
	}
	last := runs[len(runs)-1]
	if !last.ended.IsZero() || !last.movedAt.IsZero() {
		return nil
	}
	return last
}

// saving tells what the runs of one task have saved for the runs after them. No line tells of checkpoints themselves.
type saving struct {
	// expected is the expected duration of the whole task.
	expected time.Duration
	// checkpointed is set if the runs make checkpoints.
	checkpointed bool
	// left is what the completing run took less than expected, without what was attributed to later runs.
	left time.Duration
	// earlier is the progress, in percent, that a run took over from the one before it.
	earlier int
}

// newSaving returns what the runs before the last one of a task, which completed it, have saved.
func (j *Job) newSaving(runs []*run) saving {
	last := runs[len(runs)-1]
	return saving{
		expected:     last.estimate,
		checkpointed: j.checkpointed[last.step],
		left:         max(0, last.estimate-duration(last.assigned, last.ended)),
	}
}

// take returns how long a moved run worked, as far as its progress or the bound of what a move discards tells, and how
// much of that it saved.
func (s *saving) take(r *run) (worked, saved time.Duration) {
	percent := max(0, r.movedPercent-s.earlier)
	worked = min(duration(r.assigned, r.movedAt), s.expected*time.Duration(percent)/wholePercent)
	if s.checkpointed {
		return worked, worked
	}
	saved = min(worked, s.left)
	s.left -= saved
	return worked, saved
}

// movedSegments returns the segments of a moved run until the decision, the last one first.
func (r *run) movedSegments(task string, s *saving) []Segment {
	worked, saved := s.take(r)
	var segments []Segment
	until := r.movedAt
	for _, part := range []struct {
		from  time.Time
		cause Cause
	}{{r.assigned.Add(worked), CauseSlow}, {r.assigned.Add(saved), CauseRepeated}, {r.assigned, CauseRunning}} {
		segments = appendSegment(segments, Segment{
			From: part.from, For: duration(part.from, until), Cause: part.cause, Task: task, Run: r.number, Agent: r.agent,
		})
		until = part.from
	}
	return segments
}
