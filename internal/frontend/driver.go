package frontend

import (
	"time"

	"clementineflow/internal/frontend/exchange"
	"clementineflow/internal/routing"
	"clementineflow/internal/wire"
)

// step passes an event to a request and performs the actions. The mutex is held.
func (f *Frontend) step(now time.Time, fl *flight, event exchange.Event) {
	f.perform(now, fl, fl.exchange.Step(now, event))
	f.schedule(now, fl)
}

// schedule sets the timer for the next Tick. The mutex is held.
func (f *Frontend) schedule(now time.Time, fl *flight) {
	if fl.exchange.Finished() {
		if fl.timer != nil {
			fl.timer.Stop()
		}
		return
	}
	at := fl.exchange.NextWake()
	if at.Equal(fl.wakeAt) {
		return
	}
	fl.wakeAt = at
	if fl.timer == nil {
		fl.timer = time.AfterFunc(at.Sub(now), func() { f.tick(fl) })
		return
	}
	fl.timer.Reset(at.Sub(now))
}

// tick handles the timer of a request.
func (f *Frontend) tick(fl *flight) {
	f.mutex.Lock()
	defer f.unlock()
	fl.wakeAt = time.Time{}
	f.step(time.Now(), fl, exchange.Tick{})
}

// perform does what the request's lifecycle asks for. The mutex is held.
func (f *Frontend) perform(now time.Time, fl *flight, actions []exchange.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case exchange.Choose:
			f.choose(now, fl, action.Retry)
		case exchange.Abandon:
			f.unqueue(fl)
		case exchange.Send:
			f.send(now, fl, action)
		case exchange.Query:
			f.query(now, fl, action)
		case exchange.Cancel:
			// A cancellation that is not delivered leaves the outcome to the query or the deadline.
			_ = f.config.Hub.SendIncarnation(action.Worker, action.Incarnation,
				&wire.Cancel{ID: fl.request.ID, Attempt: action.Attempt})
		case exchange.Release:
			f.release(now, fl, action)
		case exchange.Finish:
			f.finish(now, fl, action.Result)
		}
	}
}

// choose looks for a worker, or queues the request. The mutex is held.
func (f *Frontend) choose(now time.Time, fl *flight, retry bool) {
	service := fl.request.Service
	if retry {
		if !f.router.Budget(service).Take() {
			f.logRefusal(fl, exchange.CauseBudget, 0)
			f.step(now, fl, exchange.NoWorker{Cause: exchange.CauseBudget})
			return
		}
		countRetry(service)
	}
	if queue, ok := f.queues[service]; ok && queue.Len() > 0 {
		f.enqueue(now, fl)
		f.dispatch(now, service, queue)
		return
	}
	decision := f.router.Pick(now, service, fl.tried)
	if !decision.Chosen() {
		f.logDecision(fl, decision)
		f.enqueue(now, fl)
		return
	}
	f.assign(now, fl, decision)
}

// assign gives the request to the chosen worker. The mutex is held.
func (f *Frontend) assign(now time.Time, fl *flight, decision routing.Decision) {
	f.logDecision(fl, decision)
	fl.tried = append(fl.tried, decision.Worker)
	f.step(now, fl, exchange.Chosen{Worker: decision.Worker, Incarnation: decision.Incarnation})
}

// enqueue lets the request wait for a worker, or refuses it at once. The mutex is held.
func (f *Frontend) enqueue(now time.Time, fl *flight) {
	service := fl.request.Service
	load := f.router.Load(now, service)
	if load.Limit == 0 {
		f.logRefusal(fl, exchange.CauseNoTarget, 0)
		f.step(now, fl, exchange.NoWorker{Cause: exchange.CauseNoTarget, RetryAfter: retryAfterDrain})
		return
	}
	queue, ok := f.queues[service]
	if !ok {
		queue = routing.NewQueue()
		f.queues[service] = queue
	}
	item := routing.Item{ID: fl.request.ID, Priority: fl.priority, Deadline: fl.deadline}
	refusal, wait := queue.Offer(now, item, load)
	if refusal == routing.Accepted {
		fl.queued = true
		return
	}
	cause := exchange.CauseQueueFull
	if refusal == routing.RefusedDeadline {
		cause = exchange.CauseDeadline
	}
	f.logRefusal(fl, cause, wait)
	f.step(now, fl, exchange.NoWorker{Cause: cause, RetryAfter: max(wait, retryAfterFull)})
}

