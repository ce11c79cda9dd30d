package replay

import (
	"fmt"
	"time"

	"clementineflow/internal/admission"
	"clementineflow/internal/configuration"
	"clementineflow/internal/frontend/exchange"
	"clementineflow/internal/routing"
	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

// flight is a request in progress.
type flight struct {
	*Request
	priority task.Priority
	deadline time.Time
	exchange *exchange.Exchange
	tried    []string
	sentAt   time.Time
	queued   bool
	wakeAt   time.Time
}

func (r *replayer) service(name string) (configuration.Service, bool) {
	if r.document == nil {
		return configuration.Service{}, false
	}
	return r.document.Service(name)
}

// arrive decides about a request that arrives, as the frontend does.
func (r *replayer) arrive(request *Request) {
	if r.history.requests[request.ID] != nil {
		r.decide("request repeated id=%s", request.ID)
		return
	}
	fl := &flight{Request: request, priority: priorities[request.Priority], deadline: r.now.Add(time.Duration(request.Timeout))}
	r.history.requests[request.ID] = &requestFact{arrivedAt: r.now, service: request.Service, priority: fl.priority}
	r.history.requestOrder = append(r.history.requestOrder, request.ID)
	if _, ok := r.service(request.Service); !ok {
		r.end(fl, "not-run", "unknown_service")
		return
	}
	observed := r.router.Load(r.now, request.Service)
	load := admission.Load{InProgress: observed.InProgress, Limit: observed.Limit}
	if queue, ok := r.queues[request.Service]; ok {
		load.InProgress += queue.Len()
	}
	if decision := r.admission.Admit(r.now, request.Team, request.Caller, fl.priority, load); !decision.OK() {
		r.end(fl, "not-run", decision.Reason.String())
		return
	}
	r.flights[request.ID] = fl
	r.router.Budget(request.Service).AddRequest()
	var actions []exchange.Action
	fl.exchange, actions = exchange.New(exchange.Spec{Idempotent: request.Idempotent, Deadline: fl.deadline})
	r.perform(fl, actions)
	r.schedule(fl)
}

// arriveNext lets the next request of a stream arrive.
func (r *replayer) arriveNext(stream *Requests, number int) {
	if number >= stream.Count {
		return
	}
	request := stream.Request
	request.ID = fmt.Sprintf("%s-%d", stream.ID, number)
	r.arrive(&request)
	r.after(time.Duration(stream.Every), func() { r.arriveNext(stream, number+1) })
}

// end notes what became of a request.
func (r *replayer) end(fl *flight, outcome, reason string) {
	fact := r.history.requests[fl.ID]
	fact.endedAt, fact.outcome, fact.reason = r.now, outcome, reason
	r.decide("request id=%s outcome=%s reason=%s", fl.ID, outcome, reason)
}

func (r *replayer) step(fl *flight, event exchange.Event) {
	r.perform(fl, fl.exchange.Step(r.now, event))
	r.schedule(fl)
}

// schedule plans the next tick of a request.
func (r *replayer) schedule(fl *flight) {
	if fl.exchange.Finished() {
		return
	}
	at := fl.exchange.NextWake()
	if at.Equal(fl.wakeAt) {
		return
	}
	fl.wakeAt = at
	r.after(at.Sub(r.now), func() {
		if fl.wakeAt.Equal(at) && !fl.exchange.Finished() {
			fl.wakeAt = time.Time{}
			r.step(fl, exchange.Tick{})
		}
	})
}

func (r *replayer) perform(fl *flight, actions []exchange.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case exchange.ChooseWorker:
			r.choose(fl, action.Retry)
		case exchange.CancelChoice:
			r.unqueue(fl)
		case exchange.Send:
			r.sendRequest(fl, action)
		case exchange.Query:
			r.query(fl, action)
		case exchange.Release:
			r.release(fl, action)
		case exchange.Finish:
			r.finish(fl, action.Result)
		}
	}
}

// choose looks for a worker, or queues the request.
func (r *replayer) choose(fl *flight, retry bool) {
	if retry && !r.router.Budget(fl.Service).TakeRetry() {
		r.step(fl, exchange.NoWorker{Cause: exchange.CauseBudget})
		return
	}
	if queue, ok := r.queues[fl.Service]; ok && queue.Len() > 0 {
		r.enqueue(fl)
		r.dispatch(fl.Service, queue)
		return
	}
	decision := r.router.Pick(r.now, fl.Service, fl.tried)
	if !decision.Chosen() {
		r.enqueue(fl)
		return
	}
	r.route(fl, decision)
}

