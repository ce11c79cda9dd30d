package experiment

import (
	"math"
	"time"

	"clementineflow/internal/agent/throttle"
	"clementineflow/internal/resource"
	"clementineflow/internal/task"
)

// worker is a stand-in worker. It enforces slots and declared sizes. Real use above its processors
// slows all of its tasks down.
type worker struct {
	name, zone, rack string
	capacity         resource.Quantity
	tasks            []*attempt // in the order of their starts
	allocated        resource.Quantity
	active           int // requests in progress
	failing          bool
	factor           float64 // slowdown of requests
	advancedAt       time.Duration
	version          int
	policy           *throttle.Policy
	// control and report hold the latencies of the current windows.
	control, report []time.Duration
	controlSince    time.Duration
	reported        state
	heartbeatAt     time.Duration
}

// attempt is one task attempt on a worker.
type attempt struct {
	record   *task.Record
	number   uint32
	worker   *worker
	use      resource.Quantity
	work     time.Duration // zero runs until it is stopped
	done     time.Duration
	speed    float64
	share    int // throttle, in thousandths
	stopping bool
	broken   bool
}

// state is what a heartbeat says.
type state struct {
	replicas, leaving, active int
	progress                  map[string]int
}

func (a *attempt) permille() int {
	if a.work <= 0 {
		return 0
	}
	return int(1000 * a.done / a.work)
}

func (a *attempt) kind() task.Kind { return a.record.Spec.Kind }

// processors returns the processors that the attempt wants now, in thousandths.
func (a *attempt) processors() float64 {
	return float64(a.use.MilliCPU) * float64(a.share) / throttle.FullShare
}

// fits reports whether the declared size fits beside the others.
func (w *worker) fits(size resource.Quantity) bool { return w.allocated.Add(size).FitsIn(w.capacity) }

// advance moves the progress of all tasks to the time and returns the work done by batch tasks, in
// processor seconds.
func (w *worker) advance(now time.Duration) float64 {
	elapsed := now - w.advancedAt
	w.advancedAt = now
	work := 0.0
	for _, a := range w.tasks {
		if a.work <= 0 {
			continue
		}
		done := min(time.Duration(float64(elapsed)*a.speed), a.work-a.done)
		a.done += done
		work += processorSeconds(done, a.use)
	}
	return work
}

func processorSeconds(work time.Duration, use resource.Quantity) float64 {
	return work.Seconds() * float64(use.MilliCPU) / milliPerProcessor
}

// refresh computes the speeds from the neighbours and returns the time of the next end of a task.
func (w *worker) refresh(now time.Duration, h *hidden, service string) time.Duration {
	w.version++
	wanted := 0.0
	for _, a := range w.tasks {
		wanted += a.processors()
	}
	pressure := wanted / float64(w.capacity.MilliCPU)
	w.factor = w.slowdown(now, h, service, nil, pressure)
	next := time.Duration(math.MaxInt64)
	for _, a := range w.tasks {
		if a.work <= 0 {
			continue
		}
		a.speed = float64(a.share) / throttle.FullShare / w.slowdown(now, h, a.record.Spec.Class, a, pressure)
		next = min(next, now+time.Duration(float64(a.work-a.done)/a.speed)+time.Microsecond)
	}
	return next
}

// slowdown returns the factor for a class beside the tasks other than self. It grows with the load.
func (w *worker) slowdown(now time.Duration, h *hidden, class string, self *attempt, pressure float64) float64 {
	factor := 1.0
	for _, a := range w.tasks {
		if a == self || a.kind() == task.KindService {
			continue
		}
		part := a.processors() / float64(w.capacity.MilliCPU)
		factor += h.coefficient(class, a.record.Spec.Class, now) * part * (0.5 + 0.5*min(1, pressure))
	}
	return factor * max(1, pressure)
}

// replicas returns the serving and the leaving service replicas and the processors of the former.
func (w *worker) replicas() (serving, leaving int, processors float64) {
	for _, a := range w.tasks {
		switch {
		case a.kind() != task.KindService:
		case a.stopping:
			leaving++
		default:
			serving++
			processors += float64(a.use.MilliCPU) / milliPerProcessor
		}
	}
	return serving, leaving, processors
}

// serve returns how long a request takes, or false if the worker has no free slot or no replica.
func (w *worker) serve(work time.Duration) (time.Duration, bool) {
	serving, _, processors := w.replicas()
	if serving == 0 || w.active >= slotsPerWorker {
		return 0, false
	}
	w.active++
	if w.failing {
		return failedRequestTime, true
	}
	return time.Duration(float64(work) * w.factor * max(1, float64(w.active)/processors)), true
}

// failedRequestTime is how soon a failing worker answers with an error.
const failedRequestTime = 2 * time.Millisecond
