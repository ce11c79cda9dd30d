// Package frontend accepts callers' HTTP requests, routes each to a worker and returns its answer.
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

// refreshInterval bounds the age of the worker views that routing uses.
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
	// Document returns the current configuration, nil if none has been received yet.
	Document func() *configuration.Document
	Logger   *log.Logger
	// Memory is the memory limit of the process in bytes, or zero if it is not known.
	Memory int64
	// Seed is the seed of routing's random choices.
	Seed uint64
	// OnArrival is called for each valid request before it is admitted or refused. It must not block. May
	// be nil.
	OnArrival func(Arrival)
}

// Frontend holds the requests in progress at one entry. It implements fleet.Handler. Its methods are
// safe for concurrent use.
type Frontend struct {
	config  Config
	refresh chan struct{}

	mutex     sync.Mutex
	draining  bool
	idle      chan struct{} // closed when draining and no request is in progress
	active    map[requestKey]*activeRequest
	byID      map[string]*activeRequest // by requestKey.wireID
	finished  *finishedStore
	router    *routing.Router
	queues    map[string]*routing.Queue
	admission *admission.Controller
	revision  uint64
	metrics   requestMetrics
	// pendingLines holds the decisions made since the mutex was locked; unlock writes them.
	pendingLines []decisionLine
}

// New returns a frontend, or ErrConfig. The caller must register it at the hub before the first link is
// served.
func New(config Config) (*Frontend, error) {
	if config.Hub == nil || config.Document == nil || config.Logger == nil {
		return nil, ErrConfig
	}
	return &Frontend{
		config:    config,
		refresh:   make(chan struct{}, 1),
		idle:      make(chan struct{}),
		active:    make(map[requestKey]*activeRequest),
		byID:      make(map[string]*activeRequest),
		finished:  newFinishedStore(config.Memory),
		router:    routing.New(config.Zone, config.Seed),
		queues:    make(map[string]*routing.Queue),
		admission: admission.New(),
		metrics:   newRequestMetrics(),
	}, nil
}

// Run refreshes routing's view of the workers until the context ends, every refreshInterval and when a
// worker connects or disconnects. It returns nil.
func (f *Frontend) Run(ctx context.Context) error {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		f.refreshViews(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-f.refresh:
		}
	}
}

// Drain refuses new requests as "not run" and waits until those in progress are finished. It returns an
// error if the context ends first.
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

// signalIdle closes idle if the frontend is draining and no request is in progress. The mutex is held.
func (f *Frontend) signalIdle() {
	if !f.draining || len(f.active) > 0 {
		return
	}
	select {
	case <-f.idle:
	default:
		close(f.idle)
	}
}

// refreshViews applies the hub's current views and the configuration, and dispatches queued requests.
func (f *Frontend) refreshViews(now time.Time) {
	views := f.config.Hub.Views()
	workers := make([]routing.Worker, len(views))
	for index := range views {
		view := &views[index]
		workers[index] = routing.Worker{
			Name: view.Name, Incarnation: view.Incarnation, Zone: view.Zone, Connected: view.Connected,
			Leaving: view.Leaving, HeartbeatAt: view.LastMessageAt, Targets: view.Targets,
		}
	}
	document := f.config.Document()
	f.mutex.Lock()
	defer f.unlock()
	f.applyConfiguration(now, document)
	f.router.Update(workers, func(zone string) bool { return document != nil && document.ZoneInService(zone) })
	f.finished.expire(now)
	for service, queue := range f.queues {
		f.dispatch(now, service, queue)
		f.publishQueueLength(service, queue)
	}
}

// applyConfiguration applies the document if it is newer than the current one. The mutex is held.
func (f *Frontend) applyConfiguration(now time.Time, document *configuration.Document) {
	if document == nil || document.Revision <= f.revision {
		return
	}
	f.revision = document.Revision
	f.admission.Configure(now, document.Teams)
}

// publishQueueLength sets the length metrics of a queue. The mutex is held.
func (f *Frontend) publishQueueLength(service string, queue *routing.Queue) {
	for _, priority := range []task.Priority{task.PriorityLow, task.PriorityNormal, task.PriorityUrgent} {
		setQueueLength(service, priority, queue.Count(priority))
	}
}

