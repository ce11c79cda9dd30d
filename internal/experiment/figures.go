package experiment

import (
	"math"
	"slices"
	"time"
)

// Figures is what was measured in one run.
type Figures struct {
	Requests, Answered, RefusedRequests int
	P50, P99, P999                      time.Duration
	Submitted, TasksDone, RefusedJobs   int
	// TaskSeconds counts finished tasks; CoreSeconds also the work of unfinished ones, without what
	// was lost. WindowCoreSeconds is that between the times at which a zone leaves and returns.
	TaskSeconds, CoreSeconds, WindowCoreSeconds float64
	Evictions                                   int
	LostCoreSeconds                             float64
	UrgentP99, UrgentMax                        time.Duration
	Urgent, Ejections, RefusedStarts            int
	// PeakAllocated is the highest share of a worker that declared sizes held; PeakSlots counts requests.
	PeakAllocated float64
	PeakSlots     int

	Latencies   []time.Duration `json:"-"`
	UrgentWaits []time.Duration `json:"-"`
}

func (f *Figures) latency(latency, timeout time.Duration) {
	f.Latencies = append(f.Latencies, latency)
	if latency <= timeout {
		f.Answered++
	}
}

func (f *Figures) work(now time.Duration, work float64) {
	f.CoreSeconds += work
	if now >= disturbFrom && now < disturbUntil {
		f.WindowCoreSeconds += work
	}
}

// lose counts the work of an attempt beyond what was kept.
func (f *Figures) lose(a *attempt, kept time.Duration) {
	lost := processorSeconds(a.done-kept, a.use)
	f.LostCoreSeconds += lost
	f.CoreSeconds -= lost
}

func (f *Figures) allocated(w *worker) {
	f.PeakAllocated = max(f.PeakAllocated,
		float64(w.allocated.MilliCPU)/float64(w.capacity.MilliCPU),
		float64(w.allocated.MemoryBytes)/float64(w.capacity.MemoryBytes))
}

func (f *Figures) slots(w *worker) { f.PeakSlots = max(f.PeakSlots, w.active) }

func (f *Figures) finish() {
	f.P50, f.P99, f.P999 = quantile(f.Latencies, 0.5), quantile(f.Latencies, 0.99), quantile(f.Latencies, 0.999)
	f.Urgent = len(f.UrgentWaits)
	f.UrgentP99, f.UrgentMax = quantile(f.UrgentWaits, 0.99), quantile(f.UrgentWaits, 1)
	f.Latencies, f.UrgentWaits = nil, nil
}

// quantile sorts the values and returns the nearest-rank quantile; 0 without values.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[max(0, int(math.Ceil(q*float64(len(values))))-1)]
}
