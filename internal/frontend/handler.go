package frontend

import (
	"time"

	"clementineflow/internal/fleet"
	"clementineflow/internal/frontend/exchange"
	"clementineflow/internal/wire"
)

// WorkerConnected implements fleet.Handler: it queries the worker for the outcomes of its open requests.
func (f *Frontend) WorkerConnected(view fleet.View) {
	f.stepRequestsOfWorker(view.Name, exchange.WorkerConnected{Worker: view.Name, Incarnation: view.Incarnation})
}

// WorkerDisconnected implements fleet.Handler: the worker's open requests wait for it to reconnect.
func (f *Frontend) WorkerDisconnected(worker, incarnation string) {
	f.stepRequestsOfWorker(worker, exchange.LinkLost{Worker: worker, Incarnation: incarnation})
}

// stepRequestsOfWorker passes an event about a worker to the requests open there, and triggers a refresh of the
// views.
func (f *Frontend) stepRequestsOfWorker(worker string, event exchange.Event) {
	select {
	case f.refresh <- struct{}{}:
	default:
	}
	f.mutex.Lock()
	defer f.unlock()
	now := time.Now()
	var affected []*activeRequest
	for _, active := range f.active {
		if active.exchange.IsOpenAt(worker) {
			affected = append(affected, active)
		}
	}
	for _, active := range affected {
		f.stepRequest(now, active, event)
	}
}

// RequestReply implements fleet.Handler: it passes the reply to its request.
func (f *Frontend) RequestReply(worker string, reply *wire.RequestReply) {
	f.mutex.Lock()
	defer f.unlock()
	f.handleReply(worker, reply)
}

// QueryReply implements fleet.Handler: it passes each reply to its request.
func (f *Frontend) QueryReply(worker string, reply *wire.QueryReply) {
	f.mutex.Lock()
	defer f.unlock()
	for index := range reply.Replies {
		f.handleReply(worker, &reply.Replies[index])
	}
}

// handleReply passes a reply to its request in progress; without one the reply is dropped. The mutex is held.
func (f *Frontend) handleReply(worker string, reply *wire.RequestReply) {
	if active, ok := f.byID[reply.ID]; ok {
		f.stepRequest(time.Now(), active, exchange.ReplyReceived{Worker: worker, Reply: reply})
	}
}

// HandleTaskEvent implements fleet.Handler; requests do not depend on tasks.
func (f *Frontend) HandleTaskEvent(string, *wire.TaskEvent) {}

// HandleUsage implements fleet.Handler; requests do not depend on it.
func (f *Frontend) HandleUsage(string, *wire.Usage) {}
