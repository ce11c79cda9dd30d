package scheduler

import (
	"cmp"
	"slices"

	"clementineflow/internal/resource"
)

// queue orders candidates by rank, then by the weighted fair share of their teams, then by age.
type queue struct {
	cycle *cycle
	ranks []rankQueue
}

// rankQueue holds the candidates of one rank by team; those of a team are ordered oldest first.
type rankQueue struct {
	rank  int
	teams []*teamQueue
}

type teamQueue struct {
	team       string
	weight     float64
	candidates []*candidate
}

func newQueue(c *cycle, candidates []*candidate) *queue {
	slices.SortStableFunc(candidates, func(a, b *candidate) int {
		return cmp.Or(
			cmp.Compare(b.rank, a.rank),
			cmp.Compare(a.record.Spec.Team, b.record.Spec.Team),
			a.record.CreatedAt.Compare(b.record.CreatedAt),
			cmp.Compare(a.record.ID, b.record.ID),
		)
	})
	q := &queue{cycle: c}
	for _, t := range candidates {
		q.add(t)
	}
	return q
}

func (q *queue) add(t *candidate) {
	if len(q.ranks) == 0 || q.ranks[len(q.ranks)-1].rank != t.rank {
		q.ranks = append(q.ranks, rankQueue{rank: t.rank})
	}
	last := &q.ranks[len(q.ranks)-1]
	team := t.record.Spec.Team
	if len(last.teams) == 0 || last.teams[len(last.teams)-1].team != team {
		last.teams = append(last.teams, &teamQueue{team: team, weight: q.teamWeight(team)})
	}
	current := last.teams[len(last.teams)-1]
	current.candidates = append(current.candidates, t)
}

func (q *queue) teamWeight(name string) float64 {
	team, ok := q.cycle.snapshot.Document.Team(name)
	if !ok || team.Weight < 1 {
		return 1
	}
	return float64(team.Weight)
}

// next removes and returns the next candidate, or returns nil if the queue is empty.
func (q *queue) next() *candidate {
	for len(q.ranks) > 0 {
		first := &q.ranks[0]
		if len(first.teams) == 0 {
			q.ranks = q.ranks[1:]
			continue
		}
		index := q.leastServed(first.teams)
		team := first.teams[index]
		t := team.candidates[0]
		team.candidates = team.candidates[1:]
		if len(team.candidates) == 0 {
			first.teams = slices.Delete(first.teams, index, index+1)
		}
		return t
	}
	return nil
}

// leastServed returns the index of the team with the smallest dominant share relative to its weight.
func (q *queue) leastServed(teams []*teamQueue) int {
	best, bestShare := 0, 0.0
	for index, team := range teams {
		served := dominantShare(q.cycle.teamUse[team.team], q.cycle.totalCapacity) / team.weight
		if index == 0 || served < bestShare {
			best, bestShare = index, served
		}
	}
	return best
}

func dominantShare(use, total resource.Quantity) float64 {
	return max(
		fraction(use.MilliCPU, total.MilliCPU), fraction(use.MemoryBytes, total.MemoryBytes),
		fraction(use.Accelerators, total.Accelerators),
	)
}
