package replay

import (
	"maps"
	"slices"
	"time"

	"clementineflow/internal/frontend/exchange"
	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

// requestKey names one attempt of a request.
type requestKey struct {
	id      string
	attempt uint32
}

func sortedKeys[V any](values map[string]V) []string { return slices.Sorted(maps.Keys(values)) }

// sendRequest sends an attempt to a worker.
func (r *replayer) sendRequest(fl *flight, action exchange.Send) {
	fl.sentAt = r.now
	r.router.RecordStart(fl.Service, action.Worker)
	w := r.workers[action.Worker]
	if w == nil || !w.connected || w.Boot != action.Incarnation {
		r.step(fl, exchange.SendFailed{Attempt: action.Attempt})
		return
	}
	if fl.ServiceTime <= 0 {
		return // the trace states the replies
	}
	r.after(linkDelay, func() { r.receiveRequest(w, fl, requestKey{fl.ID, action.Attempt}) })
}

// receiveRequest runs an attempt at the target, or refuses it as the agent does.
func (r *replayer) receiveRequest(w *worker, fl *flight, key requestKey) {
	if !w.alive || w.ledger[key] != nil {
		return
	}
	reply := &wire.RequestReply{ID: key.id, Attempt: key.attempt}
	w.ledger[key] = reply
	if reason := r.refusal(w, fl); reason != wire.NotRunNone {
		reply.Outcome, reply.Reason = wire.OutcomeNotRun, reason
		r.reply(w, reply)
		return
	}
	reply.Outcome = wire.OutcomeRunning
	w.inProgress[fl.Service]++
	taken := time.Duration(float64(fl.ServiceTime) * r.slowdown(w))
	r.after(taken, func() {
		if !w.alive {
			return
		}
		w.inProgress[fl.Service]--
		w.controlled[fl.Service] = append(w.controlled[fl.Service], taken)
		w.reported[fl.Service] = append(w.reported[fl.Service], taken)
		reply.Outcome, reply.Status = wire.OutcomeAnswered, 200
		r.reply(w, reply)
	})
}

// refusal returns why the agent refuses a request, or NotRunNone.
func (r *replayer) refusal(w *worker, fl *flight) wire.NotRunReason {
	if w.leaving {
		return wire.NotRunLeaving
	}
	if !r.zoneInService(w.Zone) {
		return wire.NotRunZone
	}
	for _, target := range r.targets(w) {
		if target.Service != fl.Service {
			continue
		}
		if w.inProgress[fl.Service] >= max(target.Slots, 1) {
			return wire.NotRunBusy
		}
		return wire.NotRunNone
	}
	return wire.NotRunNoTarget
}

// slowdown returns the factor by which the worker's tasks lengthen its requests.
func (r *replayer) slowdown(w *worker) float64 {
	factor := 1.0
	for _, a := range sorted(w.attempts) {
		if a.run.Slowdown > 1 && a.spec.Kind != task.KindService {
			factor *= 1 + (a.run.Slowdown-1)*float64(w.share(a))/1000
		}
	}
	return factor
}

// reply sends a reply; without a link it stays in the ledger.
func (r *replayer) reply(w *worker, reply *wire.RequestReply) {
	sent := *reply
	r.after(linkDelay, func() {
		if fl, ok := r.flights[sent.ID]; ok && w.connected {
			r.step(fl, exchange.ReplyReceived{Worker: w.Name, Reply: &sent})
		}
	})
}

// query asks a worker for the outcome of an attempt.
func (r *replayer) query(fl *flight, action exchange.Query) {
	w := r.workers[action.Worker]
	if w == nil || !w.connected || w.Boot != action.Incarnation || fl.ServiceTime <= 0 {
		return
	}
	key := requestKey{fl.ID, action.Attempt}
	r.after(linkDelay, func() {
		known := w.ledger[key]
		if known == nil {
			known = &wire.RequestReply{ID: key.id, Attempt: key.attempt, Outcome: wire.OutcomeNotRun, Reason: wire.NotRunNotReceived}
			w.ledger[key] = known
		}
		r.reply(w, known)
	})
}

// explicitReply applies a reply that the trace states.
func (r *replayer) explicitReply(stated *Reply) {
	fl, ok := r.flights[stated.Request]
	if !ok {
		r.decide("reply ignored id=%s", stated.Request)
		return
	}
	r.step(fl, exchange.ReplyReceived{Worker: stated.Worker, Reply: &wire.RequestReply{
		ID: stated.Request, Attempt: stated.Attempt, Outcome: replyOutcomes[stated.Outcome],
		Status: stated.Status, Reason: wire.NotRunReason(stated.Reason),
	}})
}
