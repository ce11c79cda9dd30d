package jobs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"clementineflow/internal/gateway"
	"clementineflow/internal/resource"
	"clementineflow/internal/standin/jobworker"
)

// lockedBuffer collects the log of all processes; it is safe for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(line)
}

// linesOf returns the log lines that contain the id.
func (b *lockedBuffer) linesOf(id string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []string
	for line := range strings.Lines(b.buffer.String()) {
		if strings.Contains(line, id) {
			found = append(found, line)
		}
	}
	return strings.Join(found, "")
}

// TestFailureIsExplainedByItsID guards against a failed job whose cause can't be found by searching the log
// for its id.
func TestFailureIsExplainedByItsID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		logs := &lockedBuffer{}
		r := newRegionWithLog(t, 2, 3, 1, log.NewWithOptions(logs, log.Options{Formatter: log.LogfmtFormatter}))
		r.work = func(task string) jobworker.Work {
			return jobworker.Work{
				Duration: 100 * time.Millisecond, Need: resource.Quantity{MilliCPU: 1000},
				Fails: strings.HasSuffix(task, ".1"),
			}
		}
		time.Sleep(3 * time.Second)
		const id = "00000000000000ee"
		is.Equal(r.submit(r.nonLeader(), newSpec(id, 2)), gateway.Accepted)
		time.Sleep(10 * time.Second)
		lines := logs.linesOf(id)
		for _, want := range []string{
			`msg="job stored"`, `msg="job accepted"`, `msg="task assigned"`, `msg="run started"`,
			`task=` + id + `.0.0.1 run=3`, `outcome=failed`, `msg="job failed"`, `failures=3`, `state=failed`,
		} {
			if !strings.Contains(lines, want) {
				t.Errorf("no line of the job has %s", want)
			}
		}
		r.checkGuarantees()
		r.stop()
	})
}
