package experiment

import (
	"slices"
	"time"

	"clementineflow/internal/agent/throttle"
	"clementineflow/internal/configuration"
	"clementineflow/internal/task"
)

// Delays of the driving code.
const (
	heartbeatInterval = time.Second
	refreshInterval   = 50 * time.Millisecond  // as in the frontend
	planInterval      = time.Second            // as in the controller
	planPause         = 100 * time.Millisecond // as in the controller
	commitDelay       = 100 * time.Millisecond // one group commit
	controlInterval   = time.Second            // as in the agent
	controlWindow     = 5 * time.Second        // as in the agent
	usageInterval     = 5 * time.Second        // as in the agent
	stopDelay         = time.Second            // for a checkpoint
	// checkpointStep is the work between two checkpoints; what was done since the last is lost.
	checkpointStep = 2 * time.Second
	failDelay      = 200 * time.Millisecond
	minReportLag   = 2 * time.Second
	maxReportLag   = 5 * time.Second
	// zoneLost is the index of the zone that leaves.
	zoneLost = 0
)

// epoch is the start of every run.
var epoch = time.Unix(1_700_000_000, 0)

// run is one variant on one input.
type run struct {
	loop
	deployment *Deployment
	scenario   Scenario
	variant    Variant
	seed       uint64
	document   *configuration.Document
	service    configuration.Service
	hidden     hidden
	workers    []*worker
	byName     map[string]*worker
	records    []*task.Record // in the order of submission, without final ones
	jobs       map[string]*job
	planned    map[string]bool   // evictions and assignments in the commit
	assigning  map[string]string // workers of assignments in the commit
	requests   requestPolicy
	placement  placementPolicy
	planDue    bool
	lastPlan   time.Duration
	reports    uint64
	figures    *Figures
}

// Run plays one variant on the input of a seed and returns its figures.
func Run(d Deployment, scenario Scenario, variant Variant, seed uint64) *Figures {
	r := &run{
		deployment: &d, scenario: scenario, variant: variant, seed: seed,
		document: d.Document, service: d.Document.Services[0], workers: d.newWorkers(),
		byName: map[string]*worker{}, jobs: map[string]*job{}, planned: map[string]bool{}, assigning: map[string]string{}, figures: &Figures{},
		hidden: hidden{seed: seed, noisy: d.Classes[0], service: d.Document.Services[0].Class, shiftAt: shiftAt, cache: map[hiddenKey]float64{}},
	}
	for _, w := range r.workers {
		r.byName[w.name] = w
		w.policy = throttle.New()
		w.reported.progress = map[string]int{}
	}
	r.requests, r.placement = newRequestPolicy(r), newPlacementPolicy(r)
	r.prepare(newInput(&d, scenario, seed))
	r.runUntil(horizon)
	for _, w := range r.workers {
		r.advance(w)
	}
	r.countWaiting()
	r.figures.finish()
	return r.figures
}

// countWaiting adds the waits of urgent jobs that have not started yet.
func (r *run) countWaiting() {
	for _, record := range r.records {
		if record.Attempt == 0 && record.Spec.Kind == task.KindBatch && record.Spec.Priority == task.PriorityUrgent {
			r.figures.UrgentWaits = append(r.figures.UrgentWaits, r.clock().Sub(record.CreatedAt))
		}
	}
}

// clock returns the virtual time for the decision code.
func (r *run) clock() time.Time { return epoch.Add(r.now) }

func (r *run) prepare(in *input) {
	r.submitPermanent()
	for index := range in.jobs {
		j := &in.jobs[index]
		r.at(j.at, func() { r.submit(j) })
	}
	r.arriveInTurn(in.requests)
	for index, w := range r.workers {
		offset := time.Duration(index) * 83 * time.Millisecond
		r.every(offset, heartbeatInterval, func() { r.heartbeat(w) })
		r.every(offset+500*time.Millisecond, controlInterval, func() { r.control(w) })
		r.every(offset+usageInterval, usageInterval, func() { r.reportUsage(w) })
	}
	r.every(0, refreshInterval, r.requests.update)
	r.every(0, planInterval, r.plan)
	r.at(shiftAt, func() {
		for _, w := range r.workers {
			r.changed(w)
		}
	})
	r.disturb()
}

