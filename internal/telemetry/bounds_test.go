package telemetry

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
)

// TestQueueBoundsBytes guards against long lines that fill the memory while the log is not read.
func TestQueueBoundsBytes(t *testing.T) {
	is := is.New(t)
	const lines = 100
	queue := NewQueue(&bytes.Buffer{}, lines)
	before := droppedLines.Get()
	long := []byte(strings.Repeat("x", 10*bytesPerLine))
	for range lines {
		_, err := queue.Write(long)
		is.NoErr(err)
	}
	is.True(queue.pendingBytes.Load() <= queue.maxPendingBytes)
	dropped := droppedLines.Get() - before
	is.True(dropped >= lines*8/10 && dropped < lines)
	queue.drain()
	is.Equal(queue.pendingBytes.Load(), int64(0))
	is.Equal(queue.pending.Load(), int64(0))
}

// TestRefusalLoggerIsBounded guards against callers that cause a log line with each refused request, and against refusals
// that the log doesn't tell of.
func TestRefusalLoggerIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var output bytes.Buffer
		refusals := NewRefusalLogger(log.New(&output))
		for range 2 * refusalBurst {
			refusals.Warn("refused")
		}
		is.Equal(strings.Count(output.String(), "refused"), refusalBurst)
		time.Sleep(time.Second)
		refusals.Warn("refused")
		is.True(strings.Contains(output.String(), "unlogged=500"))
	})
}

// TestInputIsCut guards against log lines as long as a caller likes.
func TestInputIsCut(t *testing.T) {
	is := is.New(t)
	is.Equal(Input("short"), "short")
	is.True(len(Input(strings.Repeat("x", 1<<16))) < 2*maxLoggedInput)
}
