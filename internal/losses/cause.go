package losses

// Cause is what a job's time was spent on.
type Cause string

// Causes of a job's duration.
const (
	// CauseAccepting is the time from the submission until a coordinator knew the job.
	CauseAccepting Cause = "accepting"
	// CauseWaiting is the time in which a task that could run had no worker.
	CauseWaiting Cause = "waiting for a worker"
	// CausePromoted is such a wait that the coordinator ended by placing the task out of order: the job was owed progress.
	CausePromoted Cause = "waiting until the progress bound"
	// CauseStarved is such a wait that it ended because no task of the job's priority had got a worker.
	CauseStarved Cause = "waiting until the bound of its priority"
	// CauseHeld is the time in which such a task waited while a worker was held for its job.
	CauseHeld Cause = "waiting for a held worker"
	// CauseMoved is the time from the decision to move a filler away from a run with a latency target until its next run.
	CauseMoved Cause = "moving away from latency targets"
	// CauseRunning is the expected duration of a run that completed its task, and of the work that a moved run has saved.
	CauseRunning Cause = "running"
	// CauseSlow is what a completed or moved run took beyond that: it was throttled, or its worker was slow.
	CauseSlow Cause = "running slower than expected"
	// CauseRepeated is the time of other runs that did not complete the task, and of the work that was lost in a move.
	CauseRepeated Cause = "runs that failed, were stopped or lost"
)

// Causes lists all causes in the order in which they are shown.
func Causes() []Cause {
	return []Cause{
		CauseAccepting, CauseWaiting, CausePromoted, CauseStarved, CauseHeld, CauseMoved, CauseRunning, CauseSlow,
		CauseRepeated,
	}
}
