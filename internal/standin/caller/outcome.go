package caller

// Outcome is what a caller saw of one request.
type Outcome int

// Outcomes.
const (
	// OutcomeAnswered is a whole answer to the caller's own request.
	OutcomeAnswered Outcome = iota
	// OutcomeNotRun is the entry's statement that the request did not run.
	OutcomeNotRun
	// OutcomeUnknown is the entry's statement that the request may have run.
	OutcomeUnknown
	// OutcomeTransport is a connection that failed before a whole answer arrived.
	OutcomeTransport
	// OutcomeWrongAnswer is an answer that belongs to another request.
	OutcomeWrongAnswer

	outcomeCount
)

var outcomeNames = [outcomeCount]string{"answered", "not-run", "unknown", "transport", "wrong-answer"}

// String returns the outcome's name.
func (o Outcome) String() string { return outcomeNames[o] }
