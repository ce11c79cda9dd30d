package job

// State is the state of a job as reported to callers.
type State uint8

// States of a job.
const (
	StateQueued    State = 0
	StateRunning   State = 1
	StateDone      State = 2
	StateFailed    State = 3
	StateCancelled State = 4
)

// Final reports whether the state is final: done, failed or cancelled.
func (s State) Final() bool { return s >= StateDone }

// String returns the state's name as used in logs, or "unknown".
func (s State) String() string {
	switch s {
	case StateQueued:
		return "queued"
	case StateRunning:
		return "running"
	case StateDone:
		return "done"
	case StateFailed:
		return "failed"
	case StateCancelled:
		return "cancelled"
	default:
		return "unknown"
	}
}
