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

// operationTimeout bounds one call of an operator.
const operationTimeout = 10 * time.Second

// maxHistoryChanges keeps every change in the list that the document holds.
const maxHistoryChanges = configuration.MaxChanges - 10

// change is one configuration change of an operator.
type change struct {
	requestID string
	// zone is the zone taken out or brought in; empty for other changes.
	zone             string
	out              bool
	called, ended    time.Time
	revision         uint64
	err              error
	calledAt, doneAt int64
}

// read is one read of the document from the store.
type read struct {
	calledAt, doneAt int64
	revision         uint64
	requestID        string
}

// operators draws the operators' actions and records what they were told.
type operators struct {
	cluster *cluster
	random  *rand.Rand
	clock   int64

	mutex    sync.Mutex
	group    sync.WaitGroup
	count    int
	accepted map[string]task.Spec
	// nonIdempotent holds the ids of all non-idempotent tasks that were submitted.
	nonIdempotent map[string]bool
	cancelled     map[string]bool
	changes       []*change
	reads         []read
}

// tick returns the next time of the linearizability history. The mutex is held.
func (o *operators) tick() int64 {
	o.clock++
	return o.clock
}

// act draws one action and makes it in the background.
func (o *operators) act() {
	o.count++
	id := fmt.Sprintf("%03d", o.count)
	m := o.cluster.members[o.random.IntN(len(o.cluster.members))]
	draw := o.random.IntN(20)
	if draw >= 14 && len(o.changes) >= maxHistoryChanges {
		draw = 0
	}
	switch {
	case draw < 11:
		o.submit(m, o.batch(id))
	case draw < 13:
		if o.count%3 == 0 {
			o.submit(m, spec(task.KindWatch, id, 400, ""))
		}
	case draw < 14:
		o.cancel(m, id)
	case draw < 17:
		zone, out := fmt.Sprintf("z%d", o.random.IntN(2)), o.random.IntN(2) == 0
		o.change(m, &change{requestID: id, zone: zone, out: out}, configuration.SetZoneService(zone, out, "history"))
	case draw < 19:
		o.change(m, &change{requestID: id}, configuration.CreateZone(configuration.Zone{Name: "new" + id}))
	default:
		// Two operators race each other on two entries.
		other := o.cluster.members[o.random.IntN(len(o.cluster.members))]
		o.change(m, &change{requestID: id}, configuration.CreateZone(configuration.Zone{Name: "new" + id}))
		o.change(other, &change{requestID: id + "b"}, configuration.CreateZone(configuration.Zone{Name: "new" + id + "b"}))
	}
	o.read()
}

// batch draws a batch job.
func (o *operators) batch(id string) task.Spec {
	millis := []int{200, 1000, 3000, 8000, 20000, 40000}[o.random.IntN(6)]
	s := spec(task.KindBatch, id, int64(300+o.random.IntN(1500)), fmt.Sprintf(`{"run_ms":%d}`, millis))
	s.NonIdempotent = o.random.IntN(3) == 0
	s.Priority = task.Priority(1 + o.random.IntN(3))
	return s
}

func spec(kind task.Kind, name string, milliCPU int64, payload string) task.Spec {
	return task.Spec{
		Name: name, Kind: kind, Team: "team", Class: "class", Priority: task.PriorityNormal,
		Size: resource.Quantity{MilliCPU: milliCPU, MemoryBytes: 1 << 28}, Payload: []byte(payload),
	}
}

// owned calls an operation at an entry and once more at the owner that it names.
func (o *operators) owned(m *member, operation func(ctx context.Context, c *controller.Controller) error) error {
	first, parent := m.current()
	ctx, cancel := context.WithTimeout(parent, operationTimeout)
	defer cancel()
	err := operation(ctx, first.controller)
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
		err := o.owned(m, func(ctx context.Context, c *controller.Controller) error {
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

// cancel cancels one accepted task.
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
		// Whatever the outcome, the task may end.
		_ = o.owned(m, func(ctx context.Context, c *controller.Controller) error {
			_, err := c.Cancel(ctx, requestID, id)
			return err
		})
	})
}

// change makes a configuration change and records it.
func (o *operators) change(m *member, next *change, mutate configuration.Mutation) {
	o.mutex.Lock()
	o.changes = append(o.changes, next)
	next.called, next.calledAt = time.Now(), o.tick()
	o.mutex.Unlock()
	present, parent := m.current()
	o.group.Go(func() {
		ctx, cancel := context.WithTimeout(parent, operationTimeout)
		defer cancel()
		revision, err := present.follower.Change(ctx, next.requestID, "operator", "history", mutate)
		o.mutex.Lock()
		defer o.mutex.Unlock()
		next.ended, next.doneAt = time.Now(), o.tick()
		next.revision, next.err = revision, err
	})
}

// read reads the document from the store.
func (o *operators) read() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	r := read{calledAt: o.tick()}
	document := o.cluster.document()
	r.doneAt, r.revision = o.tick(), document.Revision
	r.requestID = document.Changes[len(document.Changes)-1].RequestID
	o.reads = append(o.reads, r)
}
