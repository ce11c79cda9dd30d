package frontend

import (
	"time"

	"clementineflow/internal/frontend/exchange"
	"clementineflow/internal/routing"
	"clementineflow/internal/wire"
)

// stepRequest passes an event to a request and performs the resulting actions. The mutex is held.
func (f *Frontend) stepRequest(now time.Time, active *activeRequest, event exchange.Event) {
	f.performActions(now, active, active.exchange.Step(now, event))
	f.scheduleTick(now, active)
}

// scheduleTick sets the timer for the next Tick, or stops it if the request is finished. The mutex is held.
func (f *Frontend) scheduleTick(now time.Time, active *activeRequest) {
	if active.exchange.Finished() {
		if active.timer != nil {
			active.timer.Stop()
		}
		return
	}
	at := active.exchange.NextWake()
	if at.Equal(active.wakeAt) {
		return
	}
	active.wakeAt = at
	if active.timer == nil {
		active.timer = time.AfterFunc(at.Sub(now), func() { f.handleTimer(active) })
		return
	}
	active.timer.Reset(at.Sub(now))
}

// handleTimer passes a Tick to a request when its timer fires.
func (f *Frontend) handleTimer(active *activeRequest) {
	f.mutex.Lock()
	defer f.unlock()
	active.wakeAt = time.Time{}
	f.stepRequest(time.Now(), active, exchange.Tick{})
}

// performActions performs the actions returned by the request's exchange. The mutex is held.
func (f *Frontend) performActions(now time.Time, active *activeRequest, actions []exchange.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case exchange.ChooseWorker:
			f.chooseWorker(now, active, action.Retry)
		case exchange.CancelChoice:
			f.dequeue(active)
		case exchange.Send:
			f.sendAttempt(now, active, action)
		case exchange.Query:
			f.sendQuery(now, active, action)
		case exchange.Cancel:
			// If the cancellation is not delivered, the outcome follows from the query or the deadline.
			_ = f.config.Hub.SendIncarnation(action.Worker, action.Incarnation,
				&wire.Cancel{ID: active.request.ID, Attempt: action.Attempt})
		case exchange.Release:
			f.releaseAttempt(now, active, action)
		case exchange.Finish:
			f.finishRequest(now, active, action.Result)
		}
	}
}

// chooseWorker picks a worker for the request, or queues the request. The mutex is held.
func (f *Frontend) chooseWorker(now time.Time, active *activeRequest, retry bool) {
	service := active.request.Service
	if retry {
		if !f.router.Budget(service).TakeRetry() {
			f.logRefusal(active, exchange.CauseBudget, 0)
			f.stepRequest(now, active, exchange.NoWorker{Cause: exchange.CauseBudget})
			return
		}
		countRetry(service)
	}
	if queue, ok := f.queues[service]; ok && queue.Len() > 0 {
		f.enqueue(now, active)
		f.dispatch(now, service, queue)
		return
	}
	decision := f.router.Pick(now, service, active.tried)
	if !decision.Chosen() {
		f.logDecision(active, decision)
		f.enqueue(now, active)
		return
	}
	f.assign(now, active, decision)
}

// assign assigns the request to the chosen worker. The mutex is held.
func (f *Frontend) assign(now time.Time, active *activeRequest, decision routing.Decision) {
	f.logDecision(active, decision)
	active.tried = append(active.tried, decision.Worker)
	f.stepRequest(now, active, exchange.WorkerChosen{Worker: decision.Worker, Incarnation: decision.Incarnation})
}

// enqueue queues the request until a worker has room, or refuses it at once. The mutex is held.
func (f *Frontend) enqueue(now time.Time, active *activeRequest) {
	service := active.request.Service
	load := f.router.Load(now, service)
	if load.Limit == 0 {
		f.logRefusal(active, exchange.CauseNoTarget, 0)
		f.stepRequest(now, active, exchange.NoWorker{Cause: exchange.CauseNoTarget, RetryAfter: retryAfterDrain})
		return
	}
	queue, ok := f.queues[service]
	if !ok {
		queue = routing.NewQueue()
		f.queues[service] = queue
	}
	item := routing.Item{ID: active.request.ID, Priority: active.priority, Deadline: active.deadline}
	refusal, wait := queue.Offer(now, item, load)
	if refusal == routing.Accepted {
		active.queued = true
		return
	}
	cause := exchange.CauseQueueFull
	if refusal == routing.RefusedDeadline {
		cause = exchange.CauseDeadline
	}
	f.logRefusal(active, cause, wait)
	f.stepRequest(now, active, exchange.NoWorker{Cause: cause, RetryAfter: max(wait, retryAfterFull)})
}

