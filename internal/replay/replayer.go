package replay

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"clementineflow/internal/admission"
	"clementineflow/internal/configuration"
	"clementineflow/internal/interference"
	"clementineflow/internal/routing"
	"clementineflow/internal/scheduler"
	"clementineflow/internal/task"
)

// Times of the daemon that a replay takes over.
const (
	// planInterval and planPause are the longest and the least time between two plans.
	planInterval = time.Second
	planPause    = 100 * time.Millisecond
	// startDelay is one group commit of 100 ms and the runtime's start call.
	startDelay = 300 * time.Millisecond
	// stopDelay is one group commit and the runtime's stop call.
	stopDelay = 300 * time.Millisecond
	// evictDelay is one group commit and a checkpoint of a second.
	evictDelay = 1100 * time.Millisecond
	// failDelay is the time after which a faulty worker fails a task.
	failDelay = 500 * time.Millisecond
	// linkDelay is the one-way delay between an entry and an agent.
	linkDelay = time.Millisecond
	// usageInterval is the time between usage reports of a worker.
	usageInterval = 5 * time.Second
	// controlWindow is the longest time over which the throttle policy gathers requests.
	controlWindow = 5 * time.Second
	// usageLag is how late usage reports arrive.
	usageLag = time.Second
	// leaseTerm is the time after which a worker without a link stops its tasks.
	leaseTerm = 6 * time.Second
	// lostAfter is lease term, margin and one check interval: then tasks of a worker may move.
	lostAfter = 8 * time.Second
	// retryInterval is the time between attempts to commit while the store is down.
	retryInterval = 500 * time.Millisecond
	// refreshInterval is the time between looks at waiting requests.
	refreshInterval = 50 * time.Millisecond
	// provenRunTime is the run time after which a task counts as a success of its worker.
	provenRunTime = time.Minute
)

// replayer is the state of one replay.
type replayer struct {
	*clock
	document *configuration.Document
	storeUp  bool
	random   *rand.Rand
	model    *interference.Model
	sizes    *scheduler.SizeEstimator
	health   *scheduler.HealthTracker
	progress map[string]progressReport

	records map[string]*task.Record
	runs    map[string]*Run
	workers map[string]*worker
	// held are reports that wait for the store.
	held        []report
	planPending bool
	plannedAt   time.Time
	// waiting holds the last logged reason of each task that waits.
	waiting map[string]string

	router         *routing.Router
	admission      *admission.Controller
	queues         map[string]*routing.Queue
	flights        map[string]*flight
	refreshPending bool

	history *history
	log     bytes.Buffer
}

// Replay replays a trace and checks its outcomes.
func Replay(trace *Trace) *Result {
	r := newReplayer(trace)
	r.every(planInterval, r.second)
	events := 0
	for index := range trace.Events {
		line := &trace.Events[index]
		events += r.runUntil(epoch.Add(time.Duration(line.At))) + 1
		r.event(line)
	}
	events += r.runUntil(endOf(trace))
	result := &Result{Events: events, Decisions: r.log.Bytes()}
	for index := range trace.Expectations {
		result.add(r.check(&trace.Expectations[index]))
	}
	return result
}

func (r *Result) add(outcome Outcome) {
	if outcome.Passed {
		r.Passed++
	} else {
		r.Failed++
	}
	r.Outcomes = append(r.Outcomes, outcome)
}

func newReplayer(trace *Trace) *replayer {
	header := &trace.Header
	r := &replayer{
		clock: newClock(), storeUp: true, random: rand.New(rand.NewPCG(header.Seed, 0)),
		model: interference.New(), sizes: scheduler.NewSizeEstimator(), health: scheduler.NewHealthTracker(),
		progress: map[string]progressReport{}, waiting: map[string]string{}, records: map[string]*task.Record{}, runs: map[string]*Run{},
		workers: map[string]*worker{}, router: routing.New(header.Zone, header.Seed),
		admission: admission.New(), queues: map[string]*routing.Queue{}, flights: map[string]*flight{},
		history: newHistory(),
	}
	if header.Configuration != nil {
		r.configure(header.Configuration)
	}
	return r
}

// endOf returns the latest time of an event or outcome.
func endOf(trace *Trace) time.Time {
	last := Duration(0)
	for index := range trace.Events {
		last = max(last, trace.Events[index].At)
		if stream := trace.Events[index].Requests; stream != nil {
			last = max(last, trace.Events[index].At+Duration(stream.Count)*stream.Every+stream.Timeout)
		}
	}
	for index := range trace.Expectations {
		last = max(last, trace.Expectations[index].Expect.lastTime())
	}
	return epoch.Add(time.Duration(last))
}

