package contain

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
)

// TestDutyGoesOnAfterAPanic guards against a background task that stops after a panic while its process keeps
// running, and against a panic that is not logged.
func TestDutyGoesOnAfterAPanic(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	calls := 0
	RunWithRestart(t.Context(), log.New(&output), "test duty", func(context.Context) {
		calls++
		if calls < 3 {
			panic("unexpected")
		}
	})
	is.Equal(calls, 3)
	is.Equal(strings.Count(output.String(), "panic contained"), 2)
}

// TestDutyEndsWithItsContext guards against restarting a background task forever while the process shuts down.
func TestDutyEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	calls := 0
	RunWithRestart(ctx, log.New(&bytes.Buffer{}), "test duty", func(context.Context) {
		calls++
		cancel()
		panic("unexpected")
	})
	is.Equal(calls, 1)
}