// arriveInTurn schedules one request at a time, which keeps the heap of events small.
func (r *run) arriveInTurn(requests []request) {
	if len(requests) == 0 {
		return
	}
	r.at(requests[0].at, func() {
		r.arrive(&requests[0])
		r.arriveInTurn(requests[1:])
	})
}

// submitPermanent submits the service replicas and the watches.
func (r *run) submitPermanent() {
	for index := range r.service.Replicas {
		r.add(task.Spec{
			Name: r.service.Name + "-" + string(rune('a'+index)), Kind: task.KindService, Team: r.service.Team,
			Class: r.service.Class, Priority: task.PriorityUrgent, Size: r.service.Size, Service: r.service.Name,
		})
	}
	for index := range r.deployment.Watches {
		r.add(task.Spec{
			Name: "watch-" + string(rune('a'+index)), Kind: task.KindWatch, Team: r.deployment.WatchTeam,
			Class: r.deployment.WatchClass, Priority: task.PriorityNormal, Size: quantity(1, 3),
		})
	}
}

func (r *run) add(spec task.Spec) *task.Record {
	record := task.New(spec, "", r.clock())
	r.records = append(r.records, record)
	r.wakePlan()
	return record
}

func (r *run) submit(j *job) {
	r.figures.Submitted++
	if !r.placement.accept(&j.spec) {
		r.figures.RefusedJobs++
		return
	}
	record := r.add(j.spec)
	r.jobs[record.ID] = j
	if j.cancelAt > r.now {
		r.at(j.cancelAt, func() { r.cancel(record) })
	}
}

func (r *run) disturb() {
	switch r.scenario {
	case ZoneLeaves:
		r.at(disturbFrom, func() { r.setZone(true) })
		r.at(disturbUntil, func() { r.setZone(false) })
	case FailingWorker:
		r.at(disturbFrom, func() { r.workers[0].failing = true })
		r.at(disturbUntil, func() { r.workers[0].failing = false })
	}
}

func (r *run) setZone(out bool) {
	document := r.document.Clone()
	document.Zones[zoneLost].OutOfService = out
	r.document = document
	r.wakePlan()
}

// heartbeat takes over what entries know of a worker.
func (r *run) heartbeat(w *worker) {
	r.advance(w)
	w.heartbeatAt = r.now
	w.reported.replicas, w.reported.leaving, _ = w.replicas()
	w.reported.active = w.active
	clear(w.reported.progress)
	for _, a := range w.tasks {
		w.reported.progress[a.record.ID] = a.permille()
	}
}

// advance moves the tasks of a worker to the present and counts their work.
func (r *run) advance(w *worker) {
	work := w.advance(r.now)
	r.figures.work(r.now, work)
}

// changed computes the speeds on a worker anew.
func (r *run) changed(w *worker) {
	r.advance(w)
	next := w.refresh(r.now, &r.hidden, r.service.Class)
	if next >= horizon {
		return
	}
	version := w.version
	r.at(next, func() {
		if w.version == version {
			r.complete(w)
		}
	})
}

// complete ends the tasks that have done their work.
func (r *run) complete(w *worker) {
	r.advance(w)
	for _, a := range slices.Clone(w.tasks) {
		if a.work > 0 && a.done >= a.work && !a.stopping {
			r.remove(a)
			r.finished(a)
		}
	}
	r.changed(w)
}

// remove takes an attempt from its worker.
func (r *run) remove(a *attempt) {
	w := a.worker
	w.tasks = slices.DeleteFunc(w.tasks, func(other *attempt) bool { return other == a })
	w.allocated = w.allocated.Sub(a.record.Spec.Size)
}
