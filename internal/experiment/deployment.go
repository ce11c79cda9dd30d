package experiment

import (
	"fmt"
	"time"

	"clementineflow/internal/configuration"
	"clementineflow/internal/resource"
)

// Sizes of both deployments (design, section 1.1).
const (
	workerCount       = 11
	workersPerRack    = 3
	slotsPerWorker    = 8
	connectionsPerVM  = 64
	bytesPerGB        = 1_000_000_000
	milliPerProcessor = 1000
)

// Deployment is one deployment with its configuration and the load of its services.
type Deployment struct {
	Name     string
	Document *configuration.Document
	// Size is the capacity of one worker.
	Size resource.Quantity
	// RequestWork is the mean processor time of one undisturbed request.
	RequestWork time.Duration
	// ZoneDelay and ClientDelay are one-way delays.
	ZoneDelay, ClientDelay time.Duration
	BatchTeam, WatchTeam   string
	// Classes lists the batch classes; the first is the noisy one.
	Classes    []string
	WatchClass string
	Watches    int
}

// Coastline returns bc-coast with the configuration of its example.
func Coastline(document *configuration.Document) Deployment {
	return Deployment{
		Name: "bc-coast", Document: document, Size: quantity(16, 60),
		RequestWork: 15 * time.Millisecond, ZoneDelay: time.Millisecond, ClientDelay: 3 * time.Millisecond,
		BatchTeam: "fleet-accounts", WatchTeam: "shop-floor",
		Classes:    []string{"bake-archive", "bake-certificate", "bake-report"},
		WatchClass: "kiln-monitor", Watches: 12,
	}
}

// Rampart returns mu-island with the configuration of its example.
func Rampart(document *configuration.Document) Deployment {
	return Deployment{
		Name: "mu-island", Document: document, Size: quantity(32, 125),
		RequestWork: 8 * time.Millisecond, ZoneDelay: 1500 * time.Microsecond, ClientDelay: time.Millisecond,
		BatchTeam: "planning", WatchTeam: "compliance",
		Classes:    []string{"rail-simulation", "bend-plan", "bend-report"},
		WatchClass: "compliance-watch", Watches: 16,
	}
}

func quantity(processors, gigabytes float64) resource.Quantity {
	return resource.Quantity{MilliCPU: int64(processors * milliPerProcessor), MemoryBytes: int64(gigabytes * bytesPerGB)}
}

// newWorkers returns the empty workers, spread over the zones in turn, three to a rack.
func (d *Deployment) newWorkers() []*worker {
	workers := make([]*worker, workerCount)
	for index := range workers {
		zone := d.Document.Zones[index*len(d.Document.Zones)/workerCount].Name
		workers[index] = &worker{
			name: fmt.Sprintf("worker-%02d", index), zone: zone, rack: fmt.Sprintf("rack-%d", index/workersPerRack),
			capacity: d.Size, factor: 1,
		}
	}
	return workers
}
