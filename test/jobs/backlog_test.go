package jobs

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/backlog"
	"clementineflow/internal/gateway"
	"clementineflow/internal/job"
	"clementineflow/internal/standin/kvstore"
)

const (
	// smallBacklog has room for a few jobs of backlogTasks tasks, in bytes.
	smallBacklog = 1 << 20
	backlogTasks = 200
	backlogJobs  = 30
)

// restartEntries restarts all entries with a limit of the memory for stored jobs.
func (r *region) restartEntries(limit backlog.Limit) {
	r.backlog = limit
	for i, e := range r.entries {
		e.kill()
		e.start(uint64(i))
	}
	time.Sleep(handoverTimeout)
}

// submitCrowd submits jobs, one a second, that no worker has room for, and returns the IDs by outcome.
func (r *region) submitCrowd(e *entryProcess) map[gateway.Outcome][]string {
	ids := map[gateway.Outcome][]string{}
	for i := range backlogJobs {
		id := fmt.Sprintf("%016x", i+1)
		spec := newSpec(id, backlogTasks)
		spec.Steps[0].Label = "nowhere"
		outcome := r.submit(e, spec)
		ids[outcome] = append(ids[outcome], id)
		time.Sleep(time.Second)
	}
	return ids
}

// TestFullBacklogRefusesBeforeTheStore guards against a coordinator whose jobs grow without a bound, against a refused job
// that is stored, a stored job that is shown as refused, and a queue that stays closed.
func TestFullBacklogRefusesBeforeTheStore(t *testing.T) {
	runInRegion(t, func(is *is.I, r *region) {
		r.restartEntries(smallBacklog)
		e := r.nonLeader()
		ids := r.submitCrowd(e)
		accepted, refused := ids[gateway.Accepted], ids[gateway.Refused]
		is.True(len(accepted) > 0)
		is.Equal(len(accepted)+len(refused), backlogJobs)
		is.True(len(accepted)*backlogTasks*backlogTaskBytes < smallBacklog)
		stored, err := r.memory.List(context.Background(), "in/job/")
		is.NoErr(err)
		is.Equal(len(stored), len(accepted))

		// A stored job that is submitted again is not refused, whichever entry takes it.
		is.Equal(r.submit(e, newSpec(accepted[0], 1)), gateway.Accepted)
		is.Equal(r.submit(r.leader(), newSpec(accepted[0], 1)), gateway.Accepted)

		// The next coordinator keeps the queue closed.
		r.leader().kill()
		time.Sleep(handoverTimeout)
		survivor := r.leader()
		time.Sleep(3 * time.Second)
		is.Equal(r.submit(survivor, newSpec(refused[0], 1)), gateway.Refused)

		for _, id := range accepted {
			is.Equal(r.cancel(survivor, id), gateway.Accepted)
		}
		time.Sleep(3 * time.Second)
		is.Equal(r.submit(survivor, newSpec(refused[0], 1)), gateway.Accepted)
		time.Sleep(3 * time.Second)
		state, err := r.state(survivor, refused[0])
		is.NoErr(err)
		is.Equal(state, job.StateDone)
	})
}

// backlogTaskBytes is less than the memory of a task.
const backlogTaskBytes = 200

// TestRoomIsPublishedDespiteLostAnswers guards against a queue that stays closed, or never closes, because the coordinator got no
// answer to the write that says so.
func TestRoomIsPublishedDespiteLostAnswers(t *testing.T) {
	runInRegion(t, func(is *is.I, r *region) {
		r.restartEntries(smallBacklog)
		e := r.nonLeader()
		r.leader().faulty.SetFaults(kvstore.Faults{LoseAnswerPercent: 50})
		ids := r.submitCrowd(e)
		is.True(len(ids[gateway.Refused]) > 0)
		is.True(len(ids[gateway.Accepted])*backlogTasks*backlogTaskBytes < smallBacklog)
		for _, id := range ids[gateway.Accepted] {
			is.Equal(r.cancel(e, id), gateway.Accepted)
		}
		time.Sleep(10 * time.Second)
		is.Equal(r.submit(e, newSpec(ids[gateway.Refused][0], 1)), gateway.Accepted)
		r.leader().faulty.SetFaults(kvstore.Faults{})
		time.Sleep(10 * time.Second)
	})
}
