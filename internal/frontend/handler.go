package frontend

import (
	"time"

	"clementineflow/internal/fleet"
	"clementineflow/internal/frontend/exchange"
	"clementineflow/internal/wire"
)

// WorkerConnected implements fleet.Handler.
func (f *Frontend) WorkerConnected(view fleet.View) {
	f.stepWorker(view.Name, exchange.Connected{Worker: view.Name, Incarnation: view.Incarnation})
}

// WorkerDisconnected implements fleet.Handler.
func (f *Frontend) WorkerDisconnected(worker, incarnation string) {
	f.stepWorker(worker, exchange.LinkLost{Worker: worker, Incarnation: incarnation})
}

// stepWorker passes an event about a worker to its requests and asks for a refresh of the views.
func (f *Frontend) stepWorker(worker string, event exchange.Event) {
	select {
	case f.refresh <- struct{}{}:
	default:
	}
	f.mutex.Lock()
	defer f.unlock()
	now := time.Now()
	var concerned []*flight
	for _, fl := range f.flights {
		if fl.exchange.At(worker) {
			concerned = append(concerned, fl)
		}
	}
	for _, fl := range concerned {
		f.step(now, fl, event)
	}
}

// RequestReply implements fleet.Handler.
func (f *Frontend) RequestReply(worker string, reply *wire.RequestReply) {
	f.mutex.Lock()
	defer f.unlock()
	f.reply(worker, reply)
}

// QueryReply implements fleet.Handler.
func (f *Frontend) QueryReply(worker string, reply *wire.QueryReply) {
	f.mutex.Lock()
	defer f.unlock()
	for index := range reply.Replies {
		f.reply(worker, &reply.Replies[index])
	}
}

// reply passes a reply to its request; one without a request in progress is dropped. The mutex is held.
func (f *Frontend) reply(worker string, reply *wire.RequestReply) {
	if fl, ok := f.byID[reply.ID]; ok {
		f.step(time.Now(), fl, exchange.Replied{Worker: worker, Reply: reply})
	}
}

// TaskEvent implements fleet.Handler.
func (f *Frontend) TaskEvent(string, *wire.TaskEvent) {}

// Usage implements fleet.Handler.
func (f *Frontend) Usage(string, *wire.Usage) {}
