package scheduler

// score rates a worker for a task; higher is better.
type score interface {
	name() string
	rate(c *cycle, t *candidate, n *node) float64
}

var scores = []score{interferenceScore{}, latencyScore{}, balanceScore{}, spreadScore{}, zoneScore{}}

// tieBreak is the range of the random part of a total. It spreads equal choices of several entries
// over the workers and is smaller than any difference that matters.
const tieBreak = 1e-3

// total returns the sum of all scores.
func (c *cycle) totalScore(t *candidate, n *node) float64 {
	sum := 0.0
	for _, s := range scores {
		sum += s.rate(c, t, n)
	}
	return sum
}

// scored returns the parts of a total for the explanation of a decision.
func (c *cycle) scored(t *candidate, n *node) []Scored {
	parts := make([]Scored, 0, len(scores))
	for _, s := range scores {
		parts = append(parts, Scored{Name: s.name(), Value: s.rate(c, t, n)})
	}
	return parts
}
