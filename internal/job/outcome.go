package job

// Outcome is how a run ended.
type Outcome uint8

// Outcomes of a run.
const (
	// OutcomeDone is a run that completed its task.
	OutcomeDone Outcome = 1
	// OutcomeFailed is a run that failed by a fault of the task or the worker. It counts as an attempt.
	OutcomeFailed Outcome = 2
	// OutcomeStopped is a run that ended on a stop order.
	OutcomeStopped Outcome = 3
	// OutcomeLeaseExpired is a run whose lease expired.
	OutcomeLeaseExpired Outcome = 4
	// OutcomeGangMemberEnded is a run that was ended because another member of its gang ended.
	OutcomeGangMemberEnded Outcome = 5
	// OutcomeGangTimeout is a run of a gang member that timed out waiting for the other members.
	OutcomeGangTimeout Outcome = 6
)

// String returns the outcome's name as used in logs, or "unknown".
func (o Outcome) String() string {
	switch o {
	case OutcomeDone:
		return "done"
	case OutcomeFailed:
		return "failed"
	case OutcomeStopped:
		return "stopped"
	case OutcomeLeaseExpired:
		return "lapsed"
	case OutcomeGangMemberEnded:
		return "broken"
	case OutcomeGangTimeout:
		return "alone"
	default:
		return "unknown"
	}
}
