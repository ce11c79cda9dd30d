package replay

import (
	"time"

	"clementineflow/internal/agent/throttle"
	"clementineflow/internal/frontend/exchange"
	"clementineflow/internal/resource"
	"clementineflow/internal/routing"
	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

// worker is the state of a worker as the trace states it and the decisions change it.
type worker struct {
	WorkerJoined
	session            task.Session
	connected, leaving bool
	// alive is false after a failure; another boot is another worker.
	alive, faulty bool
	heartbeatAt   time.Time
	lostLinkAt    time.Time
	free          resource.Quantity
	hasFree       bool
	observed      resource.Quantity
	latencyRatio  float64
	attempts      map[string]*attempt
	// unsent are reports that wait for the link.
	unsent []report
	policy *throttle.Policy
	// controlled and reported hold the service times per service since the last sample of the throttle
	// policy and since the last usage report.
	controlled, reported map[string][]time.Duration
	// controlledAt and usageAt are when these were last emptied.
	controlledAt map[string]time.Time
	usageAt      time.Time

	inProgress map[string]int
	ledger     map[requestKey]*wire.RequestReply
}

// join connects a worker, with another boot as another worker.
func (r *replayer) join(joined *WorkerJoined) {
	known := r.workers[joined.Name]
	if known != nil && known.alive && known.Boot == joined.Boot {
		known.WorkerJoined = *joined
		r.restoreLink(joined.Name)
		return
	}
	w := &worker{
		WorkerJoined: *joined, session: task.Session{BootID: joined.Boot, Number: max(1, joined.Session)},
		connected: true, alive: true, heartbeatAt: r.now, attempts: map[string]*attempt{}, policy: throttle.New(),
		controlled: map[string][]time.Duration{}, reported: map[string][]time.Duration{},
		controlledAt: map[string]time.Time{}, usageAt: r.now, inProgress: map[string]int{}, ledger: map[requestKey]*wire.RequestReply{},
	}
	if known != nil {
		r.health.RemoveWorker(joined.Name)
		r.moveAfterLoss(joined.Name, known.Boot)
	}
	r.workers[joined.Name] = w
	r.decide("worker %s joined zone=%s boot=%s", w.Name, w.Zone, w.Boot)
	r.refresh()
	r.stepFlightsAt(w.Name, exchange.WorkerConnected{Worker: w.Name, Incarnation: w.Boot})
	r.wakePlan()
	if joined.Every > 0 {
		r.tickWorker(w)
	}
}

// tickWorker derives the worker's heartbeats and usage reports.
func (r *replayer) tickWorker(w *worker) {
	r.after(time.Duration(w.Every), func() {
		if !w.alive || r.workers[w.Name] != w || w.Every <= 0 {
			return
		}
		r.control(w)
		if w.connected {
			w.heartbeatAt = r.now
			r.refresh()
		}
		if w.connected && r.now.Sub(w.usageAt) >= usageInterval {
			w.usageAt = r.now
			r.deriveUsage(w)
		}
		r.tickWorker(w)
	})
}

// heartbeat takes over a stated heartbeat.
func (r *replayer) heartbeat(stated *Heartbeat) {
	w, ok := r.workers[stated.Worker]
	if !ok || !w.connected {
		return
	}
	w.heartbeatAt, w.free, w.hasFree, w.leaving = r.now, stated.Free, true, stated.Leaving
	if stated.Targets != nil {
		w.Targets = stated.Targets
	}
	r.refresh()
	r.wakePlan()
}

// leave lets a worker leave in order: its tasks are checkpointed, then it disconnects.
func (r *replayer) leave(name string) {
	w, ok := r.workers[name]
	if !ok || !w.alive {
		return
	}
	r.decide("worker %s leaves", name)
	w.leaving = true
	r.refresh()
	for _, a := range sorted(w.attempts) {
		r.checkpoint(w, a)
	}
	r.after(2*evictDelay, func() { r.endLeaving(w) })
}

// endLeaving disconnects a leaving worker once no request is in progress.
func (r *replayer) endLeaving(w *worker) {
	switch {
	case !w.leaving || !w.alive:
	case w.busy():
		r.after(evictDelay, func() { r.endLeaving(w) })
	default:
		r.fail(w.Name)
	}
}

// busy reports whether a request is in progress at the worker.
func (w *worker) busy() bool {
	for _, count := range w.inProgress {
		if count > 0 {
			return true
		}
	}
	return false
}

// fail ends a worker without a trace of what it ran.
func (r *replayer) fail(name string) {
	w, ok := r.workers[name]
	if !ok || !w.alive {
		return
	}
	r.decide("worker %s gone", name)
	w.alive, w.connected = false, false
	w.attempts, w.ledger, w.unsent = map[string]*attempt{}, map[requestKey]*wire.RequestReply{}, nil
	r.refresh()
	r.stepFlightsAt(name, exchange.LinkLost{Worker: name, Incarnation: w.Boot})
	r.moveAfterLoss(name, w.Boot)
}

func (r *replayer) setFaulty(change *WorkerFaulty) {
	if w, ok := r.workers[change.Name]; ok {
		w.faulty = change.Faulty
	}
}

// loseLink cuts the link of a worker; after the lease term it stops its tasks.
func (r *replayer) loseLink(name string) {
	w, ok := r.workers[name]
	if !ok || !w.connected {
		return
	}
	r.decide("worker %s link lost", name)
	w.connected, w.lostLinkAt = false, r.now
	r.refresh()
	r.stepFlightsAt(name, exchange.LinkLost{Worker: name, Incarnation: w.Boot})
	lostAt := r.now
	r.after(leaseTerm, func() {
		if w.connected || !w.alive || !w.lostLinkAt.Equal(lostAt) {
			return
		}
		w.session.Number++
		for _, a := range sorted(w.attempts) {
			r.endEvicted(w, a)
		}
	})
	r.moveAfterLoss(name, w.Boot)
}

// restoreLink connects a worker again; it repeats what it could not report.
func (r *replayer) restoreLink(name string) {
	w, ok := r.workers[name]
	if !ok || !w.alive || w.connected {
		return
	}
	r.decide("worker %s link restored", name)
	w.connected, w.leaving, w.heartbeatAt = true, false, r.now
	r.refresh()
	r.stepFlightsAt(name, exchange.WorkerConnected{Worker: name, Incarnation: w.Boot})
	unsent := w.unsent
	w.unsent = nil
	for _, each := range unsent {
		r.deliver(each)
	}
	for _, record := range sorted(r.records) {
		if record.Worker == name && record.Session.BootID == w.Boot {
			r.sendAgain(w, record)
		}
	}
	r.wakePlan()
}

// moveAfterLoss moves the tasks of a boot once it is certain that they have stopped.
func (r *replayer) moveAfterLoss(name, boot string) {
	lostAt := r.now
	r.after(lostAfter, func() { r.moveLost(name, boot, lostAt) })
}

func (r *replayer) moveLost(name, boot string, lostAt time.Time) {
	w := r.workers[name]
	same := w != nil && w.Boot == boot
	if same && (w.connected || w.alive && !w.lostLinkAt.Equal(lostAt)) {
		return
	}
	if !r.storeUp {
		r.after(retryInterval, func() { r.moveLost(name, boot, lostAt) })
		return
	}
	for _, record := range sorted(r.records) {
		if !record.HasAssignment() || record.Worker != name || record.Session.BootID != boot {
			continue
		}
		changed := record.Clone()
		origin := task.Origin{Worker: name, Attempt: record.Attempt, Session: record.Session}
		if err := changed.WorkerLost(origin, true, r.now); err == nil {
			r.decide("worker lost task=%s attempt=%d worker=%s", record.ID, record.Attempt, name)
			r.store(changed)
		}
	}
	r.wakePlan()
}

// refresh takes over the workers' state in the router and sends waiting requests.
func (r *replayer) refresh() {
	workers := make([]routing.Worker, 0, len(r.workers))
	for _, w := range sorted(r.workers) {
		workers = append(workers, routing.Worker{
			Name: w.Name, Incarnation: w.Boot, Zone: w.Zone, Connected: w.connected, Leaving: w.leaving,
			HeartbeatAt: w.heartbeatAt, Targets: r.targets(w),
		})
	}
	r.router.Update(workers, r.zoneInService)
	r.dispatchAll()
}

func (r *replayer) zoneInService(zone string) bool {
	return r.document != nil && r.document.ZoneInService(zone)
}

// targets returns the targets that the worker announces.
func (r *replayer) targets(w *worker) []wire.TargetState {
	states := make([]wire.TargetState, 0, len(w.Targets))
	for _, target := range w.Targets {
		if target.WithReplica && !w.hasReplica(target.Service) {
			continue
		}
		states = append(states, wire.TargetState{
			Service: target.Service, Slots: target.Slots, Connections: target.Connections, Leaving: target.Leaving,
			SlotsUsed: max(target.SlotsUsed, w.inProgress[target.Service]),
		})
	}
	return states
}

// hasReplica reports whether a replica of the service runs on the worker.
func (w *worker) hasReplica(service string) bool {
	for _, a := range w.attempts {
		if a.spec.Service == service && !a.ending {
			return true
		}
	}
	return false
}
