package experiment

import (
	"time"

	"clementineflow/internal/task"
)

// maxAttempts bounds the attempts of a request with a plain policy; refusals are tried elsewhere.
const maxAttempts = 3

// flight is a request in progress at an entry.
type flight struct {
	id       string
	entry    int
	caller   string
	priority task.Priority
	work     time.Duration
	began    time.Duration
	deadline time.Duration
	sentAt   time.Duration
	tried    []string
	ended    bool
}

// requestPolicy decides about requests at all entries.
type requestPolicy interface {
	// update takes over the state of the workers.
	update()
	arrive(fl *flight)
	// refused says that a worker had no room for a request.
	refused(fl *flight, w *worker)
	// answered says that a worker answered, with success or not.
	answered(fl *flight, w *worker, ok bool)
}

func newRequestPolicy(r *run) requestPolicy {
	if r.variant.Requests == Product {
		return newProductRequests(r)
	}
	return newPlainRequests(r)
}

func (r *run) arrive(req *request) {
	r.figures.Requests++
	r.requests.arrive(&flight{
		id: req.caller + req.at.String(), entry: req.entry, caller: req.caller, priority: req.priority, work: req.work,
		began: r.now, deadline: r.now + r.service.Timeout,
	})
}

func (r *run) entryZone(entry int) string { return r.document.Zones[entry].Name }

// send sends a request to a worker.
func (r *run) send(fl *flight, w *worker) {
	fl.sentAt = r.now
	fl.tried = append(fl.tried, w.name)
	delay := r.linkDelay(fl.entry, w)
	r.after(delay, func() { r.serve(fl, w, delay) })
}

func (r *run) linkDelay(entry int, w *worker) time.Duration {
	if r.entryZone(entry) == w.zone {
		return r.deployment.ZoneDelay / 4
	}
	return r.deployment.ZoneDelay
}

func (r *run) serve(fl *flight, w *worker, delay time.Duration) {
	length, ok := w.serve(fl.work)
	if !ok {
		r.after(delay, func() { r.requests.refused(fl, w) })
		return
	}
	failing := w.failing
	r.figures.slots(w)
	r.after(length, func() {
		w.active--
		if !failing {
			w.control, w.report = append(w.control, length), append(w.report, length)
		}
		r.after(delay, func() { r.answer(fl, w, !failing) })
	})
}

func (r *run) answer(fl *flight, w *worker, ok bool) {
	latency := r.now - fl.began + 2*r.deployment.ClientDelay
	if ok && !fl.ended {
		r.figures.latency(latency, r.service.Timeout)
	}
	fl.ended = true
	r.requests.answered(fl, w, ok)
}
