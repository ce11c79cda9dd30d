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
	// defaultSeeds takes about a minute with the race detector on a shared machine.
	defaultSeeds = 15
	// historySteps is the number of steps with actions and faults.
	historySteps = 40
	// faultRecoveryTime is how long after its end a fault may still have effects: the time without
	// acknowledgement after which entries deny a worker, its lease, and a second round of denials.
	faultRecoveryTime = 10 * time.Second
	// settleTimeout is how long after the last fault all tasks must reach their final state.
	settleTimeout = 10 * time.Minute
)

type interval struct{ from, to time.Time }

// history is one run of random operator calls and faults, chosen by a seed.
type history struct {
	t            *testing.T
	seed         uint64
	random       *rand.Rand
	cluster      *cluster
	operators    *operators
	faultPeriods []interval
	revisions    map[string]uint64
	log          *syncBuffer
	failures     int
}

// syncBuffer is a buffer that is safe for concurrent writes.
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

// TestFaultHistories guards against bugs in the task path that only a combination of failures reveals:
// use beyond a worker's capacity, a task that runs twice, a lost checkpoint, a start in a zone out of
// service, a configuration that reverts, and a task that never ends. Each seed determines the operators'
// actions and the failures; the checks use the records of the worker runtimes. CLEMENTINE_SEEDS sets
// the number of seeds, CLEMENTINE_SEED repeats one, CLEMENTINE_HISTORY_LOG names a file for its log.
// The seed fixes actions and failures, but not the interleaving of goroutines, so a seed may fail rarely.
func TestFaultHistories(t *testing.T) {
	// With several processors, ThreadSanitizer itself aborts after some tens of histories under the race
	// detector ("CHECK failed: tsan_rtl.cpp") without reporting a race.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	if seed, ok := envUint("CLEMENTINE_SEED"); ok {
		runHistory(t, seed)
		return
	}
	seeds, ok := envUint("CLEMENTINE_SEEDS")
	if !ok {
		seeds = defaultSeeds
	}
	first, _ := envUint("CLEMENTINE_FIRST_SEED")
	for seed := first + 1; seed <= first+seeds; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			runHistory(t, seed)
		})
	}
}

func envUint(variable string) (uint64, bool) {
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

// writeLog writes the log to the file that CLEMENTINE_HISTORY_LOG names. The log of a failed history is always
// written, by default to the temporary directory, since a repeated seed may interleave goroutines differently.
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

// failf reports a violated invariant with the command that repeats the seed. Only the first five are
// reported.
func (h *history) failf(format string, arguments ...any) {
	h.t.Helper()
	h.failures++
	if h.failures > 5 {
		return
	}
	message := fmt.Sprintf(format, arguments...)
	h.logf("invariant violated: %s", message)
	h.t.Errorf("seed %d: %s\nrepeat with: CLEMENTINE_SEED=%d CLEMENTINE_HISTORY_LOG=/tmp/history.log go test -race -run TestFaultHistories ./internal/entry",
		h.seed, message, h.seed)
}

func (h *history) logf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(h.log, "%s HISTORY %s\n", time.Now().UTC().Format(time.RFC3339Nano), fmt.Sprintf(format, arguments...))
}

// run executes the steps, ends all faults, waits for the final states and checks the invariants.
func (h *history) run() {
	time.Sleep(10 * time.Second) // the entries register, claim the shards and may deny workers
	var active []activeFault
	for range historySteps {
		active = h.endFaults(active)
		if len(active) < 2 && h.random.IntN(2) == 0 {
			active = h.beginFault(active)
		}
		for range h.random.IntN(6) {
			h.operators.startRandomAction()
		}
		time.Sleep(time.Duration(100+h.random.IntN(2000)) * time.Millisecond)
		h.checkInvariants()
	}
	h.logf("last step")
	for len(active) > 0 {
		time.Sleep(time.Second)
		active = h.endFaults(active)
		h.checkInvariants()
	}
	h.awaitFinalStates()
	h.checkInvariants()
	h.checkChanges()
	h.summarize()
}

// summarize logs the numbers of tasks, executions, faults and changes.
func (h *history) summarize() {
	executions, endings := 0, map[string]int{}
	for _, runs := range h.cluster.runs() {
		executions += len(runs)
		for _, r := range runs {
			endings[r.Ending]++
		}
	}
	h.t.Logf("%d tasks, %d executions %v, %d faults, %d changes, revision %d", len(h.operators.accepted), executions,
		endings, len(h.faultPeriods), len(h.operators.changes), h.cluster.document().Revision)
}

// activeFault is a fault that has begun, with its end time and its index in faultPeriods.
type activeFault struct {
	fault
	until time.Time
	index int
}

func (h *history) beginFault(active []activeFault) []activeFault {
	f := drawFault(h.cluster, h.random)
	for _, other := range active {
		// Two concurrent faults of the same process would overwrite each other's state.
		if faultTarget(other.name) == faultTarget(f.name) || isStoreFault(other.name) && isStoreFault(f.name) {
			return active
		}
	}
	h.logf("begin %s for %s", f.name, f.duration)
	h.faultPeriods = append(h.faultPeriods, interval{from: time.Now()})
	f.begin()
	return append(active, activeFault{f, time.Now().Add(f.duration), len(h.faultPeriods) - 1})
}

// faultTarget returns the name of the affected process, if there is one: it is the last word of a
// fault's name.
func faultTarget(name string) string {
	for i := len(name) - 1; i >= 0; i-- {
		if name[i] == ' ' {
			return name[i+1:]
		}
	}
	return name
}

func isStoreFault(name string) bool { return strings.HasPrefix(name, "store") }

// endFaults ends the faults whose time has passed.
func (h *history) endFaults(active []activeFault) []activeFault {
	var remaining []activeFault
	for _, f := range active {
		if time.Now().Before(f.until) {
			remaining = append(remaining, f)
			continue
		}
		h.logf("end %s", f.name)
		f.end()
		h.faultPeriods[f.index].to = time.Now()
	}
	return remaining
}

// awaitFinalStates brings the zones back into service and waits until everything is in its final state.
func (h *history) awaitFinalStates() {
	time.Sleep(faultRecoveryTime)
	h.operators.group.Wait()
	for _, zone := range []string{"z0", "z1"} {
		h.operators.startChange(h.cluster.members[0], &configurationChange{requestID: "settle" + zone, zone: zone}, configuration.SetZoneService(zone, false, ""))
		h.operators.group.Wait()
	}
	last := h.operators.changes[len(h.operators.changes)-1]
	if last.err != nil {
		h.failf("settle: a change failed although no fault was active: %v", last.err)
	}
	reason := ""
	for began := time.Now(); time.Since(began) < settleTimeout; {
		time.Sleep(2 * time.Second)
		if reason = h.unsettled(); reason == "" {
			return
		}
	}
	h.failf("settle: %s", reason)
}

// isNonIdempotent reports whether the task is non-idempotent, even if the outcome of its submission is
// unknown.
func (o *operators) isNonIdempotent(id string) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.nonIdempotent[id]
}

func isOutcomeUnknown(err, unknown error) bool {
	return errors.Is(err, unknown) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}
