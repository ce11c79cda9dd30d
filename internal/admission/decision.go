package admission

import "time"

// Reason is the reason for an admission decision. The zero value is Admitted.
type Reason uint8

// Reasons for a decision.
const (
	// Admitted: the request proceeds to routing.
	Admitted Reason = iota
	// TeamRate: the team is above its configured rate.
	TeamRate
	// CallerRate: the caller is above its share of the team's rate.
	CallerRate
	// FairShare: the system is overloaded and the team holds more than its weighted share.
	FairShare
	// Shed: the system is overloaded and requests of this priority are shed.
	Shed
	// UnknownTeam: the configuration has no such team.
	UnknownTeam
)

// String returns the reason as it appears in logs and metric labels.
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
	// RetryAfter is the delay after which a refused request may succeed; zero if no retry is suggested.
	RetryAfter time.Duration
}

// OK reports whether the request is admitted.
func (d Decision) OK() bool { return d.Reason == Admitted }
