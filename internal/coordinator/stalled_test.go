package coordinator

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"clementineflow/internal/job"
	"clementineflow/internal/operatorconfig"
	"clementineflow/internal/planner"
	"clementineflow/internal/resource"
)

// TestStalledTasksAreMeasured guards against a long-running task that stands still without a sign in the log or in the
// metrics, and against a former coordinator that goes on counting it.
func TestStalledTasksAreMeasured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		startedAt := time.Now()
		logs := &bytes.Buffer{}
		logger := log.NewWithOptions(logs, log.Options{Formatter: log.LogfmtFormatter})
		now := func() time.Duration { return time.Since(startedAt) }
		term := newTerm(Config{Now: now, Logger: logger, View: operatorconfig.NewView(nil, nil, logger)}, 1, 1, time.Hour)
		term.planner = planner.New(planner.Timing{}, 0)
		term.planner.AddJob(&job.Spec{ID: "a", Steps: []job.Step{
			{Count: 3, LongRunning: true, Need: resource.Quantity{MilliCPU: 1000}},
		}}, nil, 0, 0)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { term.runEventLoop(ctx); close(done) }()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		is.True(strings.Contains(exposition(), `clementine_stalled_tasks{reason="no configuration"} 3`))
		cancel()
		<-done
		is.True(strings.Contains(exposition(), `clementine_stalled_tasks{reason="no configuration"} 0`))
		is.True(strings.Contains(logs.String(), `msg="task stalled" term=1 task=a.0.0.0 run=0 phase=waiting stalled_ms=`))
		is.True(strings.Contains(logs.String(), `reason="no configuration"`))
	})
}

// exposition returns the metrics of the process.
func exposition() string {
	buffer := &bytes.Buffer{}
	metrics.WritePrometheus(buffer, false)
	return buffer.String()
}
