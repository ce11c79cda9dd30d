package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/configuration"
	"clementineflow/internal/controller"
	"clementineflow/internal/resource"
	"clementineflow/internal/task"
)

// operationTimeout is the timeout of one operator call.
const operationTimeout = 10 * time.Second

// maxHistoryChanges limits the changes of a history, so that the document's change list still holds them all.
const maxHistoryChanges = configuration.MaxChanges - 10

// configurationChange is one configuration change of an operator.
type configurationChange struct {
	requestID string
	// zone is the zone whose service state changes; empty for other changes.
	zone               string
	outOfService       bool
	startedAt, endedAt time.Time
	revision           uint64
	err                error
	// calledAt and doneAt are logical timestamps of the linearizability history.
	calledAt, doneAt int64
}

// documentRead is one read of the document from the store.
type documentRead struct {
	calledAt, doneAt int64
	revision         uint64
	requestID        string
}

// operators makes random operator calls and records their outcomes.
type operators struct {
	cluster *cluster
	random  *rand.Rand
	clock   int64

	mutex    sync.Mutex
	group    sync.WaitGroup
	count    int
	accepted map[string]task.Spec
	// nonIdempotent holds the IDs of all submitted tasks, with true for the non-idempotent ones.
	nonIdempotent map[string]bool
	cancelled     map[string]bool
	changes       []*configurationChange
	reads         []documentRead
}

// nextTimestamp returns the next logical timestamp of the linearizability history. The caller holds the
// mutex.
func (o *operators) nextTimestamp() int64 {
	o.clock++
	return o.clock
}

// startRandomAction chooses a random operator call and makes it in the background, then reads the document.
func (o *operators) startRandomAction() {
	o.count++
	id := fmt.Sprintf("%03d", o.count)
	m := o.cluster.members[o.random.IntN(len(o.cluster.members))]
	draw := o.random.IntN(20)
	if draw >= 14 && len(o.changes) >= maxHistoryChanges {
		draw = 0
	}
	switch {
	case draw < 11:
		o.submit(m, o.drawBatchSpec(id))
	case draw < 13:
		if o.count%3 == 0 {
			o.submit(m, newSpec(task.KindWatch, id, 400, ""))
		}
	case draw < 14:
		o.cancel(m, id)
	case draw < 17:
		zone, out := fmt.Sprintf("z%d", o.random.IntN(2)), o.random.IntN(2) == 0
		o.startChange(m, &configurationChange{requestID: id, zone: zone, outOfService: out}, configuration.SetZoneService(zone, out, "history"))
	case draw < 19:
		o.startChange(m, &configurationChange{requestID: id}, configuration.CreateZone(configuration.Zone{Name: "new" + id}))
	default:
		// Two operators race each other on two entries.
		other := o.cluster.members[o.random.IntN(len(o.cluster.members))]
		o.startChange(m, &configurationChange{requestID: id}, configuration.CreateZone(configuration.Zone{Name: "new" + id}))
		o.startChange(other, &configurationChange{requestID: id + "b"}, configuration.CreateZone(configuration.Zone{Name: "new" + id + "b"}))
	}
	o.readDocument()
}

// drawBatchSpec returns the specification of a random batch task.
func (o *operators) drawBatchSpec(id string) task.Spec {
	millis := []int{200, 1000, 3000, 8000, 20000, 40000}[o.random.IntN(6)]
	s := newSpec(task.KindBatch, id, int64(300+o.random.IntN(1500)), fmt.Sprintf(`{"run_ms":%d}`, millis))
	s.NonIdempotent = o.random.IntN(3) == 0
	s.Priority = task.Priority(1 + o.random.IntN(3))
	return s
}

func newSpec(kind task.Kind, name string, milliCPU int64, payload string) task.Spec {
	return task.Spec{
		Name: name, Kind: kind, Team: "team", Class: "class", Priority: task.PriorityNormal,
		Size: resource.Quantity{MilliCPU: milliCPU, MemoryBytes: 1 << 28}, Payload: []byte(payload),
	}
}

// callOwner calls an operation at an entry; if that entry isn't the owner, it retries once at the owner that
// the error names.
func (o *operators) callOwner(m *member, operation func(ctx context.Context, c *controller.Controller) error) error {
	contacted, parent := m.current()
	ctx, cancel := context.WithTimeout(parent, operationTimeout)
	defer cancel()
	err := operation(ctx, contacted.controller)
	var notOwner controller.NotOwnerError
	if !errors.As(err, &notOwner) {
		return err
	}
	for _, other := range o.cluster.members {
		if other.name == notOwner.Entry {
			owner, _ := other.current()
			return operation(ctx, owner.controller)
		}
	}
	return err
}

func (o *operators) submit(m *member, s task.Spec) {
	o.mutex.Lock()
	o.nonIdempotent[s.ID()] = s.NonIdempotent
	o.mutex.Unlock()
	o.group.Go(func() {
		err := o.callOwner(m, func(ctx context.Context, c *controller.Controller) error {
			_, err := c.Submit(ctx, s.Name, s)
			return err
		})
		if err == nil {
			o.mutex.Lock()
			defer o.mutex.Unlock()
			o.accepted[s.ID()] = s
		}
	})
}

// cancel cancels a random accepted task.
func (o *operators) cancel(m *member, requestID string) {
	o.mutex.Lock()
	var id string
	for candidate := range o.accepted {
		if id == "" || candidate < id && o.random.IntN(2) == 0 {
			id = candidate
		}
	}
	if id != "" {
		o.cancelled[id] = true
	}
	o.mutex.Unlock()
	if id == "" {
		return
	}
	o.group.Go(func() {
		// The error is ignored, since the task may be cancelled whatever the outcome.
		_ = o.callOwner(m, func(ctx context.Context, c *controller.Controller) error {
			_, err := c.Cancel(ctx, requestID, id)
			return err
		})
	})
}

// startChange makes a configuration change in the background and records its outcome.
func (o *operators) startChange(m *member, next *configurationChange, mutate configuration.Mutation) {
	o.mutex.Lock()
	o.changes = append(o.changes, next)
	next.startedAt, next.calledAt = time.Now(), o.nextTimestamp()
	o.mutex.Unlock()
	current, parent := m.current()
	o.group.Go(func() {
		ctx, cancel := context.WithTimeout(parent, operationTimeout)
		defer cancel()
		revision, err := current.follower.Change(ctx, next.requestID, "operator", "history", mutate)
		o.mutex.Lock()
		defer o.mutex.Unlock()
		next.endedAt, next.doneAt = time.Now(), o.nextTimestamp()
		next.revision, next.err = revision, err
	})
}

// readDocument reads the document from the store and records the read.
func (o *operators) readDocument() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	r := documentRead{calledAt: o.nextTimestamp()}
	document := o.cluster.document()
	r.doneAt, r.revision = o.nextTimestamp(), document.Revision
	r.requestID = document.Changes[len(document.Changes)-1].RequestID
	o.reads = append(o.reads, r)
}
