package replay

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// TestRecorder guards against a recorder that blocks when nothing is written, exceeds its limit, or
// writes a trace that cannot be decoded.
func TestRecorder(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "trace.jsonl")
	recorder, err := NewRecorder(path, 2000, Header{Seed: 1, Region: "r"})
	is.NoErr(err)
	before := droppedLines.Get()
	for range recorderQueue + 10 {
		recorder.Record(Line{Store: &Store{Up: true}})
	}
	is.Equal(droppedLines.Get()-before, uint64(10)) // the queue is full and nothing blocked
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.NoErr(recorder.Run(ctx))
	file, err := os.Open(path)
	is.NoErr(err)
	defer func() { _ = file.Close() }()
	info, err := file.Stat()
	is.NoErr(err)
	is.True(info.Size() <= 2000)
	trace, err := Decode(file)
	is.NoErr(err)
	is.True(len(trace.Events) > 10)
	is.Equal(droppedLines.Get()-before, uint64(10+recorderQueue-len(trace.Events)))
	(*Recorder)(nil).Record(Line{}) // recording is off
}