// dequeue removes the request from its queue, if it is queued. The mutex is held.
func (f *Frontend) dequeue(active *activeRequest) {
	if !active.queued {
		return
	}
	active.queued = false
	f.queues[active.request.Service].Remove(active.request.ID)
}

// dispatch assigns queued requests while workers have room. The mutex is held.
func (f *Frontend) dispatch(now time.Time, service string, queue *routing.Queue) {
	for {
		item, ok := queue.Peek()
		if !ok {
			return
		}
		active := f.byID[item.ID]
		decision := f.router.Pick(now, service, active.tried)
		if !decision.Chosen() && decision.Excluded.Tried > 0 {
			// Only workers that were tried before may have room now.
			decision = f.router.Pick(now, service, nil)
		}
		if !decision.Chosen() {
			return
		}
		f.dequeue(active)
		f.assign(now, active, decision)
	}
}

// sendAttempt sends an attempt to a worker and counts it as in progress there. The mutex is held.
func (f *Frontend) sendAttempt(now time.Time, active *activeRequest, action exchange.Send) {
	active.request.Attempt = action.Attempt
	active.request.RemainingMillis = active.deadline.Sub(now).Milliseconds()
	active.sentAt = now
	f.router.RecordStart(active.request.Service, action.Worker)
	err := f.config.Hub.SendIncarnation(action.Worker, action.Incarnation, &active.request)
	if err == nil {
		return
	}
	f.config.Logger.Warn("request not sent", "request", active.request.ID, "attempt", action.Attempt,
		"worker", action.Worker, "err", err)
	f.stepRequest(now, active, exchange.SendFailed{Attempt: action.Attempt})
}

// sendQuery asks a worker for the outcome of an attempt. The remaining time includes the grace period, since
// the refusal that an agent records must outlive the deadline. The mutex is held.
func (f *Frontend) sendQuery(now time.Time, active *activeRequest, action exchange.Query) {
	remaining := active.deadline.Add(exchange.OutcomeGrace).Sub(now).Milliseconds()
	// A query that is not delivered is repeated when the worker reconnects or at the deadline.
	_ = f.config.Hub.SendIncarnation(action.Worker, action.Incarnation, &wire.Query{
		Keys:        []wire.RequestKey{{ID: active.request.ID, Attempt: action.Attempt, RemainingMillis: max(1, remaining)}},
		Incarnation: action.Incarnation,
	})
}

// releaseAttempt reports the end of an attempt to routing, and dispatches queued requests if the worker answered.
// The mutex is held.
func (f *Frontend) releaseAttempt(now time.Time, active *activeRequest, action exchange.Release) {
	result := routing.ResultNotRun
	switch {
	case action.Outcome == wire.OutcomeAnswered && action.Status < 500:
		result = routing.ResultAnswered
	case action.Outcome != wire.OutcomeNotRun || action.Reason == wire.NotRunConnect:
		result = routing.ResultFailed
	}
	ejection, ejected := f.router.RecordResult(now, active.request.Service, action.Worker, result, now.Sub(active.sentAt))
	if ejected {
		countEjection(ejection)
		f.config.Logger.Warn("worker ejected", "service", ejection.Service, "worker", ejection.Worker,
			"cause", ejection.Cause, "for", ejection.Duration)
	}
	if action.Outcome != wire.OutcomeAnswered {
		return // the worker may still be busy; the next refresh dispatches queued requests
	}
	if queue, ok := f.queues[active.request.Service]; ok {
		f.dispatch(now, active.request.Service, queue)
	}
}

// finishRequest returns the result to the callers and stores it for repeated ids. The mutex is held.
func (f *Frontend) finishRequest(now time.Time, active *activeRequest, result exchange.Result) {
	f.dequeue(active)
	active.result = result
	close(active.done)
	delete(f.active, active.key)
	delete(f.byID, active.request.ID)
	f.finished.put(finishedRequest{key: active.key, fingerprint: active.fingerprint, result: result, at: now})
	f.admission.Release(active.key.team)
	f.signalIdle()
	f.metrics.latency(active.request.Service, active.priority).Update(now.Sub(active.startedAt).Seconds())
	if result.Outcome == wire.OutcomeAnswered {
		f.metrics.outcome(active.request.Service, outcomeAnswered, "").Inc()
		return
	}
	failed := failureOf(&result)
	f.metrics.outcome(active.request.Service, failed.outcome(), failed.code).Inc()
}
