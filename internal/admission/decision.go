package admission

import "time"

// Reason says why a request is not admitted.
type Reason uint8

// Reasons of a decision.
const (
	// Admitted: the request goes on to routing.
	Admitted Reason = iota
	// TeamRate: the team is above its configured rate.
	TeamRate
	// CallerRate: the caller is above its share of the team's rate.
	CallerRate
	// FairShare: the system is overloaded and the team holds more than its weighted share.
	FairShare
	// Shed: the system is overloaded and the request's class is shed.
	Shed
	// UnknownTeam: the configuration has no such team.
	UnknownTeam
)

// String returns the reason for logs and metrics.
func (r Reason) String() string {
	switch r {
	case Admitted:
		return "admitted"
	case TeamRate:
		return "team_rate"
	case CallerRate:
		return "caller_rate"
	case FairShare:
		return "fair_share"
	case Shed:
		return "shed"
	default:
		return "unknown_team"
	}
}

// Decision is the result of Admit.
type Decision struct {
	Reason Reason
	// RetryAfter is when a refused request may succeed.
	RetryAfter time.Duration
}

// OK reports whether the request is admitted.
func (d Decision) OK() bool { return d.Reason == Admitted }
