package main

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestStopTimeout guards against an agent that never stops because a request does not end, and against
// one that is stopped although it would finish within the timeout.
func TestStopTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		slow := func(context.Context) error {
			time.Sleep(time.Minute)
			return nil
		}
		start := time.Now()
		is.Equal(runUntilStopped(ctx, 10*time.Second, slow), errStopTimeout)
		is.Equal(time.Since(start), 10*time.Second)
		is.NoErr(runUntilStopped(ctx, 2*time.Minute, slow))
	})
}
