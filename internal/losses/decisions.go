package losses

import (
	"slices"
	"time"

	"github.com/pkg/errors"
)

// PromotionReason is the rule by which the coordinator placed a task of a job out of order.
type PromotionReason string

const (
	// PromotedForProgress is the bound on the time in which a job makes no progress.
	PromotedForProgress PromotionReason = "progress"
	// PromotedAsStarved is the bound on the time in which no task of a priority gets a worker.
	PromotedAsStarved PromotionReason = "priority"
)

// PromotionReasons lists all reasons in the order in which they are shown.
func PromotionReasons() []PromotionReason {
	return []PromotionReason{PromotedForProgress, PromotedAsStarved}
}

// promotionDelay bounds the time from the assignment of a promoted task to the line of its promotion: both are logged in
// one pass of the planner. A longer one means that the line of the assignment is missing.
const promotionDelay = 100 * time.Millisecond

// maxHold is how long the coordinator holds a worker for a job. A hold whose end is not in the logs ended by then, or
// with the term of its coordinator.
const maxHold = 8 * time.Second

// hold is the time in which a worker was held for a job.
type hold struct {
	agent    string
	from, to time.Time
	// released is set once the end was logged, and expired if the job got no room on the worker.
	released, expired bool
}

// promotionReason returns the reason of a promotion.
func promotionReason(line *Line) (PromotionReason, error) {
	text, err := line.text("reason")
	if err != nil {
		return "", err
	}
	reason := PromotionReason(text)
	if !slices.Contains(PromotionReasons(), reason) {
		return "", errors.Wrapf(ErrMalformedLine, "%s: reason=%s is not known", line.Source, text)
	}
	return reason, nil
}

// promoteJob marks the run that the coordinator has placed by a promotion: the latest of the job.
func (c *Collector) promoteJob(line *Line) error {
	j, err := c.namedJob(line)
	if err != nil || j == nil {
		return err
	}
	reason, err := promotionReason(line)
	if err != nil {
		return err
	}
	j.promotions[reason]++
	if j.latest != nil && line.Time.Sub(j.latest.assigned) <= promotionDelay {
		j.latest.promoted = reason
	}
	return nil
}

func (c *Collector) beginHold(line *Line) error {
	j, err := c.namedJob(line)
	if err != nil || j == nil {
		return err
	}
	agent, err := line.text("agent")
	if err != nil {
		return err
	}
	j.holds = append(j.holds, hold{agent: agent, from: line.Time, to: line.Time.Add(maxHold)})
	return nil
}

// endHold ends the latest hold of the agent's worker for the job. A release whose hold is not in the logs is ignored.
func (c *Collector) endHold(line *Line) error {
	j, err := c.namedJob(line)
	if err != nil || j == nil {
		return err
	}
	agent, err := line.text("agent")
	if err != nil {
		return err
	}
	expired, err := line.flag("expired")
	if err != nil {
		return err
	}
	for i := len(j.holds) - 1; i >= 0; i-- {
		if h := &j.holds[i]; h.agent == agent {
			if !h.released {
				h.to, h.released, h.expired = line.Time, true, expired
			}
			return nil
		}
	}
	return nil
}

func (c *Collector) failJob(line *Line) error {
	j, err := c.namedJob(line)
	if err != nil || j == nil {
		return err
	}
	task, err := line.text("task")
	if err != nil {
		return err
	}
	failures, err := line.number("failures")
	if err != nil {
		return err
	}
	j.Failure = &Failure{Task: task, Failures: failures}
	return nil
}
