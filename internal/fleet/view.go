package fleet

import (
	"time"

	"clementineflow/internal/resource"
	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

// View is what an entry knows of one worker. Its slices are replaced and never changed, so that a
// copy of a View may be kept.
type View struct {
	Name, Region, Zone, Rack, Incarnation string
	Session                               task.Session
	Capacity, Free                        resource.Quantity
	// Revision is the highest configuration revision that the agent has stated.
	Revision           uint64
	Leaving, Connected bool
	Targets            []wire.TargetState
	Tasks              []wire.TaskStatus
	// UsageAt is when the usage in Tasks was measured; zero before the first report.
	UsageAt time.Time
	// HeardAt is when the last Hello or Heartbeat arrived.
	HeardAt time.Time
	// LostAt is when the last link ended; zero while Connected.
	LostAt    time.Time
	Latencies []wire.ServiceLatency
}

// viewOf returns the view that a Hello states.
func viewOf(hello *wire.Hello, now time.Time) View {
	return View{
		Name:        hello.Name,
		Region:      hello.Region,
		Zone:        hello.Zone,
		Rack:        hello.Rack,
		Incarnation: hello.Incarnation,
		Session:     hello.Session,
		Capacity:    hello.Capacity,
		Free:        hello.Capacity,
		Revision:    hello.Revision,
		Connected:   true,
		Targets:     hello.Targets,
		Tasks:       hello.Tasks,
		HeardAt:     now,
	}
}

// heartbeat takes over the state in a Heartbeat.
func (v *View) heartbeat(message *wire.Heartbeat, now time.Time) {
	v.Revision = max(v.Revision, message.Revision)
	v.Free = message.Free
	v.Targets = message.Targets
	v.Leaving = v.Leaving || message.Leaving
	v.HeardAt = now
}

// usage takes over a usage report.
func (v *View) usage(message *wire.Usage, now time.Time) {
	v.Tasks = message.Tasks
	v.Latencies = message.ServiceLatencies
	v.UsageAt = now.Add(-time.Duration(message.AgeMillis) * time.Millisecond)
}
