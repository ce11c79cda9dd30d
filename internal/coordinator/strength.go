package coordinator

import (
	"context"
	"time"

	"clementineflow/internal/wait"
)

const (
	// clearlyStronger is how many times as strong another entry must be for this one to stand back. A
	// hand-over stops new starts for about a second, so a small gain is not worth it.
	clearlyStronger = 1.5
	// minStandDelay and maxStandDelay bound how long an entry stands back in an election.
	minStandDelay = 150 * time.Millisecond
	maxStandDelay = 400 * time.Millisecond
	// yieldInterval is the time between two looks for a stronger entry, and yieldPause that between two
	// hand-overs of one entry, in case the stronger one does not take over.
	yieldInterval = time.Second
	yieldPause    = 10 * time.Second
	// probeTimeout bounds the look at a stronger entry.
	probeTimeout = time.Second
)

// standDelay returns how long an entry waits with its candidacy, so that a stronger one is elected if it is
// up: the coordinator's work does not fit every entry's processor.
func standDelay(own, strongest float64) time.Duration {
	if strongest < clearlyStronger*own {
		return 0
	}
	weakness := 1 - own/strongest
	return minStandDelay + time.Duration(weakness*float64(maxStandDelay-minStandDelay))
}

// yield ends the term once a clearly stronger entry could take over.
func (t *term) yield(ctx context.Context, end context.CancelCauseFunc) {
	for wait.Sleep(ctx, yieldInterval) {
		threshold := clearlyStronger * t.config.Strength
		if t.config.Now() < t.yieldFrom || t.config.Peers.Strongest() < threshold {
			continue
		}
		probe, cancel := context.WithTimeout(ctx, probeTimeout)
		serves := t.config.Peers.StrongerServes(probe, threshold)
		cancel()
		if serves && ctx.Err() == nil {
			t.config.Logger.Info("handing over to a stronger entry", "strength", t.config.Strength, "strongest", t.config.Peers.Strongest())
			end(errYielded)
			return
		}
	}
}