// every runs an action at each interval until the end.
func (r *replayer) every(interval time.Duration, do func()) {
	r.after(interval, func() {
		do()
		r.every(interval, do)
	})
}

// second does what the daemon does each second.
func (r *replayer) second() {
	r.keepServices()
	r.proveWorkers()
	r.wakePlan()
}

// event applies one event of the trace.
func (r *replayer) event(line *Line) {
	switch {
	case line.WorkerJoined != nil:
		r.join(line.WorkerJoined)
	case line.Heartbeat != nil:
		r.heartbeat(line.Heartbeat)
	case line.Usage != nil:
		r.usage(line.Usage)
	case line.WorkerLeft != nil:
		r.leave(line.WorkerLeft.Name)
	case line.WorkerFailed != nil:
		r.fail(line.WorkerFailed.Name)
	case line.WorkerFaulty != nil:
		r.setFaulty(line.WorkerFaulty)
	case line.LinkLost != nil:
		r.loseLink(line.LinkLost.Name)
	case line.LinkRestored != nil:
		r.restoreLink(line.LinkRestored.Name)
	case line.Zone != nil:
		r.changeZone(line.Zone)
	case line.Configuration != nil:
		r.changeConfiguration(line.Configuration)
	case line.Submit != nil:
		r.submit(line.Submit)
	case line.Cancel != nil:
		r.cancel(line.Cancel.Task)
	case line.Report != nil:
		r.explicitReport(line.Report)
	case line.Request != nil:
		r.arrive(line.Request)
	case line.Requests != nil:
		r.arriveNext(line.Requests, 0)
	case line.Reply != nil:
		r.explicitReply(line.Reply)
	case line.Store != nil:
		r.setStore(line.Store.Up)
	}
}

// decide writes one line of the decision log.
func (r *replayer) decide(format string, arguments ...any) {
	fmt.Fprintf(&r.log, "%s ", r.now.Sub(epoch))
	fmt.Fprintf(&r.log, format, arguments...)
	r.log.WriteByte('\n')
}

// sorted returns the values of a map in the order of their keys.
func sorted[V any](values map[string]V) []V {
	ordered := make([]V, 0, len(values))
	for _, key := range slices.Sorted(maps.Keys(values)) {
		ordered = append(ordered, values[key])
	}
	return ordered
}

// setStore sets whether the store can be reached. Held reports are repeated when it returns.
func (r *replayer) setStore(up bool) {
	r.decide("store up=%t", up)
	r.storeUp = up
	if !up {
		return
	}
	held := r.held
	r.held = nil
	for _, each := range held {
		r.deliver(each)
	}
	r.keepServices()
	r.wakePlan()
}

// changeZone takes a zone out of service or returns it, as an operator's accepted change does.
func (r *replayer) changeZone(change *ZoneChange) {
	if r.document == nil {
		return
	}
	if !r.storeUp {
		r.decide("zone %s refused: unavailable", change.Name)
		return
	}
	changed := *r.document
	changed.Zones = slices.Clone(r.document.Zones)
	changed.Revision++
	index := slices.IndexFunc(changed.Zones, func(zone configuration.Zone) bool { return zone.Name == change.Name })
	if index < 0 {
		r.decide("zone %s refused: not in the configuration", change.Name)
		return
	}
	changed.Zones[index].OutOfService = !change.InService
	r.changeConfiguration(&changed)
}

// changeConfiguration takes over a document that the entry learned, also from a peer during a store
// outage, unless a higher revision is known.
func (r *replayer) changeConfiguration(document *configuration.Document) {
	if r.document != nil && document.Revision < r.document.Revision {
		r.decide("configuration revision=%d ignored: known is %d", document.Revision, r.document.Revision)
		return
	}
	r.configure(document)
}

func (r *replayer) configure(document *configuration.Document) {
	r.document = document
	var out []string
	for _, zone := range document.Zones {
		if zone.OutOfService {
			out = append(out, zone.Name)
		}
	}
	r.decide("configuration revision=%d zones_out=%v", document.Revision, out)
	r.admission.Configure(r.now, document.Teams)
	r.refresh()
	r.keepServices()
	r.wakePlan()
}

// byID orders records.
func byID(a, b *task.Record) int { return cmp.Compare(a.ID, b.ID) }
