// Package frontend takes callers' HTTP requests, routes each to a worker and returns its answer.
package frontend

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"clementineflow/internal/admission"
	"clementineflow/internal/configuration"
	"clementineflow/internal/fleet"
	"clementineflow/internal/frontend/exchange"
	"clementineflow/internal/routing"
	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

// refreshInterval bounds the age of the views that routing uses.
const refreshInterval = 50 * time.Millisecond

// ErrConfig reports a Config that lacks a required field.
var ErrConfig = errors.New("frontend: incomplete configuration")

// Hub is the part of fleet.Hub that the frontend uses.
type Hub interface {
	Views() []fleet.View
	SendIncarnation(worker, incarnation string, message wire.Message) error
}

// Config holds the dependencies of a Frontend.
type Config struct {
	// Zone is the availability zone of this entry.
	Zone string
	Hub  Hub
	// Document returns the current configuration, nil before one is known.
	Document func() *configuration.Document
	Logger   *log.Logger
	// Seed is the seed of routing's random choices.
	Seed uint64
	// Arrived is called for each valid request before the decision about it; it must not block. May be nil.
	Arrived func(Arrival)
}

// Frontend holds the requests in progress at one entry. It implements fleet.Handler. Its methods are
// safe for concurrent use.
type Frontend struct {
	config  Config
	refresh chan struct{}

	mutex     sync.Mutex
	draining  bool
	idle      chan struct{} // closed when draining and nothing is in progress
	flights   map[flightKey]*flight
	byID      map[string]*flight // by the id on the wire
	finished  *finishedStore
	router    *routing.Router
	queues    map[string]*routing.Queue
	admission *admission.Controller
	revision  uint64
	metrics   requestMetrics
	// lines are the decisions made since the mutex was locked, for unlock.
	lines []decisionLine
}

// New returns a frontend, or ErrConfig. It is registered at the hub before the first link is served.
func New(config Config) (*Frontend, error) {
	if config.Hub == nil || config.Document == nil || config.Logger == nil {
		return nil, ErrConfig
	}
	return &Frontend{
		config:    config,
		refresh:   make(chan struct{}, 1),
		idle:      make(chan struct{}),
		flights:   make(map[flightKey]*flight),
		byID:      make(map[string]*flight),
		finished:  newFinishedStore(),
		router:    routing.New(config.Zone, config.Seed),
		queues:    make(map[string]*routing.Queue),
		admission: admission.New(),
		metrics:   newRequestMetrics(),
	}, nil
}

// Run keeps routing's view of the workers fresh until the context ends.
func (f *Frontend) Run(ctx context.Context) error {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		f.update(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-f.refresh:
		}
	}
}

// Drain refuses new requests as "not run" and waits until those in progress are finished. It returns
// the context's error if that comes first.
func (f *Frontend) Drain(ctx context.Context) error {
	f.mutex.Lock()
	if !f.draining {
		f.draining = true
		f.signalIdle()
	}
	f.mutex.Unlock()
	select {
	case <-f.idle:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "frontend: drain")
	}
}

// signalIdle closes idle when the last request of a drain has ended. The mutex is held.
func (f *Frontend) signalIdle() {
	if !f.draining || len(f.flights) > 0 {
		return
	}
	select {
	case <-f.idle:
	default:
		close(f.idle)
	}
}

// update takes over the hub's views and the configuration, and sends waiting requests.
func (f *Frontend) update(now time.Time) {
	views := f.config.Hub.Views()
	workers := make([]routing.Worker, len(views))
	for index := range views {
		view := &views[index]
		workers[index] = routing.Worker{
			Name: view.Name, Incarnation: view.Incarnation, Zone: view.Zone, Connected: view.Connected,
			Leaving: view.Leaving, HeardAt: view.HeardAt, Targets: view.Targets,
		}
	}
	document := f.config.Document()
	f.mutex.Lock()
	defer f.unlock()
	f.configure(now, document)
	f.router.Update(workers, func(zone string) bool { return document != nil && document.ZoneInService(zone) })
	f.finished.expire(now)
	for service, queue := range f.queues {
		f.dispatch(now, service, queue)
		f.publish(service, queue)
	}
}

// configure takes over a newer document. The mutex is held.
func (f *Frontend) configure(now time.Time, document *configuration.Document) {
	if document == nil || document.Revision <= f.revision {
		return
	}
	f.revision = document.Revision
	f.admission.Configure(now, document.Teams)
}

// publish sets the metrics of a queue. The mutex is held.
func (f *Frontend) publish(service string, queue *routing.Queue) {
	for _, priority := range []task.Priority{task.PriorityLow, task.PriorityNormal, task.PriorityUrgent} {
		setQueueLength(service, priority, queue.Count(priority))
	}
}

