package main

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestStopTimeout guards against an agent that never stops because a request does not end, and against
// one that is stopped before it has finished within its time.
func TestStopTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		slow := func(context.Context) error {
			time.Sleep(time.Minute)
			return nil
		}
		began := time.Now()
		is.Equal(runUntilStopped(ctx, 10*time.Second, slow), errStopTimeout)
		is.Equal(time.Since(began), 10*time.Second)
		is.NoErr(runUntilStopped(ctx, 2*time.Minute, slow))
	})
}
