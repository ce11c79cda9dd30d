package scheduler

// scorer scores a worker for a task; higher is better.
type scorer interface {
	name() string
	score(c *cycle, t *candidate, n *node) float64
}

var scorers = []scorer{interferenceScorer{}, latencyScorer{}, balanceScorer{}, spreadScorer{}, zoneScorer{}}

// tieBreakRange is the upper bound of the random number added to a total score. It distributes
// placements over workers with equal scores when several entries decide independently, and is smaller
// than any relevant score difference.
const tieBreakRange = 1e-3

// totalScore returns the sum of all scores.
func (c *cycle) totalScore(t *candidate, n *node) float64 {
	sum := 0.0
	for _, s := range scorers {
		sum += s.score(c, t, n)
	}
	return sum
}

// scoreParts returns the individual scores of a worker, which explain an assignment.
func (c *cycle) scoreParts(t *candidate, n *node) []ScorePart {
	parts := make([]ScorePart, 0, len(scorers))
	for _, s := range scorers {
		parts = append(parts, ScorePart{Name: s.name(), Value: s.score(c, t, n)})
	}
	return parts
}
