package replay

import (
	"maps"
	"slices"
	"time"

	"clementineflow/internal/agent/throttle"
	"clementineflow/internal/interference"
	"clementineflow/internal/resource"
	"clementineflow/internal/task"
)

// progressReport is the last reported progress of an attempt.
type progressReport struct {
	attempt  uint32
	permille int
	at       time.Time
}

// deriveUsage reports what the worker's tasks use; the report arrives late.
func (r *replayer) deriveUsage(w *worker) {
	derived := &Usage{Worker: w.Name, Age: Duration(usageLag)}
	for _, service := range sortedKeys(w.reported) {
		derived.Latencies = append(derived.Latencies, latencyOf(service, w.reported[service]))
	}
	clear(w.reported)
	for _, a := range sorted(w.attempts) {
		r.advance(a, w.share(a))
		derived.Tasks = append(derived.Tasks, TaskUsage{
			Task: a.taskID, Attempt: a.number, Class: a.spec.Class, Size: a.spec.Size, Use: a.use(),
			ProgressPermille: a.permille(), ThrottlePermille: w.share(a),
		})
	}
	if len(derived.Tasks)+len(derived.Latencies) > 0 {
		r.after(usageLag, func() { r.usage(derived) })
	}
}

// latencyOf returns the latency of a service over the service times, of which there is at least one.
func latencyOf(service string, times []time.Duration) ServiceLatency {
	ordered := slices.Sorted(slices.Values(times))
	return ServiceLatency{Service: service, Requests: int64(len(ordered)), P99: Duration(ordered[(len(ordered)*99-1)/100])}
}

// samples returns the services with enough requests, or with a full window.
func (r *replayer) samples(w *worker) []throttle.LatencySample {
	var samples []throttle.LatencySample
	for _, name := range sortedKeys(w.controlled) {
		service, ok := r.service(name)
		if !ok || len(w.controlled[name]) < throttle.MinRequests && r.now.Sub(w.controlledAt[name]) < controlWindow {
			continue
		}
		latency := latencyOf(name, w.controlled[name])
		delete(w.controlled, name)
		w.controlledAt[name] = r.now
		samples = append(samples, throttle.LatencySample{
			Service: name, Requests: latency.Requests, P99: time.Duration(latency.P99), Objective: service.LatencyObjective,
		})
	}
	return samples
}

// control runs one step of the worker's throttle policy.
func (r *replayer) control(w *worker) {
	samples := r.samples(w)
	var batch []throttle.BatchTask
	for _, a := range sorted(w.attempts) {
		if a.spec.Kind == task.KindBatch && !a.ending {
			batch = append(batch, throttle.BatchTask{TaskID: a.taskID, Attempt: a.number, MilliCPU: a.use().MilliCPU})
		}
	}
	before := w.policy.Share()
	decision := w.policy.Step(r.now, samples, batch)
	if decision.Changed {
		r.decide("throttle worker=%s share=%d reason=%q", w.Name, decision.Share, decision.Reason)
		for _, a := range sorted(w.attempts) {
			r.rethrottle(w, a, before)
		}
	}
	if decision.Evict != nil {
		r.decide("local eviction worker=%s task=%s reason=%q", w.Name, decision.Evict.TaskID, decision.Reason)
		r.checkpoint(w, w.attempts[decision.Evict.TaskID])
	}
}

// rethrottle accounts for the work at the old share and plans the end at the new one.
func (r *replayer) rethrottle(w *worker, a *attempt, before int) {
	if a.spec.Kind != task.KindBatch {
		return
	}
	r.advance(a, before)
	r.planFinish(w, a)
}

// usage learns from a report, as the controller does.
func (r *replayer) usage(stated *Usage) {
	w, ok := r.workers[stated.Worker]
	if !ok {
		return
	}
	at := r.now.Add(-time.Duration(stated.Age))
	classes := map[string]int{}
	w.observed, w.latencyRatio = resource.Quantity{}, 0
	for index := range stated.Tasks {
		classes[stated.Tasks[index].Class]++
		w.observed = w.observed.Add(stated.Tasks[index].Use)
	}
	for index := range stated.Tasks {
		r.learnTask(w, &stated.Tasks[index], classes, at)
	}
	for _, latency := range stated.Latencies {
		r.learnLatency(w, latency, classes, at)
	}
}

func (r *replayer) learnTask(w *worker, use *TaskUsage, classes map[string]int, at time.Time) {
	if record, ok := r.records[use.Task]; ok && record.Spec.Kind != task.KindService {
		r.sizes.Observe(record.Spec.Team, use.Class, use.Size, use.Use)
	}
	last, known := r.progress[use.Task]
	r.progress[use.Task] = progressReport{use.Attempt, use.ProgressPermille, at}
	throttled := use.ThrottlePermille > 0 && use.ThrottlePermille < throttle.FullShare
	elapsed := at.Sub(last.at).Seconds()
	if !known || throttled || last.attempt != use.Attempt || use.ProgressPermille <= last.permille || elapsed <= 0 {
		return
	}
	r.observe(w, "task/"+use.Task, use.Class, float64(use.ProgressPermille-last.permille)/elapsed, classes, at)
}

func (r *replayer) learnLatency(w *worker, latency ServiceLatency, classes map[string]int, at time.Time) {
	service, ok := r.service(latency.Service)
	if !ok || latency.P99 <= 0 || latency.Requests == 0 {
		return
	}
	if service.LatencyObjective > 0 {
		w.latencyRatio = max(w.latencyRatio, float64(latency.P99)/float64(service.LatencyObjective))
	}
	r.observe(w, "service/"+latency.Service, service.Class, 1/time.Duration(latency.P99).Seconds(), classes, at)
}

func (r *replayer) observe(w *worker, key, class string, speed float64, classes map[string]int, at time.Time) {
	slowdown, ok := r.model.Slowdown(key, speed, at)
	if !ok {
		return
	}
	neighbours := maps.Clone(classes)
	if neighbours[class]--; neighbours[class] <= 0 {
		delete(neighbours, class)
	}
	r.model.Observe(interference.Observation{Class: class, Worker: w.Name, Neighbours: neighbours, Slowdown: slowdown, At: at})
}
