package fleet

import (
	"time"

	"clementineflow/internal/resource"
	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

// View is the state of one worker as last reported to an entry. Its slices are replaced and never
// modified, so a shallow copy of a View stays valid.
type View struct {
	Name, Region, Zone, Rack, Incarnation string
	Session                               task.Session
	Capacity, Free                        resource.Quantity
	// Revision is the highest configuration revision that the agent has reported.
	Revision           uint64
	Leaving, Connected bool
	Targets            []wire.TargetState
	Tasks              []wire.TaskStatus
	// UsageAt is when the usage in Tasks was measured. It is zero before the first usage report.
	UsageAt time.Time
	// LastMessageAt is when the last Hello or Heartbeat was received.
	LastMessageAt time.Time
	// DisconnectedAt is when the last link ended. It is zero while Connected is true.
	DisconnectedAt time.Time
	Latencies      []wire.ServiceLatency
}

// newView returns the view of a worker that connects with the given Hello.
func newView(hello *wire.Hello, now time.Time) View {
	return View{
		Name:          hello.Name,
		Region:        hello.Region,
		Zone:          hello.Zone,
		Rack:          hello.Rack,
		Incarnation:   hello.Incarnation,
		Session:       hello.Session,
		Capacity:      hello.Capacity,
		Free:          hello.Capacity,
		Revision:      hello.Revision,
		Connected:     true,
		Targets:       hello.Targets,
		Tasks:         hello.Tasks,
		LastMessageAt: now,
	}
}

// applyHeartbeat updates the view from a heartbeat.
func (v *View) applyHeartbeat(message *wire.Heartbeat, now time.Time) {
	v.Revision = max(v.Revision, message.Revision)
	v.Free = message.Free
	v.Targets = message.Targets
	v.Leaving = v.Leaving || message.Leaving
	v.LastMessageAt = now
}

// applyUsage updates the view from a usage report.
func (v *View) applyUsage(message *wire.Usage, now time.Time) {
	v.Tasks = message.Tasks
	v.Latencies = message.ServiceLatencies
	v.UsageAt = now.Add(-time.Duration(message.AgeMillis) * time.Millisecond)
}
