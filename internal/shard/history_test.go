package shard

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/standin/kvstore"
	"clementineflow/internal/store"
)

// historySeeds is the number of seeds of TestHistories. Each run takes nearly a second under the race
// detector.
const historySeeds = 16

// clientOutcomes records the results of all proposals of one seeded run.
type clientOutcomes struct {
	mu       sync.Mutex
	acked    map[string]bool
	failed   map[string]bool
	unknowns int
}

func (o *clientOutcomes) record(id string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err == nil:
		o.acked[id] = true
	case errors.Is(err, ErrOutcomeUnknown):
		o.unknowns++
	default:
		o.failed[id] = true
	}
}

// TestHistories checks the guarantees of Propose under random faults: an acknowledged proposal is never
// lost, a proposal that was reported as not applied is never stored, epochs never decrease, and only one
// entry commits within an epoch.
func TestHistories(t *testing.T) {
	// ThreadSanitizer occasionally aborts in an epoch check (tsan_rtl.cpp:346) after tens of seeds on
	// several processors, as in the history tests of internal/entry. The test therefore runs on one
	// processor.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	totals := struct{ acked, failed, unknown, epochs int }{}
	for seed := range uint64(historySeeds) {
		synctest.Test(t, func(t *testing.T) {
			memory := kvstore.NewMemory()
			nodes := []*node{
				startNode(t, "a", memory, seed), startNode(t, "b", memory, seed+100), startNode(t, "c", memory, seed+200),
			}
			endCheck := checkVersions(t, memory, seed)
			time.Sleep(3 * time.Second)
			outcomes := &clientOutcomes{acked: map[string]bool{}, failed: map[string]bool{}}
			injectFaults(t, nodes, memory, outcomes, seed)
			for _, n := range nodes {
				n.store.resume()
				n.faulty.SetFaults(kvstore.Faults{})
			}
			time.Sleep(40 * time.Second)
			if owned := ownedBy(nodes...); owned != Count {
				t.Fatalf("seed %d: %d shards owned at the end", seed, owned)
			}
			checkOutcomes(t, nodes[0].manager, outcomes, seed)
			totals.acked += len(outcomes.acked)
			totals.failed += len(outcomes.failed)
			totals.unknown += outcomes.unknowns
			totals.epochs += endCheck()
		})
	}
	t.Logf("acknowledged %d, not applied %d, unknown %d, epochs %d", totals.acked, totals.failed, totals.unknown, totals.epochs)
}

// injectFaults runs clients for 60 s while nodes are paused, restarted and given store faults at random.
func injectFaults(t *testing.T, nodes []*node, memory store.Store, outcomes *clientOutcomes, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	var clients sync.WaitGroup
	for step := range 600 {
		time.Sleep(100 * time.Millisecond)
		if step%10 == 0 {
			i := random.IntN(len(nodes))
			nodes[i] = injectNodeFault(t, nodes[i], memory, random)
		}
		for j := range 3 {
			id := fmt.Sprintf("%d-%d", step, j)
			shard := nodes[random.IntN(len(nodes))].manager.shards[ForTask(id)]
			timeout := time.Duration(1+random.IntN(8000)) * time.Millisecond
			clients.Go(func() {
				ctx, cancel := context.WithTimeout(context.WithoutCancel(t.Context()), timeout)
				defer cancel()
				outcomes.record(id, shard.Propose(ctx, addTask(id)))
			})
		}
	}
	clients.Wait()
}

func injectNodeFault(t *testing.T, n *node, memory store.Store, random *rand.Rand) *node {
	t.Helper()
	switch random.IntN(7) {
	case 0:
		n.store.pause()
	case 1:
		n.faulty.SetFaults(kvstore.Faults{Down: true})
	case 2:
		n.faulty.SetFaults(kvstore.Faults{LoseAnswerPercent: 50, MissEventPercent: 30, RepeatEventPercent: 30})
	case 3:
		n.faulty.SetFaults(kvstore.Faults{LateWrites: 8, LateWriteMillis: random.Int64N(6000)})
	case 4:
		n.faulty.SetFaults(kvstore.Faults{DelayMillis: random.Int64N(700), EndWatches: true})
	case 5:
		n.stop()
		return startNode(t, n.member.Self().Name, memory, random.Uint64())
	default:
		n.store.resume()
		n.faulty.SetFaults(kvstore.Faults{})
	}
	return n
}

// checkVersions compares each stored version of a shard with the previous one. The returned function ends
// the check and returns the sum of the last epochs of all shards.
func checkVersions(t *testing.T, memory store.Store, seed uint64) func() int {
	watcher, err := memory.Watch(t.Context(), "clementine/"+testRegion+"/shards/", 0)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	last := map[uint16]*Document{}
	go func() {
		defer close(done)
		for {
			event, err := watcher.Next(t.Context())
			if err != nil {
				return
			}
			next, err := decodeDocument(event.Value)
			if err != nil {
				t.Errorf("seed %d: %v", seed, err)
				return
			}
			if before, ok := last[next.ID]; ok {
				checkVersion(t, before, next, seed)
			}
			last[next.ID] = next
		}
	}()
	return func() int {
		watcher.Close()
		<-done
		epochs := 0
		for _, document := range last {
			epochs += int(document.Epoch)
		}
		return epochs
	}
}

func checkVersion(t *testing.T, before, next *Document, seed uint64) {
	t.Helper()
	if next.Epoch < before.Epoch {
		t.Errorf("seed %d: shard %d went from epoch %d to %d", seed, next.ID, before.Epoch, next.Epoch)
	}
	if next.Epoch == before.Epoch && next.Owner != "" && next.Incarnation != before.Incarnation {
		t.Errorf("seed %d: shard %d has two owners in epoch %d", seed, next.ID, next.Epoch)
	}
	for id := range before.Tasks {
		if next.Tasks[id] == nil {
			t.Errorf("seed %d: task %s disappeared", seed, id)
		}
	}
}

// checkOutcomes compares the stored tasks with the results that the clients received.
func checkOutcomes(t *testing.T, manager *Manager, outcomes *clientOutcomes, seed uint64) {
	t.Helper()
	stored := map[string]bool{}
	for id := range uint16(Count) {
		document, err := manager.Read(t.Context(), id)
		if err != nil {
			t.Fatal(err)
		}
		for taskID := range document.Tasks {
			stored[taskID] = true
		}
	}
	for id := range outcomes.acked {
		if !stored[id] {
			t.Errorf("seed %d: acknowledged task %s is lost", seed, id)
		}
	}
	for id := range outcomes.failed {
		if stored[id] {
			t.Errorf("seed %d: task %s was reported as not applied but is stored", seed, id)
		}
	}
}
