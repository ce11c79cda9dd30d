package runner

import (
	"time"

	"clementineflow/internal/urgency"
	"clementineflow/internal/wire"
)

// fullPercent is the progress of a run that is done.
const fullPercent = 100

// adoptOrder stores the start order of the run, which was received at the given time.
func (l *localRun) adoptOrder(order *wire.StartRun, now time.Duration) {
	l.startOrder = order
	l.deadline = urgency.Deadline{}
	if order.Urgency != nil && order.Urgency.Timed {
		l.deadline.InTime = now + time.Duration(order.Urgency.InTimeMillis)*time.Millisecond
		l.deadline.Useful = now + time.Duration(order.Urgency.UsefulMillis)*time.Millisecond
	}
}

// rank returns the rank of the run's job, if the run goes on at full pace. Runs without an urgency come first.
func (l *localRun) rank(now time.Duration) urgency.Rank {
	if l.startOrder == nil || l.startOrder.Urgency == nil {
		return urgency.Rank{}
	}
	u := l.startOrder.Urgency
	remaining := time.Duration(u.ExpectedMillis) * time.Millisecond * time.Duration(fullPercent-int64(l.row.ProgressPercent)) / fullPercent
	return urgency.Rank{
		Priority: u.Priority,
		Level:    l.deadline.Level(now + remaining),
		Work:     time.Duration(u.WorkMillis) * time.Millisecond,
	}
}
