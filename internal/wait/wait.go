// Package wait pauses goroutines.
package wait

import (
	"context"
	"time"
)

// Sleep waits for the duration and reports whether the context is still open.
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
