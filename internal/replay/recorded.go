package replay

import (
	"time"

	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

// RecordedReply returns the line body for a reply.
func RecordedReply(worker string, reply *wire.RequestReply) *Reply {
	return &Reply{
		Worker: worker, Request: reply.ID, Attempt: reply.Attempt, Outcome: nameOf(replyOutcomes, reply.Outcome),
		Status: reply.Status, Reason: uint8(reply.Reason),
	}
}

// RecordedReport returns the line body for a task event.
func RecordedReport(worker string, event *wire.TaskEvent) *Report {
	return &Report{
		Worker: worker, Boot: event.Session.BootID, Session: event.Session.Number, Task: event.TaskID,
		Attempt: event.Attempt, Event: nameOf(reportEvents, event.Type), Checkpoint: event.Checkpoint,
		ProgressPermille: event.ProgressPermille, Detail: event.Detail,
	}
}

// RecordedUsage returns the line body for a usage report.
func RecordedUsage(worker string, usage *wire.Usage) *Usage {
	recorded := &Usage{Worker: worker, Age: Duration(time.Duration(usage.AgeMillis) * time.Millisecond)}
	for index := range usage.Tasks {
		status := &usage.Tasks[index]
		if status.Running {
			recorded.Tasks = append(recorded.Tasks, TaskUsage{
				Task: status.TaskID, Attempt: status.Attempt, Class: status.Class, Size: status.Size, Use: status.Usage,
				ProgressPermille: status.ProgressPermille, ThrottlePermille: status.ThrottlePermille,
			})
		}
	}
	for _, latency := range usage.ServiceLatencies {
		recorded.Latencies = append(recorded.Latencies, ServiceLatency{
			Service: latency.Service, Requests: latency.Requests, P99: Duration(time.Duration(latency.P99Micros) * time.Microsecond),
		})
	}
	return recorded
}

// RecordedSubmission returns the line body for a specification. The payload is left out, since no
// decision depends on it.
func RecordedSubmission(spec *task.Spec) *Submit {
	return &Submit{
		Name: spec.Name, Kind: spec.Kind.String(), Team: spec.Team, Class: spec.Class, Priority: spec.Priority.String(),
		Size: spec.Size, ExpectedRunTime: Duration(spec.ExpectedRunTime), NonIdempotent: spec.NonIdempotent,
		Zones: spec.Zones, SpreadGroup: spec.SpreadGroup,
	}
}
