package fleet

import (
	"context"
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"clementineflow/internal/resource"
	"clementineflow/internal/runtime"
	"clementineflow/internal/standin/worker"
	"clementineflow/internal/task"
)

// TestStarts guards against counting failed starts, counting a start under the wrong priority, and a
// wrong time from submission to start.
func TestStarts(t *testing.T) {
	is := is.New(t)
	starts := newStartRecorder()
	inner := worker.NewRuntime(worker.RuntimeConfig{Capacity: resource.Quantity{MilliCPU: 1000}})
	attached, err := inner.Attach(context.Background())
	is.NoErr(err)
	recording := recordingRuntime{Runtime: inner, starts: starts}
	start := func(id string, session task.Session, urgent bool) error {
		payload, err := json.Marshal(Payload{
			RunMillis: 1000, SubmittedMillis: time.Now().Add(-2 * time.Second).UnixMilli(), Urgent: urgent,
		})
		is.NoErr(err)
		return recording.Start(context.Background(), runtime.StartRequest{
			Session: session, TaskID: id, Attempt: 1, Kind: task.KindBatch, Payload: payload, Lease: time.Minute,
		})
	}
	is.NoErr(start("batch/a/1", attached.Session, false))
	is.NoErr(start("batch/a/2", attached.Session, true))
	is.True(start("batch/a/3", task.Session{}, true) != nil) // an invalid session starts no task
	summary := starts.Summary()
	is.Equal(summary.Normal.Count, int64(1))
	is.Equal(summary.Urgent.Count, int64(1))
	is.True(summary.Urgent.MaxMillis >= 2000 && summary.Urgent.MaxMillis < 10_000)
	starts.reset()
	is.Equal(starts.Summary(), Summary{})
}

// TestNew guards against a wrong number of agents, and against accepting a configuration without zones.
func TestNew(t *testing.T) {
	is := is.New(t)
	config := Config{Agents: 7, Entries: []string{"127.0.0.1:1"}, Region: "r", Zones: []string{"a", "b"}, Logger: log.New(io.Discard)}
	created, err := New(config)
	is.NoErr(err)
	is.Equal(len(created.agents), 7)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.NoErr(created.Run(ctx))
	config.Zones = nil
	_, err = New(config)
	is.True(err != nil)
}
