// Package wait provides delays that end early when a context is cancelled.
package wait

import (
	"context"
	"time"
)

// Sleep waits for the duration or until the context ends. It reports whether the context is still active.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}