func (r *replayer) route(fl *flight, decision routing.Decision) {
	r.decide("route id=%s attempt=%d worker=%s reason=%q candidates=%d in_progress=%d",
		fl.ID, fl.exchange.Attempt()+1, decision.Worker, decision.Reason, decision.Candidates, decision.InProgress)
	fl.tried = append(fl.tried, decision.Worker)
	r.step(fl, exchange.WorkerChosen{Worker: decision.Worker, Incarnation: decision.Incarnation})
}

func (r *replayer) enqueue(fl *flight) {
	load := r.router.Load(r.now, fl.Service)
	if load.Limit == 0 {
		r.step(fl, exchange.NoWorker{Cause: exchange.CauseNoTarget})
		return
	}
	queue, ok := r.queues[fl.Service]
	if !ok {
		queue = routing.NewQueue()
		r.queues[fl.Service] = queue
	}
	refusal, _ := queue.Offer(r.now, routing.Item{ID: fl.ID, Priority: fl.priority, Deadline: fl.deadline}, load)
	switch refusal {
	case routing.Accepted:
		fl.queued = true
		r.refreshSoon()
	case routing.RefusedDeadline:
		r.step(fl, exchange.NoWorker{Cause: exchange.CauseDeadline})
	default:
		r.step(fl, exchange.NoWorker{Cause: exchange.CauseQueueFull})
	}
}

// refreshSoon looks at the waiting requests after the frontend's refresh interval.
func (r *replayer) refreshSoon() {
	if r.refreshPending {
		return
	}
	r.refreshPending = true
	r.after(refreshInterval, func() {
		r.refreshPending = false
		r.refresh()
		for _, queue := range r.queues {
			if queue.Len() > 0 {
				r.refreshSoon()
				return
			}
		}
	})
}

func (r *replayer) unqueue(fl *flight) {
	if fl.queued {
		fl.queued = false
		r.queues[fl.Service].Remove(fl.ID)
	}
}

func (r *replayer) dispatchAll() {
	for _, service := range sortedKeys(r.queues) {
		r.dispatch(service, r.queues[service])
	}
}

// dispatch sends waiting requests while workers have room.
func (r *replayer) dispatch(service string, queue *routing.Queue) {
	for {
		item, ok := queue.Peek()
		if !ok {
			return
		}
		fl := r.flights[item.ID]
		decision := r.router.Pick(r.now, service, fl.tried)
		if !decision.Chosen() && decision.Excluded.Tried > 0 {
			decision = r.router.Pick(r.now, service, nil)
		}
		if !decision.Chosen() {
			return
		}
		r.unqueue(fl)
		r.route(fl, decision)
	}
}

// release ends an attempt at a worker.
func (r *replayer) release(fl *flight, action exchange.Release) {
	result := routing.ResultNotRun
	switch {
	case action.Outcome == wire.OutcomeAnswered && action.Status < 500:
		result = routing.ResultAnswered
	case action.Outcome != wire.OutcomeNotRun || action.Reason == wire.NotRunConnect:
		result = routing.ResultFailed
	}
	ejection, ejected := r.router.RecordResult(r.now, fl.Service, action.Worker, result, r.now.Sub(fl.sentAt))
	if ejected {
		r.decide("eject service=%s worker=%s cause=%s for=%s", ejection.Service, ejection.Worker, ejection.Cause, ejection.Duration)
	}
	if queue, ok := r.queues[fl.Service]; ok && action.Outcome == wire.OutcomeAnswered {
		r.dispatch(fl.Service, queue)
	}
}

func (r *replayer) finish(fl *flight, result exchange.Result) {
	r.unqueue(fl)
	delete(r.flights, fl.ID)
	r.admission.Release(fl.Team)
	reason := result.Cause.String()
	if result.Outcome == wire.OutcomeAnswered {
		reason = "none"
	}
	r.end(fl, nameOf(replyOutcomes, result.Outcome), reason)
}

// stepFlightsAt passes an event about a worker to the requests that are there.
func (r *replayer) stepFlightsAt(worker string, event exchange.Event) {
	for _, fl := range sorted(r.flights) {
		if fl.exchange.IsOpenAt(worker) {
			r.step(fl, event)
		}
	}
}
