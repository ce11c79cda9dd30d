package jobs

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/gateway"
	"clementineflow/internal/operatorconfig"
	"clementineflow/internal/standin/kvstore"
	"clementineflow/internal/store"
)

// noCoordinator implements gateway.Coordinator without any method; a call to it panics.
type noCoordinator struct{ gateway.Coordinator }

// TestHandInUnderADroppedQueue guards against an entry that has missed a configuration change and therefore
// accepts a job for a queue that the operator has removed.
func TestHandInUnderADroppedQueue(t *testing.T) {
	is := is.New(t)
	memory := kvstore.NewMemory()
	view := operatorconfig.NewView(testSource{}, zones, newLogger())
	write := func(value string) {
		_, err := memory.Commit(context.Background(), store.Transaction{
			Writes: []store.Write{{Key: testSource{}.ConfigurationKey(), Value: []byte(value)}},
		})
		is.NoErr(err)
	}
	write("1")
	item, err := memory.Get(context.Background(), testSource{}.ConfigurationKey())
	is.NoErr(err)
	view.Apply([]store.Event{{KeyValue: item}}, time.Now())
	g := gateway.New(gateway.Config{
		Store: kvstore.NewFaulty(memory, 1), View: view, Coordinator: noCoordinator{}, Logger: newLogger(),
	})
	write(configWithoutQueue)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	is.Equal(g.Submit(ctx, "host", "/queue/0000000000000001", newSpec("0000000000000001", 1)).Outcome, gateway.NoQueue)
	jobs, err := memory.List(ctx, "in/")
	is.NoErr(err)
	is.Equal(len(jobs), 0)
}

// TestZoneStaysOutAfterRestarts guards against entries and agents that, after a restart, use a zone that the
// operator has taken out of service.
func TestZoneStaysOutAfterRestarts(t *testing.T) {
	runInRegion(t, func(is *is.I, r *region) {
		r.setZoneOutOfService(zones[0], true)
		for i, e := range r.entries {
			e.kill()
			e.start(uint64(i))
		}
		for _, a := range r.agents {
			a.kill()
			a.start()
		}
		time.Sleep(handoverTimeout)
		is.Equal(r.submit(r.nonLeader(), newSpec("0000000000000001", 4)), gateway.Accepted)
		time.Sleep(3 * time.Second)
		r.recorder.Mu.Lock()
		defer r.recorder.Mu.Unlock()
		is.Equal(r.recorder.StartsOn["worker-agent-0"], 0)
		is.Equal(r.recorder.StartsOn["worker-agent-2"], 0)
		is.Equal(r.recorder.StartsOn["worker-agent-1"], 4)
	})
}
