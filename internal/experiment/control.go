package experiment

import (
	"math/rand/v2"
	"slices"
	"time"

	"clementineflow/internal/agent/throttle"
	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

// control runs one step of the worker's local control loop, as the agent does.
func (r *run) control(w *worker) {
	if r.variant.Throttling == NoThrottling {
		return
	}
	var samples []throttle.LatencySample
	if len(w.control) >= throttle.MinRequests || r.now-w.controlSince >= controlWindow {
		samples = append(samples, throttle.LatencySample{
			Service: r.service.Name, Requests: int64(len(w.control)),
			P99: quantile(w.control, 0.99), Objective: r.service.LatencyObjective,
		})
		w.control, w.controlSince = w.control[:0], r.now
	}
	var batch []throttle.BatchTask
	for _, a := range w.tasks {
		if a.kind() == task.KindBatch && !a.stopping {
			batch = append(batch, throttle.BatchTask{TaskID: a.record.ID, Attempt: a.number, MilliCPU: int64(a.processors())})
		}
	}
	if r.variant.Throttling == EvictFirst {
		r.evictFirst(w, samples, batch)
		return
	}
	decision := w.policy.Step(r.clock(), samples, batch)
	if decision.Evict != nil {
		r.evictNamed(w, decision.Evict.TaskID)
	}
	if decision.Changed {
		r.applyShare(w, decision.Share)
	}
}

func (r *run) applyShare(w *worker, share int) {
	r.advance(w)
	for _, a := range w.tasks {
		if a.kind() == task.KindBatch {
			a.share = share
		}
	}
	r.changed(w)
}

// evictFirst evicts the largest task as soon as the objective is missed.
func (r *run) evictFirst(w *worker, samples []throttle.LatencySample, batch []throttle.BatchTask) {
	for _, sample := range samples {
		if sample.Requests < throttle.MinRequests || sample.P99 <= sample.Objective || len(batch) == 0 {
			continue
		}
		largest := slices.MaxFunc(batch, func(a, b throttle.BatchTask) int { return int(a.MilliCPU - b.MilliCPU) })
		r.evictNamed(w, largest.TaskID)
	}
}

func (r *run) evictNamed(w *worker, id string) {
	for _, a := range w.tasks {
		if a.record.ID == id {
			r.evict(a)
		}
	}
}

// usageReport is what the controller gets of a worker.
type usageReport struct {
	worker string
	at     time.Time
	usage  wire.Usage
}

// reportUsage sends a report that arrives late.
func (r *run) reportUsage(w *worker) {
	r.advance(w)
	report := usageReport{worker: w.name, at: r.clock()}
	for _, a := range w.tasks {
		used := a.use
		used.MilliCPU = int64(a.processors())
		report.usage.Tasks = append(report.usage.Tasks, wire.TaskStatus{
			TaskID: a.record.ID, Attempt: a.number, Class: a.record.Spec.Class, TaskKind: a.kind(),
			Size: a.record.Spec.Size, Usage: used, Running: true, ProgressPermille: a.permille(),
			ThrottlePermille: a.share,
		})
	}
	if len(w.report) > 0 {
		report.usage.ServiceLatencies = []wire.ServiceLatency{{
			Service: r.service.Name, Requests: int64(len(w.report)),
			P50Micros: quantile(w.report, 0.5).Microseconds(), P99Micros: quantile(w.report, 0.99).Microseconds(),
		}}
		w.report = w.report[:0]
	}
	r.reports++
	lag := rand.New(rand.NewPCG(r.seed, r.reports)).Float64()
	r.after(minReportLag+time.Duration(lag*float64(maxReportLag-minReportLag)), func() { r.placement.usage(&report) })
}
