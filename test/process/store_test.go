package process

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"google.golang.org/grpc/codes"

	operatorv1 "clementineflow/api/operator/v1"
	"clementineflow/internal/standin/caller"
	"clementineflow/internal/standin/kvstore"
)

// storeOutage is longer than every lease.
const storeOutage = 20 * time.Second

// TestStoreDown guards against a store outage that stops requests or running work, and against a
// submission that is refused and takes effect later.
func TestStoreDown(t *testing.T) {
	c := startCluster(t)
	ids := c.submitMany(12, "plan", func(name string) *operatorv1.TaskSpec { return job(name, 16*time.Second) })
	c.waitRunning(ids)
	requests := startLoad(c, c.entries, loadConfig{nonIdempotent: true})
	c.setStoreFaults(kvstore.Faults{Down: true})
	down := time.Now()
	time.Sleep(2 * time.Second)
	refused, open := map[string]bool{}, map[string]bool{}
	for i := range 12 {
		name := fmt.Sprintf("refused-%d", i)
		switch err := c.submitOnce(c.entries[i%3], job(name, time.Second)); {
		case isCode(err, codes.Unavailable):
			refused["batch/"+team+"/"+name] = true
		case isCode(err, codes.DeadlineExceeded):
			// Told that the outcome is unknown: the write was sent and the machine was too busy to
			// answer it within the time of a store call.
			open["batch/"+team+"/"+name] = true
		default:
			t.Errorf("submission %s without the store: %v", name, err)
		}
	}
	if len(refused) < 6 {
		t.Errorf("%d submissions were refused as unavailable, %d are open", len(refused), len(open))
	}
	time.Sleep(time.Until(down.Add(storeOutage)))
	answered := requests.answeredSince(down.Add(10 * time.Second))
	c.setStoreFaults(kvstore.Faults{})
	if answered < 50 {
		t.Errorf("%d requests were answered in the second half of the outage", answered)
	}
	c.waitFinished(ids)
	after := c.submitMany(6, "after", func(name string) *operatorv1.TaskSpec { return job(name, time.Second) })
	c.waitFinished(after)
	requireOnly(requests, requests.finish(), "the store was down", told)
	c.checkRanOnce(append(ids, after...))
	for id, list := range c.executions() {
		if refused[id] || (open[id] && len(list) > 1) {
			t.Errorf("task %s: refused %t, outcome open %t, and ran: %s", id, refused[id], open[id], describe(list))
		}
	}
	c.checkNoOverlap()
}

// submitOnce submits a task without repeating the call.
func (c *cluster) submitOnce(e *entryNode, spec *operatorv1.TaskSpec) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err := e.client.SubmitTask(ctx, &operatorv1.SubmitTaskRequest{RequestId: uuid.NewString(), Spec: spec})
	return err
}

// TestStoreDownAndEntryKilled guards against an outage of the store in which the loss of one of three
// entries stops running work or requests through the others.
func TestStoreDownAndEntryKilled(t *testing.T) {
	c := startCluster(t)
	ids := c.submitMany(12, "plan", func(name string) *operatorv1.TaskSpec { return job(name, 16*time.Second) })
	c.waitRunning(ids)
	requests := startLoad(c, c.entries[1:], loadConfig{nonIdempotent: true})
	c.setStoreFaults(kvstore.Faults{Down: true})
	time.Sleep(time.Second)
	c.entries[0].kill()
	time.Sleep(storeOutage)
	c.setStoreFaults(kvstore.Faults{})
	c.waitFinished(ids)
	requireOnly(requests, requests.finish(), "the store was down and another entry killed", told)
	c.checkRanOnce(ids)
	c.checkNoOverlap()
}

// TestStoreSlow guards against double commits when calls take effect after their caller gave up.
func TestStoreSlow(t *testing.T) {
	c := startCluster(t)
	requests := startLoad(c, c.entries, loadConfig{nonIdempotent: true})
	c.setStoreFaults(kvstore.Faults{DelayMillis: 400, LateWrites: 20, LateWriteMillis: 1500})
	ids := c.submitMany(12, "plan", func(name string) *operatorv1.TaskSpec { return job(name, 2*time.Second) })
	time.Sleep(5 * time.Second)
	c.setStoreFaults(kvstore.Faults{})
	c.waitFinished(ids)
	requireOnly(requests, requests.finish(), "the store was slow", told)
	c.checkRanOnce(ids)
	c.checkNoOverlap()
}

