package caller

// Outcome classifies the result of one request from the caller's side.
type Outcome int

// Outcomes.
const (
	// OutcomeAnswered means that the complete response to this request arrived.
	OutcomeAnswered Outcome = iota
	// OutcomeNotRun means that the entry reported that the request did not run.
	OutcomeNotRun
	// OutcomeUnknown means that the entry reported that the request may have run.
	OutcomeUnknown
	// OutcomeTransport means that the connection failed or timed out before the complete response arrived,
	// or that a response without a known outcome header has a status of 500 or above.
	OutcomeTransport
	// OutcomeWrongAnswer means that the response belongs to another request.
	OutcomeWrongAnswer

	outcomeCount
)

var outcomeNames = [outcomeCount]string{"answered", "not-run", "unknown", "transport", "wrong-answer"}

// String returns the outcome's name. It panics for a value that is not one of the constants.
func (o Outcome) String() string { return outcomeNames[o] }