// submission is a parsed request of a caller.
type submission struct {
	control controlHeaders
	caller  string
	request wire.Request
}

// submit starts a request, joins the one in progress with the same id, or returns the stored result of a
// finished one. After a failure no request has been started.
func (f *Frontend) submit(now time.Time, s *submission) (*activeRequest, *failure) {
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
	key := requestKey{team: s.control.team, id: s.control.requestID}
	digest := fingerprint(&s.request)
	if f.config.OnArrival != nil {
		f.config.OnArrival(arrivalOf(s, key, timeoutOf(s, &service)))
	}

	f.mutex.Lock()
	defer f.unlock()
	f.applyConfiguration(now, document)
	if existing, failed, found := f.findRepeated(now, key, digest); found {
		return existing, failed
	}
	if f.draining {
		return nil, &failure{code: CodeUnavailable, message: "the entry is stopping", retryAfter: retryAfterDrain}
	}
	load := f.admissionLoad(now, service.Name)
	if decision := f.admission.Admit(now, key.team, s.caller, s.control.priority, load); !decision.OK() {
		return nil, admissionFailure(decision)
	}
	return f.startRequest(now, s, key, digest, timeoutOf(s, &service)), nil
}

// timeoutOf returns the timeout of a request: the caller's, else the service's, else the default.
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

// findRepeated looks up an earlier request with the same id that is in progress, or has finished with an
// answer or an unknown outcome. One that certainly did not run may be started again. The mutex is held.
func (f *Frontend) findRepeated(now time.Time, key requestKey, digest uint64) (*activeRequest, *failure, bool) {
	reused := invalidRequest(headerRequestID + " was used for another request")
	if existing, ok := f.active[key]; ok {
		if existing.fingerprint != digest {
			return nil, reused, true
		}
		existing.waiters++
		return existing, nil, true
	}
	stored, ok := f.finished.get(now, key)
	if !ok || stored.result.Outcome == wire.OutcomeNotRun {
		return nil, nil, false
	}
	if stored.fingerprint != digest {
		return nil, reused, true
	}
	existing := &activeRequest{key: key, done: make(chan struct{}), result: stored.result, waiters: 1}
	close(existing.done)
	return existing, nil, true
}

// admissionLoad returns the load of a service for admission, including queued requests. The mutex is held.
func (f *Frontend) admissionLoad(now time.Time, service string) admission.Load {
	observed := f.router.Load(now, service)
	load := admission.Load{InProgress: observed.InProgress, Limit: observed.Limit}
	if queue, ok := f.queues[service]; ok {
		load.InProgress += queue.Len()
	}
	return load
}

// startRequest starts a new request. The mutex is held.
func (f *Frontend) startRequest(now time.Time, s *submission, key requestKey, digest uint64, timeout time.Duration) *activeRequest {
	active := &activeRequest{
		key: key, fingerprint: digest, request: s.request, priority: s.control.priority,
		deadline: now.Add(timeout), startedAt: now, waiters: 1, done: make(chan struct{}),
	}
	active.request.ID = key.wireID()
	active.request.Idempotent = s.control.idempotent
	spec := exchange.Spec{Idempotent: s.control.idempotent, Deadline: active.deadline}
	if stored, ok := f.finished.get(now, key); ok {
		spec.PreviousAttempt = stored.result.Attempt
	}
	f.active[key] = active
	f.byID[active.request.ID] = active
	f.router.Budget(active.request.Service).AddRequest()
	var actions []exchange.Action
	active.exchange, actions = exchange.New(spec)
	f.performActions(now, active, actions)
	f.scheduleTick(now, active)
	return active
}

// removeCaller removes a disconnected caller from a request, and cancels the request if it was the last one.
func (f *Frontend) removeCaller(now time.Time, active *activeRequest) {
	f.mutex.Lock()
	defer f.unlock()
	active.waiters--
	if active.waiters == 0 && active.exchange != nil {
		f.stepRequest(now, active, exchange.CallersGone{})
		// No attempt follows, and the memory reserved for the caller's request ends with its connection.
		active.request.Body, active.request.Headers = nil, nil
	}
}
