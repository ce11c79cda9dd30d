package wait_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/wait"
)

// TestSleep guards against a delay that continues after its context has ended, and against one that is too short.
func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		is.True(wait.Sleep(t.Context(), time.Second))
		is.Equal(time.Since(began), time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(!wait.Sleep(ctx, time.Minute))
		is.Equal(time.Since(began), 2*time.Second)
	})
}
