package backlog

import (
	"testing"

	"github.com/matryer/is"

	"clementineflow/internal/job"
)

const testLimit = Limit(1 << 20)

func usageOf(queues map[string]int64) *Usage {
	u := &Usage{}
	for queue, bytes := range queues {
		u.Add(queue, bytes)
	}
	return u
}

// TestOneQueueLeavesRoom guards against a queue whose jobs take the room of all others.
func TestOneQueueLeavesRoom(t *testing.T) {
	is := is.New(t)
	half := int64(testLimit) / 2
	is.True(!closedOf(usageOf(map[string]int64{"crowd": half}), State{}, "crowd"))
	full := usageOf(map[string]int64{"crowd": half + 1, "ordinary": 1000})
	is.True(closedOf(full, State{}, "crowd"))
	is.True(!closedOf(full, State{}, "ordinary"))
}

func closedOf(usage *Usage, former State, queue string) bool {
	next := testLimit.Decide(usage, former)
	return next.IsClosed(queue)
}

// TestClosedQueueOpensWithRoom guards against a queue that closes and opens with each job, and one that stays closed.
func TestClosedQueueOpensWithRoom(t *testing.T) {
	is := is.New(t)
	former := State{Queues: []string{"crowd"}}
	half := int64(testLimit) / 2
	is.True(closedOf(usageOf(map[string]int64{"crowd": half}), former, "crowd"))
	is.True(!closedOf(usageOf(map[string]int64{"crowd": half / 2}), former, "crowd"))
	is.True(!closedOf(&Usage{}, former, "crowd"))
}

// TestCancellationsAreBounded guards against cancellations of jobs that don't exist and that fill the coordinator.
func TestCancellationsAreBounded(t *testing.T) {
	is := is.New(t)
	u := &Usage{}
	u.AddCancellations(int(testLimit)/cancellationDivisor/CancellationBytes + 1)
	next := testLimit.Decide(u, State{})
	is.True(next.Cancellations)
	is.True(!next.IsClosed("ordinary"))
	u.AddCancellations(-int(u.Total() / CancellationBytes))
	next = testLimit.Decide(u, next)
	is.True(next.Empty())
}

// TestNoLimitClosesNothing guards against a process without a memory limit that refuses jobs.
func TestNoLimitClosesNothing(t *testing.T) {
	is := is.New(t)
	next := Limit(0).Decide(usageOf(map[string]int64{"crowd": 1 << 40}), State{})
	is.True(next.Empty())
	is.True(NewAdmission(0).AdmitJob("crowd", 1<<40))
	is.Equal(Limit(0).Min(5), Limit(5))
	is.Equal(Limit(7).Min(0), Limit(7))
	is.Equal(Limit(7).Min(5), Limit(5))
}

// TestAllowanceLeavesRoom guards against a queue that takes all of what an entry may store between two confirmations, and
// against a large job that is refused in calm.
func TestAllowanceLeavesRoom(t *testing.T) {
	is := is.New(t)
	a := NewAdmission(testLimit)
	is.True(a.AdmitJob("crowd", a.allowance*3/4))
	is.True(!a.AdmitJob("crowd", 1))
	is.True(a.AdmitJob("ordinary", 1))
	is.True(a.AdmitCancellation())
	a.Confirm()
	is.True(a.AdmitJob("crowd", 10*a.allowance))
	is.True(!a.AdmitJob("ordinary", 1))
	is.True(!a.AdmitCancellation())
}

// TestClosedStateRefuses guards against an entry that stores jobs of a queue that the coordinator has closed.
func TestClosedStateRefuses(t *testing.T) {
	is := is.New(t)
	closed := State{Queues: []string{"b", "crowd"}, Cancellations: true}
	data, err := closed.Encode()
	is.NoErr(err)
	decoded, err := DecodeState(data)
	is.NoErr(err)
	is.True(decoded.Equal(closed))
	a := NewAdmission(testLimit)
	a.SetState(decoded)
	is.True(!a.AdmitJob("crowd", 1))
	is.True(a.AdmitJob("ordinary", 1))
	is.True(!a.AdmitCancellation())
}

// TestTasksCount guards against a short submission with very many tasks that counts as small.
func TestTasksCount(t *testing.T) {
	is := is.New(t)
	narrow := &job.Spec{Payload: "x", Steps: []job.Step{{Count: 1}}}
	wide := &job.Spec{Payload: "x", Steps: []job.Step{{Count: job.MaxTasks}}}
	labelled := &job.Spec{Payload: "x", Steps: []job.Step{{Count: 1, Label: string(make([]byte, 1<<16))}}}
	is.Equal(JobBytes(wide)-JobBytes(narrow), int64(taskBytes*(job.MaxTasks-1)))
	is.Equal(JobBytes(labelled)-JobBytes(narrow), int64(1<<16))
	is.True(FinishedJobBytes(wide) < JobBytes(wide)/10)
}

// FuzzDecodeState guards against a stored state of another writer that ends the process.
func FuzzDecodeState(f *testing.F) {
	state := State{Queues: []string{"a"}}
	data, _ := state.Encode()
	f.Add(data)
	f.Add([]byte{0xff})
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = DecodeState(data) })
}
