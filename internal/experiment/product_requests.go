package experiment

import (
	"time"

	"clementineflow/internal/admission"
	"clementineflow/internal/routing"
	"clementineflow/internal/wire"
)

// productRequests drives routing, queue and admission as the frontend does, once per entry.
type productRequests struct {
	*run
	entries []*productEntry
	byID    map[string]*flight
}

type productEntry struct {
	router    *routing.Router
	queue     *routing.Queue
	admission *admission.Controller
}

func newProductRequests(r *run) *productRequests {
	p := &productRequests{run: r, byID: map[string]*flight{}}
	for index := range r.document.Entries {
		entry := &productEntry{
			router: routing.NewWithDisabled(r.entryZone(index), r.seed+uint64(index), routing.Disabled{
				LatencyFeedback: r.variant.NoFeedback, Ejection: r.variant.NoEjection,
			}),
			queue: routing.NewQueue(), admission: admission.New(),
		}
		entry.admission.Configure(r.clock(), r.document.Teams)
		p.entries = append(p.entries, entry)
	}
	return p
}

func (p *productRequests) update() {
	workers := make([]routing.Worker, len(p.workers))
	for index, w := range p.workers {
		workers[index] = routing.Worker{
			Name: w.name, Incarnation: w.name, Zone: w.zone, Connected: true,
			HeartbeatAt: epoch.Add(w.heartbeatAt), Targets: p.targets(w),
		}
	}
	for _, entry := range p.entries {
		entry.router.Update(workers, p.document.ZoneInService)
		p.dispatch(entry)
	}
}

func (p *productRequests) targets(w *worker) []wire.TargetState {
	if w.reported.replicas+w.reported.leaving == 0 {
		return nil
	}
	return []wire.TargetState{{
		Service: p.service.Name, Slots: slotsPerWorker, Connections: connectionsPerVM,
		SlotsUsed: w.reported.active, ConnectionsUsed: w.reported.active, Leaving: w.reported.replicas == 0,
	}}
}

func (p *productRequests) arrive(fl *flight) {
	entry := p.entries[fl.entry]
	observed := entry.router.Load(p.clock(), p.service.Name)
	load := admission.Load{InProgress: observed.InProgress + entry.queue.Len(), Limit: observed.Limit}
	if decision := entry.admission.Admit(p.clock(), p.service.Team, fl.caller, fl.priority, load); !decision.OK() {
		p.figures.RefusedRequests++
		return
	}
	entry.router.Budget(p.service.Name).AddRequest()
	p.choose(entry, fl)
}

func (p *productRequests) choose(entry *productEntry, fl *flight) {
	if entry.queue.Len() > 0 {
		p.enqueue(entry, fl)
		p.dispatch(entry)
		return
	}
	decision := entry.router.Pick(p.clock(), p.service.Name, fl.tried)
	if !decision.Chosen() {
		p.enqueue(entry, fl)
		return
	}
	p.launch(entry, fl, decision.Worker)
}

func (p *productRequests) launch(entry *productEntry, fl *flight, worker string) {
	entry.router.RecordStart(p.service.Name, worker)
	p.send(fl, p.byName[worker])
}

func (p *productRequests) enqueue(entry *productEntry, fl *flight) {
	load := entry.router.Load(p.clock(), p.service.Name)
	item := routing.Item{ID: fl.id, Priority: fl.priority, Deadline: epoch.Add(fl.deadline)}
	if load.Limit == 0 {
		p.end(entry, fl)
		return
	}
	if refusal, _ := entry.queue.Offer(p.clock(), item, load); refusal != routing.Accepted {
		p.end(entry, fl)
		return
	}
	p.byID[fl.id] = fl
	p.at(fl.deadline, func() {
		if entry.queue.Remove(fl.id) {
			p.end(entry, fl)
		}
	})
}

// end ends a request without an answer.
func (p *productRequests) end(entry *productEntry, fl *flight) {
	p.figures.RefusedRequests++
	fl.ended = true
	delete(p.byID, fl.id)
	entry.admission.Release(p.service.Team)
}

func (p *productRequests) dispatch(entry *productEntry) {
	for {
		item, ok := entry.queue.Peek()
		if !ok {
			return
		}
		fl := p.byID[item.ID]
		decision := entry.router.Pick(p.clock(), p.service.Name, fl.tried)
		if !decision.Chosen() && decision.Excluded.Tried > 0 {
			decision = entry.router.Pick(p.clock(), p.service.Name, nil)
		}
		if !decision.Chosen() {
			return
		}
		entry.queue.Remove(item.ID)
		delete(p.byID, item.ID)
		p.launch(entry, fl, decision.Worker)
	}
}

func (p *productRequests) refused(fl *flight, w *worker) {
	entry := p.entries[fl.entry]
	p.report(entry, fl, w, routing.ResultNotRun, p.now-fl.sentAt)
	if !entry.router.Budget(p.service.Name).TakeRetry() {
		p.end(entry, fl)
		return
	}
	p.choose(entry, fl)
}

func (p *productRequests) answered(fl *flight, w *worker, ok bool) {
	entry := p.entries[fl.entry]
	result := routing.ResultAnswered
	if !ok {
		result = routing.ResultFailed
	}
	p.report(entry, fl, w, result, p.now-fl.sentAt)
	entry.admission.Release(p.service.Team)
	p.dispatch(entry)
}

func (p *productRequests) report(entry *productEntry, _ *flight, w *worker, result routing.Result, latency time.Duration) {
	if _, ejected := entry.router.RecordResult(p.clock(), p.service.Name, w.name, result, latency); ejected {
		p.figures.Ejections++
	}
}
