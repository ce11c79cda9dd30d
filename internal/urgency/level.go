package urgency

// Level tells how useful the end of a job still is.
type Level uint8

const (
	// InTime is a job that can meet its objective, or that has none.
	InTime Level = iota
	// Late is a job that can no longer meet its objective, but can end while its result is still useful.
	Late
	// Overdue is any other job.
	Overdue
)

// String returns the name of the level.
func (l Level) String() string {
	switch l {
	case InTime:
		return "in time"
	case Late:
		return "late"
	default:
		return "overdue"
	}
}
