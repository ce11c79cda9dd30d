package experiment

import (
	"math/rand/v2"
	"strings"
	"time"

	"clementineflow/internal/agent/throttle"
	"clementineflow/internal/interference"
	"clementineflow/internal/resource"
	"clementineflow/internal/scheduler"
	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

// productPlacement drives the scheduler as the controller does: snapshots from records and
// heartbeats, and observations from late usage reports.
type productPlacement struct {
	*run
	random   *rand.Rand
	model    *interference.Model
	sizes    *scheduler.SizeEstimator
	health   *scheduler.HealthTracker
	progress map[string]progressReport
	latency  map[string]float64 // by worker, relative to the objective
}

type progressReport struct {
	attempt  uint32
	permille int
	at       time.Time
}

func newProductPlacement(r *run) *productPlacement {
	return &productPlacement{
		run: r, random: rand.New(rand.NewPCG(r.seed, 6)), model: interference.New(), sizes: scheduler.NewSizeEstimator(),
		health: scheduler.NewHealthTracker(), progress: map[string]progressReport{}, latency: map[string]float64{},
	}
}

func (p *productPlacement) accept(spec *task.Spec) bool {
	capacities := make([]scheduler.Capacity, len(p.workers))
	for index, w := range p.workers {
		capacities[index] = scheduler.Capacity{Zone: w.zone, Size: w.capacity}
	}
	return scheduler.CheckFeasible(spec, capacities) == nil
}

func (p *productPlacement) plan(records []*task.Record) scheduler.Plan {
	snapshot := &scheduler.Snapshot{
		Now: p.clock(), Document: p.document, Model: p.model, Sizes: p.sizes, TeamUse: map[string]resource.Quantity{},
	}
	if p.variant.NoInterference {
		snapshot.Model = nil
	}
	index := map[string]int{}
	for _, w := range p.workers {
		index[w.name] = len(snapshot.Workers)
		snapshot.Workers = append(snapshot.Workers, scheduler.Worker{
			Name: w.name, Zone: w.zone, Rack: w.rack, Capacity: w.capacity, Connected: true,
			Health: p.health.Status(w.name, p.clock()), LatencyRatio: p.latency[w.name],
		})
	}
	p.hold(snapshot, index)
	for _, record := range records {
		if record.State == task.StatePending {
			snapshot.Pending = append(snapshot.Pending, record)
		}
	}
	if len(snapshot.Pending) == 0 && p.document.ZoneInService(p.document.Zones[zoneLost].Name) {
		return scheduler.Plan{}
	}
	plan := scheduler.MakePlan(snapshot, p.random)
	for _, assignment := range plan.Assignments {
		if p.health.Status(assignment.Worker, p.clock()) == scheduler.HealthProbe {
			p.health.RecordProbe(assignment.Worker, p.clock())
		}
	}
	return plan
}

// hold adds the assigned records. Those in the commit count as if it was done.
func (p *productPlacement) hold(snapshot *scheduler.Snapshot, index map[string]int) {
	for _, record := range p.records {
		held := record
		worker, assigning := p.assigning[record.ID]
		switch {
		case assigning:
			held = record.Clone()
			_ = held.Assign(worker, task.Session{}, "", p.clock())
		case p.planned[record.ID]:
			held = record.Clone()
			_ = held.EvictRequested(origin(held), "", p.clock())
		}
		if !held.HasAssignment() {
			continue
		}
		w := &snapshot.Workers[index[held.Worker]]
		w.AssignedTasks = append(w.AssignedTasks, scheduler.AssignedTask{
			Record: held, ProgressPermille: p.byName[held.Worker].reported.progress[held.ID],
		})
		if scheduler.CountsAgainstQuota(held.Spec.Kind) {
			snapshot.TeamUse[held.Spec.Team] = snapshot.TeamUse[held.Spec.Team].Add(held.Spec.Size)
		}
	}
}

func (p *productPlacement) failed(a *attempt) {
	p.health.RecordFailure(a.worker.name, a.record.ID, len(p.workers), p.clock())
}

func (p *productPlacement) succeeded(a *attempt) {
	p.health.RecordSuccess(a.worker.name, a.record.StartedAt)
}

func (p *productPlacement) usage(report *usageReport) {
	classes := map[string]int{}
	for index := range report.usage.Tasks {
		classes[report.usage.Tasks[index].Class]++
	}
	for index := range report.usage.Tasks {
		p.learnTask(report, &report.usage.Tasks[index], classes)
	}
	p.latency[report.worker] = 0
	for _, latency := range report.usage.ServiceLatencies {
		p.latency[report.worker] = float64(latency.P99Micros) / float64(p.service.LatencyObjective.Microseconds())
		p.observe(report, "service/"+latency.Service, p.service.Class, 1/float64(latency.P99Micros), classes)
	}
}

func (p *productPlacement) learnTask(report *usageReport, status *wire.TaskStatus, classes map[string]int) {
	if status.TaskKind != task.KindService {
		p.sizes.Observe(strings.Split(status.TaskID, "/")[1], status.Class, status.Size, status.Usage)
	}
	last, ok := p.progress[status.TaskID]
	p.progress[status.TaskID] = progressReport{status.Attempt, status.ProgressPermille, report.at}
	elapsed := report.at.Sub(last.at).Seconds()
	throttled := status.ThrottlePermille < throttle.FullShare
	if !ok || throttled || last.attempt != status.Attempt || status.ProgressPermille <= last.permille || elapsed <= 0 {
		return
	}
	speed := float64(status.ProgressPermille-last.permille) / elapsed
	p.observe(report, "task/"+status.TaskID, status.Class, speed, classes)
}

func (p *productPlacement) observe(report *usageReport, key, class string, speed float64, classes map[string]int) {
	slowdown, ok := p.model.Slowdown(key, speed, report.at)
	if !ok {
		return
	}
	neighbours := make(map[string]int, len(classes))
	for name, count := range classes {
		if name == class {
			count--
		}
		if count > 0 {
			neighbours[name] = count
		}
	}
	p.model.Observe(interference.Observation{
		Class: class, Worker: report.worker, Neighbours: neighbours, Slowdown: slowdown, At: report.at,
	})
}