// TestLostStoreAnswers guards against a second effect of a submission, cancellation or zone change
// whose answer was lost by the store after the write took effect.
func TestLostStoreAnswers(t *testing.T) {
	c := startCluster(t)
	requests := startLoad(c, c.entries, loadConfig{nonIdempotent: true})
	before := c.revision(c.entries[0])
	c.setStoreFaults(kvstore.Faults{LoseAnswerPercent: 30, MissEventPercent: 20, RepeatEventPercent: 20})
	const waveSize = 30
	kept, cancelled := make([]string, waveSize), make([]string, waveSize)
	var wave sync.WaitGroup
	for i := range waveSize {
		wave.Go(func() { kept[i] = c.trySubmit(c.entries[i%3], job(fmt.Sprintf("keep-%d", i), 2*time.Second)) })
		wave.Go(func() {
			cancelled[i] = c.trySubmit(c.entries[i%3], job(fmt.Sprintf("cancel-%d", i), time.Hour))
			c.cancel(c.entries[(i+1)%3], cancelled[i])
		})
	}
	const changes = 4
	for i := range changes {
		c.setZone(c.entries[i%3], zoneSurrey, i%2 == 0)
	}
	wave.Wait()
	c.setStoreFaults(kvstore.Faults{})
	c.waitFinished(kept)
	c.waitState(c.entries[0], cancelled, operatorv1.TaskState_TASK_STATE_CANCELLED)
	if after := c.revision(c.entries[0]); after != before+changes {
		t.Errorf("%d zone changes raised the revision from %d to %d", changes, before, after)
	}
	requireOnly(requests, requests.finish(), "the store lost answers", told)
	c.checkFinishedOnce(kept)
	for id, list := range c.executions() {
		if containsText(id, "cancel-") && list[len(list)-1].StoppedAt.IsZero() {
			t.Errorf("task %s is cancelled and runs: %s", id, describe(list))
		}
	}
	c.checkNoOverlap()
}

// cancel cancels a task and repeats the call with the same id while its outcome is open.
func (c *cluster) cancel(e *entryNode, id string) {
	request := &operatorv1.CancelTaskRequest{RequestId: uuid.NewString(), Id: id}
	c.repeat("task "+id+" is cancelled", func(ctx context.Context) error {
		_, err := e.client.CancelTask(ctx, request)
		return err
	})
}

// trySubmit is submit for goroutines other than the test's.
func (c *cluster) trySubmit(e *entryNode, spec *operatorv1.TaskSpec) string {
	request := &operatorv1.SubmitTaskRequest{RequestId: uuid.NewString(), Spec: spec}
	var id string
	c.repeat("task "+spec.GetName()+" is accepted", func(ctx context.Context) error {
		accepted, err := e.client.SubmitTask(ctx, request)
		if err == nil {
			id = accepted.GetId()
		}
		return err
	})
	return id
}

// repeat repeats a call until it succeeds; it is safe on any goroutine.
func (c *cluster) repeat(what string, call func(context.Context) error) {
	deadline := time.Now().Add(settleLimit)
	for {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		err := call(ctx)
		cancel()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			c.t.Errorf("not within %s: %s: %v", settleLimit, what, err)
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// revision returns the revision of the configuration.
func (c *cluster) revision(e *entryNode) uint64 {
	c.t.Helper()
	return c.configuration(e).GetRevision()
}

func (c *cluster) configuration(e *entryNode) *operatorv1.Configuration {
	c.t.Helper()
	var read *operatorv1.Configuration
	c.repeat("the configuration is read", func(ctx context.Context) (err error) {
		read, err = e.client.GetConfiguration(ctx, &operatorv1.GetConfigurationRequest{})
		return err
	})
	return read
}

// unknownOrTold reports an outcome that is truthful when the agent or its worker was lost.
func unknownOrTold(r loadResult) bool { return told(r) || r.Outcome == caller.OutcomeUnknown }