// submission is a parsed request of a caller.
type submission struct {
	control control
	caller  string
	request wire.Request
}

// begin starts a request, joins the one with the same id that is in progress, or returns the stored
// result of one that finished. Nothing has changed after a failure.
func (f *Frontend) begin(now time.Time, s *submission) (*flight, *failure) {
	document := f.config.Document()
	if document == nil {
		return nil, &failure{code: CodeUnavailable, message: "the configuration is not known yet", retryAfter: retryAfterDrain}
	}
	service, ok := document.Service(s.request.Service)
	if !ok {
		return nil, &failure{code: CodeUnknownService, message: "the service is not configured"}
	}
	if s.control.team == "" {
		s.control.team = service.Team
	}
	if _, ok := document.Team(s.control.team); !ok {
		return nil, &failure{code: CodeUnknownTeam, message: "the team is not configured"}
	}
	key := flightKey{team: s.control.team, id: s.control.requestID}
	digest := fingerprint(&s.request)
	if f.config.Arrived != nil {
		f.config.Arrived(arrivalOf(s, key, timeoutOf(s, &service)))
	}

	f.mutex.Lock()
	defer f.unlock()
	f.configure(now, document)
	if held, failed, found := f.repeated(now, key, digest); found {
		return held, failed
	}
	if f.draining {
		return nil, &failure{code: CodeUnavailable, message: "the entry is stopping", retryAfter: retryAfterDrain}
	}
	load := f.load(now, service.Name)
	if decision := f.admission.Admit(now, key.team, s.caller, s.control.priority, load); !decision.OK() {
		return nil, refused(decision)
	}
	return f.launch(now, s, key, digest, timeoutOf(s, &service)), nil
}

// timeoutOf returns the time that a request has.
func timeoutOf(s *submission, service *configuration.Service) time.Duration {
	switch {
	case s.control.timeout > 0:
		return s.control.timeout
	case service.Timeout > 0:
		return service.Timeout
	default:
		return defaultTimeout
	}
}

// repeated returns the request with the same id that is in progress or has finished with an answer or
// an unknown outcome. One that certainly did not run may be tried again. The mutex is held.
func (f *Frontend) repeated(now time.Time, key flightKey, digest uint64) (*flight, *failure, bool) {
	reused := invalid(headerRequestID + " was used for another request")
	if held, ok := f.flights[key]; ok {
		if held.fingerprint != digest {
			return nil, reused, true
		}
		held.waiters++
		return held, nil, true
	}
	stored, ok := f.finished.get(now, key)
	if !ok || stored.result.Outcome == wire.OutcomeNotRun {
		return nil, nil, false
	}
	if stored.fingerprint != digest {
		return nil, reused, true
	}
	held := &flight{key: key, done: make(chan struct{}), result: stored.result, waiters: 1}
	close(held.done)
	return held, nil, true
}

// load returns the load of a service for admission. The mutex is held.
func (f *Frontend) load(now time.Time, service string) admission.Load {
	observed := f.router.Load(now, service)
	load := admission.Load{InProgress: observed.InProgress, Limit: observed.Limit}
	if queue, ok := f.queues[service]; ok {
		load.InProgress += queue.Len()
	}
	return load
}

// launch starts a new request. The mutex is held.
func (f *Frontend) launch(now time.Time, s *submission, key flightKey, digest uint64, timeout time.Duration) *flight {
	fl := &flight{
		key: key, fingerprint: digest, request: s.request, priority: s.control.priority,
		deadline: now.Add(timeout), began: now, waiters: 1, done: make(chan struct{}),
	}
	fl.request.ID = key.wireID()
	fl.request.Idempotent = s.control.idempotent
	spec := exchange.Spec{Idempotent: s.control.idempotent, Deadline: fl.deadline}
	if stored, ok := f.finished.get(now, key); ok {
		spec.PreviousAttempt = stored.result.Attempt
	}
	f.flights[key] = fl
	f.byID[fl.request.ID] = fl
	f.router.Budget(fl.request.Service).Request()
	var actions []exchange.Action
	fl.exchange, actions = exchange.New(spec)
	f.perform(now, fl, actions)
	f.schedule(now, fl)
	return fl
}

// leave says that one caller of a request has gone away.
func (f *Frontend) leave(now time.Time, fl *flight) {
	f.mutex.Lock()
	defer f.unlock()
	fl.waiters--
	if fl.waiters == 0 && fl.exchange != nil {
		f.step(now, fl, exchange.CallerGone{})
	}
}
