package job

// Outcome is how a run ended.
type Outcome uint8

// Outcomes of a run.
const (
	// OutcomeDone is a run that completed its task.
	OutcomeDone Outcome = 1
	// OutcomeFailed is a run that failed by its own fault or the worker's; it counts as an attempt.
	OutcomeFailed Outcome = 2
	// OutcomeStopped is a run that was told to stop.
	OutcomeStopped Outcome = 3
	// OutcomeLapsed is a run whose lease ended.
	OutcomeLapsed Outcome = 4
	// OutcomeBroken is a run that ended with another member of its gang.
	OutcomeBroken Outcome = 5
	// OutcomeAlone is a member of a gang that waited in vain for the others.
	OutcomeAlone Outcome = 6
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	switch o {
	case OutcomeDone:
		return "done"
	case OutcomeFailed:
		return "failed"
	case OutcomeStopped:
		return "stopped"
	case OutcomeLapsed:
		return "lapsed"
	case OutcomeBroken:
		return "broken"
	case OutcomeAlone:
		return "alone"
	default:
		return "unknown"
	}
}
