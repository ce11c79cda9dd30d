package losses

// Cause is what a job's time was spent on.
type Cause string

// Causes of a job's duration.
const (
	// CauseAccepting is the time from the submission until a coordinator knew the job.
	CauseAccepting Cause = "accepting"
	// CauseWaiting is the time in which a task that could run had no worker.
	CauseWaiting Cause = "waiting for a worker"
	// CauseRunning is the expected duration of a run that completed its task.
	CauseRunning Cause = "running"
	// CauseSlow is what such a run took beyond its expected duration: it was throttled, or its worker was slow.
	CauseSlow Cause = "running slower than expected"
	// CauseRepeated is the time of runs that did not complete the task.
	CauseRepeated Cause = "runs that failed, were stopped or lost"
)

// Causes lists all causes in the order in which they are shown.
func Causes() []Cause {
	return []Cause{CauseAccepting, CauseWaiting, CauseRunning, CauseSlow, CauseRepeated}
}
