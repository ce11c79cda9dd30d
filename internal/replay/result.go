package replay

// Outcome is the verdict on one stated outcome.
type Outcome struct {
	Line   int    `json:"line"`
	Name   string `json:"name"`
	Passed bool   `json:"passed"`
	// Detail says what was found.
	Detail string `json:"detail"`
}

// Result is the result of a replay.
type Result struct {
	Outcomes []Outcome `json:"outcomes"`
	Passed   int       `json:"passed"`
	Failed   int       `json:"failed"`
	// Events counts the trace's events and those derived from the decisions.
	Events int `json:"events"`
	// Decisions is the decision log, one decision a line.
	Decisions []byte `json:"-"`
}
