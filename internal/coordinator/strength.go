package coordinator

import (
	"context"
	"time"

	"clementineflow/internal/wait"
)

const (
	// minStrengthRatio is how many times as strong another entry must be for this one to give it precedence. A
	// handover stops new starts for about a second, so a small gain is not worth it.
	minStrengthRatio = 1.5
	// minCandidacyDelay and maxCandidacyDelay bound how long a weaker entry delays its candidacy.
	minCandidacyDelay = 150 * time.Millisecond
	maxCandidacyDelay = 400 * time.Millisecond
	// yieldCheckInterval is the time between two checks for a stronger entry. yieldCooldown is the minimum time
	// between two handovers by one entry, in case the stronger one does not take over.
	yieldCheckInterval = time.Second
	yieldCooldown      = 10 * time.Second
	// probeTimeout bounds the check whether a stronger entry is available.
	probeTimeout = time.Second
)

// candidacyDelay returns how long an entry delays its candidacy, so that a stronger one is elected if it is up:
// not every entry has enough processor for the coordinator's work.
func candidacyDelay(own, strongest float64) time.Duration {
	if strongest < minStrengthRatio*own {
		return 0
	}
	shortfall := 1 - own/strongest
	return minCandidacyDelay + time.Duration(shortfall*float64(maxCandidacyDelay-minCandidacyDelay))
}

// yieldToStronger ends the term once an entry that is stronger by minStrengthRatio is available.
func (t *term) yieldToStronger(ctx context.Context, end context.CancelCauseFunc) {
	for wait.Sleep(ctx, yieldCheckInterval) {
		threshold := minStrengthRatio * t.config.Strength
		if t.config.Now() < t.yieldNotBefore || t.config.Peers.MaxStrength() < threshold {
			continue
		}
		probe, cancel := context.WithTimeout(ctx, probeTimeout)
		available := t.config.Peers.StrongerAvailable(probe, threshold)
		cancel()
		if available && ctx.Err() == nil {
			t.config.Logger.Info("handing over to a stronger entry", "strength", t.config.Strength, "strongest", t.config.Peers.MaxStrength())
			end(errYielded)
			return
		}
	}
}
