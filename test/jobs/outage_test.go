package jobs

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/gateway"
	"clementineflow/internal/operatorconfig"
	"clementineflow/internal/standin/kvstore"
	"clementineflow/internal/store"
)

// quietCoordinator ignores stored jobs.
type quietCoordinator struct{ noCoordinator }

// NotifyStored implements gateway.Coordinator.
func (quietCoordinator) NotifyStored(string, []byte) {}

// submissionLoad submits a job each interval to a gateway and counts the outcomes.
type submissionLoad struct {
	gateway  *gateway.Gateway
	number   int
	outcomes map[gateway.Outcome]int
	// heldFor is the longest time until a refusal.
	heldFor time.Duration
	done    chan submissionResult
}

type submissionResult struct {
	outcome gateway.Outcome
	took    time.Duration
}

// submitFor submits jobs for the given time and waits for all outcomes.
func (l *submissionLoad) submitFor(ctx context.Context, period, interval time.Duration) {
	l.outcomes, l.heldFor, l.done = map[gateway.Outcome]int{}, 0, make(chan submissionResult, 1000)
	count := 0
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(interval) {
		id := fmt.Sprintf("%016x", l.number)
		l.number++
		count++
		go func() {
			began := time.Now()
			reply := l.gateway.Submit(ctx, "host", "/queue/"+id, newSpec(id, 1))
			l.done <- submissionResult{reply.Outcome, time.Since(began)}
		}()
	}
	for range count {
		result := <-l.done
		l.outcomes[result.outcome]++
		if result.outcome == gateway.Refused {
			l.heldFor = max(l.heldFor, result.took)
		}
	}
}

// TestSilentStore guards against callers that lose their submission while the store is silent: those whose write got
// no answer can't repeat it, so an entry has to notice the silence soon and refuse without a write, and it must not
// use submissions to find out whether the store is back.
func TestSilentStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		memory := kvstore.NewMemory()
		_, err := memory.Commit(t.Context(), store.Transaction{Writes: []store.Write{{
			Key: testSource{}.ConfigurationKey(), Value: []byte("1"),
		}}})
		is.NoErr(err)
		view := operatorconfig.NewView(testSource{}, zones, newLogger())
		item, err := memory.Get(t.Context(), testSource{}.ConfigurationKey())
		is.NoErr(err)
		view.Apply([]store.Event{{KeyValue: item}}, time.Now())
		faulty := kvstore.NewFaulty(memory, 1)
		load := &submissionLoad{gateway: gateway.New(gateway.Config{
			Store: faulty, View: view, Coordinator: quietCoordinator{}, Logger: newLogger(),
		})}
		const interval = 50 * time.Millisecond
		faulty.SetFaults(kvstore.Faults{DelayMillis: 4})
		load.submitFor(t.Context(), 2*time.Second, interval)
		is.Equal(load.outcomes[gateway.Accepted], 40)

		const silence = 6 * time.Second
		faulty.SetFaults(kvstore.Faults{DelayMillis: time.Minute.Milliseconds()})
		load.submitFor(t.Context(), silence, interval)
		is.True(load.outcomes[gateway.Unknown] <= 5) // those of the first quarter of a second
		is.Equal(load.outcomes[gateway.Refused], 120-load.outcomes[gateway.Unknown])
		is.True(load.heldFor < 50*time.Millisecond)

		// No submission comes while the store returns; the first one after that is served.
		time.Sleep(5 * time.Second)
		faulty.SetFaults(kvstore.Faults{DelayMillis: 4})
		time.Sleep(5 * time.Second)
		load.submitFor(t.Context(), 2*time.Second, interval)
		is.Equal(load.outcomes[gateway.Accepted], 40)

		// A slow store is used, although its first answers come later than usual.
		faulty.SetFaults(kvstore.Faults{DelayMillis: 300})
		load.submitFor(t.Context(), 6*time.Second, interval)
		is.True(load.outcomes[gateway.Accepted] >= 110)
		is.Equal(load.outcomes[gateway.Unknown], 0)
		time.Sleep(2 * time.Minute) // the delayed writes take effect
	})
}
