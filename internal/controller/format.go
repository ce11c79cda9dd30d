package controller

import (
	"fmt"
	"strings"

	"clementineflow/internal/scheduler"
)

func plural(count int, noun string) string {
	if count == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", count, noun)
}

func formatScores(scores []scheduler.ScorePart) string {
	parts := make([]string, 0, len(scores))
	for _, score := range scores {
		parts = append(parts, fmt.Sprintf("%s=%.3f", score.Name, score.Value))
	}
	return strings.Join(parts, " ")
}
