package entry

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/configuration"
	"clementineflow/internal/task"
)

const (
	// defaultSeeds is what fits in about a minute with the race detector on a shared machine.
	defaultSeeds = 15
	// historySteps is the number of steps with actions and faults.
	historySteps = 40
	// faultAftermath is how long a fault may show after its end: silence, lease and a second denial.
	faultAftermath = 10 * time.Second
	// settleBound is how long after the last fault everything must be in its final state.
	settleBound = 10 * time.Minute
)

type interval struct{ from, to time.Time }

// history is one seeded run.
type history struct {
	t         *testing.T
	seed      uint64
	random    *rand.Rand
	cluster   *cluster
	operators *operators
	faulty    []interval
	revisions map[string]uint64
	log       *syncBuffer
	failures  int
}

// syncBuffer is a log that many goroutines write.
type syncBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(p)
}

// TestFaultHistories guards against faults in the task path that only a combination of failures shows:
// work beyond a worker's capacity, a task that runs twice, a lost checkpoint, a start in a zone out of
// service, a configuration that reverts, and a task that never ends. Each seed draws the operators'
// actions and the failures; the checks use the records of the worker runtimes. CLEMENTINE_SEEDS sets
// the number of seeds, CLEMENTINE_SEED repeats one, CLEMENTINE_HISTORY_LOG names a file for its log.
// The seed fixes actions and failures, but not the interleaving of goroutines, so a seed may fail rarely.
func TestFaultHistories(t *testing.T) {
	// Under the race detector, ThreadSanitizer itself stops after some tens of histories on several
	// processors ("CHECK failed: tsan_rtl.cpp"); it names no race.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	if seed, ok := number("CLEMENTINE_SEED"); ok {
		runHistory(t, seed)
		return
	}
	seeds, ok := number("CLEMENTINE_SEEDS")
	if !ok {
		seeds = defaultSeeds
	}
	first, _ := number("CLEMENTINE_FIRST_SEED")
	for seed := first + 1; seed <= first+seeds; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			runHistory(t, seed)
		})
	}
}

func number(variable string) (uint64, bool) {
	value, err := strconv.ParseUint(os.Getenv(variable), 10, 64)
	return value, err == nil
}

func runHistory(t *testing.T, seed uint64) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, seed))
		h := &history{t: t, seed: seed, random: random, revisions: map[string]uint64{}, log: &syncBuffer{}}
		h.cluster = newCluster(t, 2+random.IntN(2), 3+random.IntN(3), seed, h.log)
		h.operators = &operators{cluster: h.cluster, random: random, accepted: map[string]task.Spec{}, nonIdempotent: map[string]bool{}, cancelled: map[string]bool{}}
		h.run()
		h.cluster.close()
		h.writeLog()
	})
}

// writeLog keeps the log of a failed history, since the interleaving of goroutines is not repeated.
func (h *history) writeLog() {
	name := os.Getenv("CLEMENTINE_HISTORY_LOG")
	if h.t.Failed() && name == "" {
		name = filepath.Join(os.TempDir(), fmt.Sprintf("history-%d.log", h.seed))
		h.t.Logf("the log is in %s", name)
	}
	if name == "" {
		return
	}
	if err := os.WriteFile(name, h.log.buffer.Bytes(), 0o600); err != nil {
		h.t.Error(err)
	}
}

// failf reports a broken rule with the command that repeats the seed.
func (h *history) failf(format string, arguments ...any) {
	h.t.Helper()
	h.failures++
	if h.failures > 5 {
		return
	}
	message := fmt.Sprintf(format, arguments...)
	h.logf("broken: %s", message)
	h.t.Errorf("seed %d: %s\nrepeat with: CLEMENTINE_SEED=%d CLEMENTINE_HISTORY_LOG=/tmp/history.log go test -race -run TestFaultHistories ./internal/entry",
		h.seed, message, h.seed)
}

func (h *history) logf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(h.log, "%s HISTORY %s\n", time.Now().UTC().Format(time.RFC3339Nano), fmt.Sprintf(format, arguments...))
}

// run makes the steps, ends all faults and waits for the final states.
func (h *history) run() {
	time.Sleep(10 * time.Second) // the entries register, claim the shards and may deny workers
	var active []activeFault
	for range historySteps {
		active = h.endFaults(active)
		if len(active) < 2 && h.random.IntN(2) == 0 {
			active = h.beginFault(active)
		}
		for range h.random.IntN(6) {
			h.operators.act()
		}
		time.Sleep(time.Duration(100+h.random.IntN(2000)) * time.Millisecond)
		h.check()
	}
	h.logf("last step")
	for len(active) > 0 {
		time.Sleep(time.Second)
		active = h.endFaults(active)
		h.check()
	}
	h.settle()
	h.check()
	h.checkChanges()
	h.summarize()
}

// summarize logs how much has happened.
func (h *history) summarize() {
	executions, endings := 0, map[string]int{}
	for _, runs := range h.cluster.runs() {
		executions += len(runs)
		for _, r := range runs {
			endings[r.Ending]++
		}
	}
	h.t.Logf("%d tasks, %d executions %v, %d faults, %d changes, revision %d", len(h.operators.accepted), executions,
		endings, len(h.faulty), len(h.operators.changes), h.cluster.document().Revision)
}

// activeFault is a fault that has begun.
type activeFault struct {
	fault
	until time.Time
	index int
}

func (h *history) beginFault(active []activeFault) []activeFault {
	f := drawFault(h.cluster, h.random)
	for _, other := range active {
		// Two faults of the same process at once would undo each other's state.
		if target(other.name) == target(f.name) || touchesStore(other.name) && touchesStore(f.name) {
			return active
		}
	}
	h.logf("begin %s for %s", f.name, f.duration)
	h.faulty = append(h.faulty, interval{from: time.Now()})
	f.begin()
	return append(active, activeFault{f, time.Now().Add(f.duration), len(h.faulty) - 1})
}

// target returns the last word of a fault's name.
func target(name string) string {
	for i := len(name) - 1; i >= 0; i-- {
		if name[i] == ' ' {
			return name[i+1:]
		}
	}
	return name
}

func touchesStore(name string) bool { return strings.HasPrefix(name, "store") }

// endFaults ends the faults whose time has passed.
func (h *history) endFaults(active []activeFault) []activeFault {
	var left []activeFault
	for _, f := range active {
		if time.Now().Before(f.until) {
			left = append(left, f)
			continue
		}
		h.logf("end %s", f.name)
		f.end()
		h.faulty[f.index].to = time.Now()
	}
	return left
}

// settle brings the zones back into service and waits until everything is in its final state.
func (h *history) settle() {
	time.Sleep(faultAftermath)
	h.operators.group.Wait()
	for _, zone := range []string{"z0", "z1"} {
		h.operators.change(h.cluster.members[0], &change{requestID: "settle" + zone, zone: zone}, configuration.SetZoneService(zone, false, ""))
		h.operators.group.Wait()
	}
	last := h.operators.changes[len(h.operators.changes)-1]
	if last.err != nil {
		h.failf("settle: a change without any fault failed: %v", last.err)
	}
	reason := ""
	for began := time.Now(); time.Since(began) < settleBound; {
		time.Sleep(2 * time.Second)
		if reason = h.unsettled(); reason == "" {
			return
		}
	}
	h.failf("settle: %s", reason)
}

// isNonIdempotent reports whether the task is non-idempotent, also if the outcome of its submission is
// not known.
func (o *operators) isNonIdempotent(id string) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.nonIdempotent[id]
}

func isOutcomeUnknown(err, unknown error) bool {
	return errors.Is(err, unknown) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}
