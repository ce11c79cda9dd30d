package losses

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Collector gathers jobs from log lines. Lines must be added in the order of their times.
type Collector struct {
	jobs map[string]*Job
	// order lists the jobs in the order of their acceptance.
	order []*Job
	// unaccepted holds the jobs whose acceptance is not in the logs.
	unaccepted map[string]bool
	// refusals counts the submissions that were not accepted, by reason.
	refusals map[string]int
}

// NewCollector returns a collector without jobs.
func NewCollector() *Collector {
	return &Collector{jobs: map[string]*Job{}, unaccepted: map[string]bool{}, refusals: map[string]int{}}
}

// Add adds a line. Lines of other messages are ignored. It returns ErrMalformedLine if a line that counts lacks a
// field or has an invalid one, and leaves the line out.
func (c *Collector) Add(line *Line) error {
	switch line.Message {
	case "job accepted":
		return c.addJob(line)
	case "job not accepted":
		return c.addRefusal(line)
	case "task assigned":
		return c.addRun(line)
	case "run ended", "run lost", "run is absent":
		return c.endRun(line)
	case "job ended":
		return c.endJob(line)
	case "job promoted":
		return c.promoteJob(line)
	case "worker held for job":
		return c.beginHold(line)
	case "held worker released":
		return c.endHold(line)
	case "stopping paused filler":
		return c.stopPaused(line)
	case "moving throttled filler":
		return c.moveThrottled(line)
	case "job failed":
		return c.failJob(line)
	}
	return nil
}

// Len returns the number of jobs.
func (c *Collector) Len() int { return len(c.order) }

// Job returns a job, or ErrUnknownJob.
func (c *Collector) Job(id string) (*Job, error) {
	j, ok := c.jobs[id]
	if !ok {
		return nil, errors.Wrap(ErrUnknownJob, id)
	}
	return j, nil
}

func (c *Collector) addJob(line *Line) error {
	id, err := line.text("job")
	if err != nil || c.jobs[id] != nil {
		return err
	}
	queue, err := line.text("queue")
	if err != nil {
		return err
	}
	age, err := line.millis("age_ms")
	if err != nil {
		return err
	}
	j := &Job{
		ID: id, Queue: queue, Submitted: line.Time.Add(-age), Accepted: line.Time,
		tasks: map[string][]*run{}, promotions: map[PromotionReason]int{}, checkpointed: map[int]bool{},
	}
	if err := j.setSize(line); err != nil {
		return err
	}
	c.jobs[id] = j
	c.order = append(c.order, j)
	return nil
}

// setSize sets the work, the number of tasks and the objective of a job from the line of its acceptance.
func (j *Job) setSize(line *Line) error {
	var err error
	if j.Work, err = line.millis("work_core_ms"); err != nil {
		return err
	}
	if j.Objective, err = line.millis("objective_ms"); err != nil {
		return err
	}
	j.Tasks, err = line.number("tasks")
	return err
}

func (c *Collector) addRefusal(line *Line) error {
	reason, err := line.text("reason")
	if err != nil {
		return err
	}
	c.refusals[reason]++
	return nil
}

// taskJob returns the job and the name of the task that a line is about. The job is nil if its acceptance is not in
// the logs.
func (c *Collector) taskJob(line *Line) (*Job, string, error) {
	task, err := line.text("task")
	if err != nil {
		return nil, "", err
	}
	id, _, found := strings.Cut(task, ".")
	if !found {
		return nil, "", errors.Wrapf(ErrMalformedLine, "%s: task=%s is not the name of a task", line.Source, task)
	}
	if c.jobs[id] == nil {
		c.unaccepted[id] = true
	}
	return c.jobs[id], task, nil
}

func (c *Collector) addRun(line *Line) error {
	j, task, err := c.taskJob(line)
	if err != nil || j == nil {
		return err
	}
	number, err := line.number("run")
	if err != nil {
		return err
	}
	step, err := taskStep(line, task)
	if err != nil {
		return err
	}
	j.latest = &run{step: step, number: number, agent: line.Fields["agent"], assigned: line.Time}
	j.tasks[task] = append(j.tasks[task], j.latest)
	return nil
}

// taskStepField is the index of the step in the dot-separated name of a task.
const taskStepField = 2

// taskStep returns the step of a task.
func taskStep(line *Line, task string) (int, error) {
	fields := strings.Split(task, ".")
	if len(fields) > taskStepField {
		if step, err := strconv.Atoi(fields[taskStepField]); err == nil {
			return step, nil
		}
	}
	return 0, errors.Wrapf(ErrMalformedLine, "%s: task=%s is not the name of a task", line.Source, task)
}

// endRun records the end of a run. Agents log ends too, without the name of an agent; those lines are ignored.
func (c *Collector) endRun(line *Line) error {
	if _, ok := line.Fields["agent"]; !ok {
		return nil
	}
	j, task, err := c.taskJob(line)
	if err != nil || j == nil {
		return err
	}
	number, err := line.number("run")
	if err != nil {
		return err
	}
	outcome, estimate := line.Message, time.Duration(0)
	if line.Message == "run ended" {
		if outcome, err = line.text("outcome"); err != nil {
			return err
		}
		if estimate, err = line.millis("estimate_ms"); err != nil {
			return err
		}
	}
	for _, r := range j.tasks[task] {
		if r.number != number || !r.ended.IsZero() {
			continue
		}
		r.ended, r.outcome, r.estimate = line.Time, outcome, estimate
		if line.Message == "run ended" {
			return nil
		}
	}
	return nil
}

// namedJob returns the job that a line names. It is nil if its acceptance is not in the logs.
func (c *Collector) namedJob(line *Line) (*Job, error) {
	id, err := line.text("job")
	if err != nil {
		return nil, err
	}
	if c.jobs[id] == nil {
		c.unaccepted[id] = true
	}
	return c.jobs[id], nil
}

func (c *Collector) endJob(line *Line) error {
	j, err := c.namedJob(line)
	if err != nil || j == nil || !j.Ended.IsZero() {
		return err
	}
	state, err := line.text("state")
	if err != nil {
		return err
	}
	j.Ended, j.State = line.Time, state
	return nil
}

// duration returns the time between two moments, at least zero.
func duration(from, to time.Time) time.Duration { return max(0, to.Sub(from)) }