// unqueue withdraws a waiting request. The mutex is held.
func (f *Frontend) unqueue(fl *flight) {
	if !fl.queued {
		return
	}
	fl.queued = false
	f.queues[fl.request.Service].Remove(fl.request.ID)
}

// dispatch sends waiting requests while workers have room. The mutex is held.
func (f *Frontend) dispatch(now time.Time, service string, queue *routing.Queue) {
	for {
		item, ok := queue.Peek()
		if !ok {
			return
		}
		fl := f.byID[item.ID]
		decision := f.router.Pick(now, service, fl.tried)
		if !decision.Chosen() && decision.Excluded.Tried > 0 {
			// Only workers that refused before have room now.
			decision = f.router.Pick(now, service, nil)
		}
		if !decision.Chosen() {
			return
		}
		f.unqueue(fl)
		f.assign(now, fl, decision)
	}
}

// send sends an attempt. The mutex is held.
func (f *Frontend) send(now time.Time, fl *flight, action exchange.Send) {
	fl.request.Attempt = action.Attempt
	fl.request.RemainingMillis = fl.deadline.Sub(now).Milliseconds()
	fl.sentAt = now
	f.router.Started(fl.request.Service, action.Worker)
	err := f.config.Hub.SendIncarnation(action.Worker, action.Incarnation, &fl.request)
	if err == nil {
		return
	}
	f.config.Logger.Warn("request not sent", "request", fl.request.ID, "attempt", action.Attempt,
		"worker", action.Worker, "err", err)
	f.step(now, fl, exchange.SendFailed{Attempt: action.Attempt})
}

// query asks a worker for the outcome of an attempt. The refusal that an agent records must outlive
// the deadline, hence the grace. The mutex is held.
func (f *Frontend) query(now time.Time, fl *flight, action exchange.Query) {
	remaining := fl.deadline.Add(exchange.Grace).Sub(now).Milliseconds()
	// A query that is not delivered is repeated at the next connection or at the deadline.
	_ = f.config.Hub.SendIncarnation(action.Worker, action.Incarnation, &wire.Query{
		Keys:        []wire.RequestKey{{ID: fl.request.ID, Attempt: action.Attempt, RemainingMillis: max(1, remaining)}},
		Incarnation: action.Incarnation,
	})
}

// release ends an attempt at a worker and sends a waiting request in its place. The mutex is held.
func (f *Frontend) release(now time.Time, fl *flight, action exchange.Release) {
	result := routing.ResultNotRun
	switch {
	case action.Outcome == wire.OutcomeAnswered && action.Status < 500:
		result = routing.ResultAnswered
	case action.Outcome != wire.OutcomeNotRun || action.Reason == wire.NotRunConnect:
		result = routing.ResultFailed
	}
	ejection, ejected := f.router.Finished(now, fl.request.Service, action.Worker, result, now.Sub(fl.sentAt))
	if ejected {
		countEjection(ejection)
		f.config.Logger.Warn("worker ejected", "service", ejection.Service, "worker", ejection.Worker,
			"cause", ejection.Cause, "for", ejection.For)
	}
	if action.Outcome != wire.OutcomeAnswered {
		return // the next refresh sends waiting requests; the worker may still be busy
	}
	if queue, ok := f.queues[fl.request.Service]; ok {
		f.dispatch(now, fl.request.Service, queue)
	}
}

// finish gives the result to the callers. The mutex is held.
func (f *Frontend) finish(now time.Time, fl *flight, result exchange.Result) {
	f.unqueue(fl)
	fl.result = result
	close(fl.done)
	delete(f.flights, fl.key)
	delete(f.byID, fl.request.ID)
	f.finished.put(finishedRequest{key: fl.key, fingerprint: fl.fingerprint, result: result, at: now})
	f.admission.Done(fl.key.team)
	f.signalIdle()
	f.metrics.latency(fl.request.Service, fl.priority).Update(now.Sub(fl.began).Seconds())
	if result.Outcome == wire.OutcomeAnswered {
		f.metrics.outcome(fl.request.Service, outcomeAnswered, "").Inc()
		return
	}
	failed := failureOf(&result)
	f.metrics.outcome(fl.request.Service, failed.outcome(), failed.code).Inc()
}
