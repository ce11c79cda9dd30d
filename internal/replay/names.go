package replay

import (
	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

var taskKinds = map[string]task.Kind{"batch": task.KindBatch, "watch": task.KindWatch}

// priorities holds the names of priorities; an absent one means normal.
var priorities = map[string]task.Priority{
	"": task.PriorityNormal, "low": task.PriorityLow, "normal": task.PriorityNormal, "urgent": task.PriorityUrgent,
}

var reportEvents = map[string]wire.EventType{
	"started": wire.EventStarted, "finished": wire.EventFinished, "failed": wire.EventFailed,
	"evicted": wire.EventEvicted, "stopped": wire.EventStopped, "refused": wire.EventRefused,
}

var replyOutcomes = map[string]wire.Outcome{
	"answered": wire.OutcomeAnswered, "not-run": wire.OutcomeNotRun, "unknown": wire.OutcomeUnknown,
	"running": wire.OutcomeRunning,
}

// nameOf returns the name of a value in one of the tables above.
func nameOf[V comparable](names map[string]V, value V) string {
	for name, known := range names {
		if known == value && name != "" {
			return name
		}
	}
	return ""
}
