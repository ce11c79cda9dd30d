package planner

// StallReason is why a long-running task has no run at work. The first values are those for which a worker is excluded
// from a placement, in the order in which they are checked.
type StallReason uint8

// Reasons for which a worker is excluded from the placement of a task.
const (
	// StallNone is the value for a worker that takes the task.
	StallNone StallReason = iota
	// StallWorkerUnavailable is a worker whose agent is unreachable, that is not ready, or that is leaving.
	StallWorkerUnavailable
	// StallNotAllowed is a worker of another service, without the label, or in a zone that is out of service.
	StallNotAllowed
	// StallWorkerPaused is a worker that gets no task for a moment after it refused one, or while a suspected task starts
	// alone there.
	StallWorkerPaused
	// StallWorkerBound is a worker with as many tasks of the step as the step allows on one.
	StallWorkerBound
	// StallWorkerSuspected is a worker that is suspected after failed runs.
	StallWorkerSuspected
	// StallNoIdle is a worker without the idle processors that a filler requires.
	StallNoIdle
	// StallNoRoom is a worker without the free resources.
	StallNoRoom
	// StallJustStarted is a worker on which another task has just started, which excludes it for a suspected task.
	StallJustStarted
	// StallNoHeadroom is a worker on which a filler would leave too little to runs with a latency target.
	StallNoHeadroom

	exclusionCount
)

// Other reasons of a task that waits.
const (
	// StallNoConfiguration is a coordinator that has received no configuration.
	StallNoConfiguration = iota + exclusionCount
	// StallStepNotReady is a step whose earlier steps are not done.
	StallStepNotReady
	// StallCommitPending is an assignment that is not committed, or a planner whose assignments can't be committed.
	StallCommitPending
	// StallProbations is a suspected task while as many others of its job as may do so at a time start alone.
	StallProbations
	// StallEarlierTask is a task that a worker takes, behind an earlier one of its step that none takes.
	StallEarlierTask
	// StallNotPlaced is a task that a worker takes and that the next pass is expected to place.
	StallNotPlaced
	// StallNoWorker is a planner that knows no worker.
	StallNoWorker
)

// Reasons of a task that is assigned.
const (
	// StallAgentUnreachable is a run whose agent is not connected; it may work until the agent's authority ends.
	StallAgentUnreachable = iota + StallNoWorker + 1
	// StallWorkerLost is a run on a worker that its agent reports as lost.
	StallWorkerLost
	// StallWorkerNotReady is a run whose agent has not reported a worker.
	StallWorkerNotReady
	// StallStopping is a run that was ordered to stop and has not ended.
	StallStopping
	// StallStartNotConfirmed is a run that was ordered and that its agent has not reported.
	StallStartNotConfirmed
	// StallNotReported is a run that its connected agent has stopped reporting.
	StallNotReported
	// StallNotAtWork is a run that its agent reports with less than its full progress.
	StallNotAtWork

	stallReasonCount
)

var stallReasonNames = [stallReasonCount]string{
	StallWorkerUnavailable: "worker unavailable",
	StallNotAllowed:        "service, label or zone not allowed",
	StallWorkerPaused:      "worker paused",
	StallWorkerBound:       "bound per worker",
	StallWorkerSuspected:   "worker suspected",
	StallNoIdle:            "no idle processors",
	StallNoRoom:            "no room",
	StallJustStarted:       "another task just started",
	StallNoHeadroom:        "no headroom",
	StallNoConfiguration:   "no configuration",
	StallStepNotReady:      "step not ready",
	StallCommitPending:     "commit pending",
	StallProbations:        "probation of other tasks",
	StallEarlierTask:       "earlier task of the step",
	StallNotPlaced:         "not placed yet",
	StallNoWorker:          "no worker",
	StallAgentUnreachable:  "agent unreachable",
	StallWorkerLost:        "worker lost",
	StallWorkerNotReady:    "worker not ready",
	StallStopping:          "stopping",
	StallStartNotConfirmed: "start not confirmed",
	StallNotReported:       "run not reported",
	StallNotAtWork:         "run not at work",
}

// String returns the reason as it stands in the log and in the metrics.
func (r StallReason) String() string {
	if r < stallReasonCount {
		return stallReasonNames[r]
	}
	return "unknown"
}

// StallReasons returns all reasons of a stalled task.
func StallReasons() []StallReason {
	reasons := make([]StallReason, 0, stallReasonCount-1)
	for reason := StallNone + 1; reason < stallReasonCount; reason++ {
		reasons = append(reasons, reason)
	}
	return reasons
}
