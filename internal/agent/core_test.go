package agent

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"clementineflow/internal/capacity"
	"clementineflow/internal/configuration"
	"clementineflow/internal/lease"
	"clementineflow/internal/resource"
	"clementineflow/internal/runtime"
	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

var (
	startTime     = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	modelEntries  = []string{"e1", "e2", "e3"}
	modelCapacity = resource.Quantity{MilliCPU: 10, MemoryBytes: 10}
	modelTarget   = capacity.TargetKey{Service: "rail", Address: "127.0.0.1:1"}
)

// machine drives a core with random events against a model of the runtime, the entries and the target.
// Runtime calls take effect at any time, or never, or after their outcome was reported as unknown.
type machine struct {
	t    *rapid.T
	now  time.Time
	core *core

	// The model of the runtime.
	session      task.Session
	attempts     map[capacity.TaskKey]*runtime.Status
	calls        []callRuntime
	lateCalls    []callRuntime
	sessionCalls []action
	oversized    bool

	// The model of the entries. An acknowledgement carries the state of the entry when it received the
	// heartbeat.
	lastLink   linkID
	links      map[linkID]string
	heartbeats map[linkID][]uint64
	sentAt     map[linkID]map[uint64]time.Time
	backedAt   time.Time
	ackedAt    map[string]time.Time
	confirmed  map[uint64]time.Time
	outages    map[string]lease.PermitAck
	revision   uint64
	zoneOut    map[uint64]bool
	epochs     map[uint16]uint64

	// The last event of each attempt that the core has reported as not running.
	endEvents map[capacity.TaskKey]wire.EventType
	// The requests in progress, those that ran, and the last attempts reported as not run.
	forwards    map[string]*forwardRequest
	ranRequests map[string]bool
	notRun      map[string]uint32
}

func newMachine(t *rapid.T) *machine {
	m := &machine{
		t: t, now: startTime, core: newCore(identity{name: "w", region: "r", zone: "z", incarnation: "i"}),
		session: task.Session{BootID: "boot"}, attempts: map[capacity.TaskKey]*runtime.Status{},
		links: map[linkID]string{}, heartbeats: map[linkID][]uint64{}, sentAt: map[linkID]map[uint64]time.Time{},
		ackedAt: map[string]time.Time{}, confirmed: map[uint64]time.Time{}, outages: map[string]lease.PermitAck{},
		zoneOut: map[uint64]bool{}, epochs: map[uint16]uint64{}, endEvents: map[capacity.TaskKey]wire.EventType{},
		forwards: map[string]*forwardRequest{}, ranRequests: map[string]bool{}, notRun: map[string]uint32{},
	}
	for key := range 2 {
		if rapid.Bool().Draw(t, "adopted") {
			size := resource.Quantity{MilliCPU: rapid.Int64Range(0, 12).Draw(t, "size")}
			m.oversized = m.oversized || size.MilliCPU > 5
			name := fmt.Sprint("adopted", key)
			m.attempts[capacity.TaskKey{TaskID: name, Attempt: 1}] = &runtime.Status{
				TaskID: name, Attempt: 1, Phase: runtime.PhaseRunning, Kind: task.KindBatch, Size: size, ThrottlePermille: 1000,
			}
		}
	}
	m.handle(tick{})
	if rapid.IntRange(0, 3).Draw(t, "prepared") > 0 {
		m.makeReadyToStart()
	}
	return m
}

// makeReadyToStart brings the core into a state in which it starts tasks. Random steps reach it too rarely.
func (m *machine) makeReadyToStart() {
	m.finishSessionCall(m.sessionCalls[0], false)
	m.sessionCalls = nil
	for _, entry := range modelEntries {
		m.lastLink++
		m.links[m.lastLink], m.sentAt[m.lastLink] = entry, map[uint64]time.Time{}
		m.handle(linkOpened{link: m.lastLink, address: entry})
		m.handle(messageReceived{link: m.lastLink, message: &wire.Welcome{Name: entry}})
	}
	m.changeConfiguration()
	for range modelEntries {
		m.ackHeartbeat()
	}
	m.handle(targetAnnounced{announcement: Announcement{Service: modelTarget.Service, Address: modelTarget.Address, Slots: 2, Connections: 3}})
}

// handle passes an event to the core and checks its actions.
func (m *machine) handle(input event) {
	for _, next := range m.core.handle(m.now, input) {
		switch next := next.(type) {
		case sendMessage:
			m.recordSentMessage(next)
		case closeLink:
			if _, open := m.links[next.link]; open {
				delete(m.links, next.link)
				m.handle(linkClosed(next))
			}
		case attachRuntime, renewLease, listTasks:
			m.sessionCalls = append(m.sessionCalls, next)
		case callRuntime:
			if next.kind == callStart {
				m.checkStart(next)
			}
			m.calls = append(m.calls, next)
		case forwardRequest:
			m.checkForward(next)
		}
	}
}

// recordSentMessage records a sent message in the model and checks it.
func (m *machine) recordSentMessage(next sendMessage) {
	switch message := next.message.(type) {
	case *wire.Heartbeat:
		m.heartbeats[next.link] = append(m.heartbeats[next.link], message.Sequence)
		m.sentAt[next.link][message.Sequence] = m.now
	case *wire.TaskEvent:
		m.checkEvent(message)
	case *wire.RequestReply:
		m.checkReply(*message)
	case *wire.QueryReply:
		for _, reply := range message.Replies {
			m.checkReply(reply)
		}
	}
}

// leaseValid reports whether the worker lease is valid according to the acknowledgements.
func (m *machine) leaseValid() bool {
	if m.now.Sub(m.backedAt) < lease.Term {
		return true
	}
	votes := 0
	for _, entry := range modelEntries {
		if at, ok := m.ackedAt[entry]; ok && m.now.Sub(at) < lease.Term {
			votes++
		}
	}
	return votes*2 > len(modelEntries) && m.core.document != nil
}

// permitValid reports whether the start permit is valid according to the acknowledgements.
func (m *machine) permitValid() bool {
	held := m.core.revision()
	for revision := range m.confirmed {
		if revision > held {
			return false
		}
	}
	if at, ok := m.confirmed[held]; ok && m.now.Sub(at) <= lease.PermitTerm {
		return true
	}
	for _, entry := range modelEntries {
		ack, ok := m.outages[entry]
		if !ok || ack.StoreReachable || ack.ConfirmationAge < 0 || ack.Revision != held || m.now.Sub(ack.SentAt) > lease.PermitTerm {
			return false
		}
	}
	return true
}

// checkStart fails the test if the start call violates a rule.
func (m *machine) checkStart(call callRuntime) {
	switch {
	case m.core.document == nil || m.zoneOut[m.core.revision()]:
		m.t.Fatalf("start in a zone that is not in service")
	case !m.leaseValid():
		m.t.Fatalf("start without a lease")
	case !m.permitValid():
		m.t.Fatalf("start without a permit")
	}
	for key, last := range m.endEvents {
		if key.TaskID == call.key.TaskID && call.key.Attempt <= key.Attempt {
			m.t.Fatalf("start of %v after event %d of attempt %d", call.key, last, key.Attempt)
		}
	}
	for key, status := range m.attempts {
		if key.TaskID == call.key.TaskID && status.Phase == runtime.PhaseRunning && key != call.key {
			m.t.Fatalf("start of %v while attempt %d runs", call.key, key.Attempt)
		}
	}
}

// checkEvent fails the test if an event reports an attempt as not running while it runs.
func (m *machine) checkEvent(event *wire.TaskEvent) {
	key := capacity.TaskKey{TaskID: event.TaskID, Attempt: event.Attempt}
	if event.Type == wire.EventStarted {
		return
	}
	if status, ok := m.attempts[key]; ok && status.Phase == runtime.PhaseRunning {
		m.t.Fatalf("event %d reports that %v does not run, but it runs", event.Type, key)
	}
	m.endEvents[key] = event.Type
}

// checkForward fails the test if a request is forwarded again or above the slots of the target.
func (m *machine) checkForward(next forwardRequest) {
	id := next.request.ID
	if m.ranRequests[id] || m.forwards[id] != nil || next.request.Attempt <= m.notRun[id] {
		m.t.Fatalf("request %s attempt %d runs again", id, next.request.Attempt)
	}
	if len(m.forwards) >= 2 {
		m.t.Fatalf("more requests than slots")
	}
	m.forwards[id] = &next
}

// checkReply fails the test if a request that was forwarded is reported as not run.
func (m *machine) checkReply(reply wire.RequestReply) {
	if reply.Outcome != wire.OutcomeNotRun {
		return
	}
	if m.ranRequests[reply.ID] || m.forwards[reply.ID] != nil {
		m.t.Fatalf("request %s is reported as not run", reply.ID)
	}
	m.notRun[reply.ID] = max(m.notRun[reply.ID], reply.Attempt)
}

// applyCall makes a runtime call take effect and returns its result.
func (m *machine) applyCall(call callRuntime) error {
	if call.session != m.session {
		return runtime.ErrStaleSession
	}
	status, ok := m.attempts[call.key]
	switch {
	case call.kind == callStart:
		return m.applyStart(call)
	case !ok:
		return runtime.ErrNotFound
	case call.kind == callForget:
		delete(m.attempts, call.key)
	case status.Phase != runtime.PhaseRunning:
		return runtime.ErrNotFound
	case call.kind == callEvict:
		status.Phase, status.Checkpoint = runtime.PhaseStopped, "checkpoint"
	case call.kind == callStop:
		status.Phase = runtime.PhaseStopped
	}
	return nil
}

// applyStart starts an attempt in the model and checks the running attempts against the capacity.
func (m *machine) applyStart(call callRuntime) error {
	used := call.start.Size
	for key, status := range m.attempts {
		if status.Phase != runtime.PhaseRunning {
			continue
		}
		if key.TaskID == call.key.TaskID {
			m.t.Fatalf("attempts %d and %d of %s run at once", key.Attempt, call.key.Attempt, key.TaskID)
		}
		used = used.Add(status.Size)
	}
	if _, known := m.endEvents[call.key]; known {
		m.t.Fatalf("%v starts after it was reported as not running", call.key)
	}
	if !used.FitsIn(modelCapacity) {
		m.t.Fatalf("worker runs %+v with a capacity of %+v", used, modelCapacity)
	}
	m.attempts[call.key] = &runtime.Status{
		TaskID: call.key.TaskID, Attempt: call.key.Attempt, Phase: runtime.PhaseRunning,
		Kind: call.start.Kind, Size: call.start.Size, ThrottlePermille: 1000,
	}
	return nil
}

// statuses returns the task list of the runtime model.
func (m *machine) statuses() []runtime.Status {
	var list []runtime.Status
	for _, key := range sortedTasks(m.attempts) {
		list = append(list, *m.attempts[key])
	}
	return list
}

// anyLink returns a random open link.
func (m *machine) anyLink() (linkID, bool) {
	ids := sortedLinks(m.core.links)
	if len(ids) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(ids).Draw(m.t, "link"), true
}

// randomOrder returns an order of a shard owner with random, partly stale values.
func (m *machine) randomOrder() wire.Order {
	shard := uint16(rapid.IntRange(0, 1).Draw(m.t, "shard"))
	m.epochs[shard] += uint64(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(m.t, "newer"))
	session := m.session
	if rapid.IntRange(0, 4).Draw(m.t, "stale") == 0 && session.Number > 1 {
		session.Number--
	}
	id := rapid.SampledFrom([]string{"a", "b", "c", "d", "adopted0"}).Draw(m.t, "task")
	// Owners increment the attempt with each assignment; other values simulate delayed messages.
	attempt := m.core.tombstones[id] + uint32(rapid.SampledFrom([]int{1, 1, 1, 1, 0, 2}).Draw(m.t, "attempt"))
	return wire.Order{
		TaskID:  id,
		Attempt: attempt,
		Shard:   shard,
		Epoch:   m.epochs[shard] - min(m.epochs[shard], uint64(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(m.t, "older"))),
		Session: session,
	}
}

// fromEntry passes a message on a random open link, if there is one.
func (m *machine) fromEntry(message wire.Message) {
	if id, ok := m.anyLink(); ok {
		m.handle(messageReceived{link: id, message: message})
	}
}

// actions returns the random steps by name.
func (m *machine) actions() map[string]func(*rapid.T) {
	draw := func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(m.t, label) }
	return map[string]func(*rapid.T){
		"tick": func(_ *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{200, 200, 200, 200, 500, 500, 1000, 1000, 2500, 7000}).Draw(m.t, "ms")) * time.Millisecond)
			leased := m.core.leaseWasValid
			m.handle(tick{})
			m.checkTasksAfterLease(leased)
		},
		"open": func(_ *rapid.T) {
			if len(m.links) >= 4 {
				return
			}
			m.lastLink++
			entry := rapid.SampledFrom(modelEntries).Draw(m.t, "entry")
			m.links[m.lastLink], m.sentAt[m.lastLink] = entry, map[uint64]time.Time{}
			m.handle(linkOpened{link: m.lastLink, address: entry})
			m.handle(messageReceived{link: m.lastLink, message: &wire.Welcome{Name: entry}})
		},
		"close": func(_ *rapid.T) {
			if id, ok := m.anyLink(); ok {
				delete(m.links, id)
				m.handle(linkClosed{link: id})
			}
		},
		"ack":      func(_ *rapid.T) { m.ackHeartbeat() },
		"ack more": func(_ *rapid.T) { m.ackHeartbeat() },
		"configure": func(_ *rapid.T) {
			if draw(4, "configure") == 0 {
				m.changeConfiguration()
			}
		},
		"attach, renew, list": func(_ *rapid.T) {
			if len(m.sessionCalls) > 0 {
				next := m.sessionCalls[0]
				m.sessionCalls = m.sessionCalls[1:]
				m.finishSessionCall(next, draw(8, "failure") == 0)
			}
		},
		"call": func(_ *rapid.T) {
			if len(m.calls) == 0 {
				return
			}
			i := draw(len(m.calls), "call")
			call := m.calls[i]
			m.calls = append(m.calls[:i:i], m.calls[i+1:]...)
			m.finishCall(call, draw(6, "failure"))
		},
		"late call": func(_ *rapid.T) {
			if len(m.lateCalls) > 0 {
				call := m.lateCalls[0]
				m.lateCalls = m.lateCalls[1:]
				_ = m.applyCall(call)
			}
		},
		"task ends": func(_ *rapid.T) {
			for _, key := range sortedTasks(m.attempts) {
				if status := m.attempts[key]; status.Phase == runtime.PhaseRunning && draw(3, "ends") == 0 {
					status.Phase = rapid.SampledFrom([]runtime.Phase{runtime.PhaseFinished, runtime.PhaseFailed, runtime.PhaseStopped}).Draw(m.t, "phase")
				}
			}
		},
		"start": func(_ *rapid.T) {
			m.fromEntry(&wire.StartTask{Order: m.randomOrder(), TaskKind: task.KindBatch, Size: resource.Quantity{
				MilliCPU: int64(draw(6, "cpu")), MemoryBytes: int64(draw(6, "memory")),
			}})
		},
		"start again": func(_ *rapid.T) {
			m.fromEntry(&wire.StartTask{Order: m.randomOrder(), TaskKind: task.KindWatch, Size: resource.Quantity{MilliCPU: 2}})
		},
		"evict": func(_ *rapid.T) { m.fromEntry(&wire.EvictTask{Order: m.randomOrder()}) },
		"stop":  func(_ *rapid.T) { m.fromEntry(&wire.StopTask{Order: m.randomOrder()}) },
		"ack event": func(_ *rapid.T) {
			if events := m.core.unackedEvents(); len(events) > 0 {
				event := events[draw(len(events), "event")].event
				m.fromEntry(&wire.AckTaskEvent{TaskID: event.TaskID, Attempt: event.Attempt, Type: event.Type})
			}
		},
		"announce": func(_ *rapid.T) {
			m.handle(targetAnnounced{announcement: Announcement{
				Service: modelTarget.Service, Address: modelTarget.Address, Slots: 2, Connections: 3, Leaving: draw(8, "leaving") == 0,
			}})
		},
		"request": func(_ *rapid.T) {
			m.fromEntry(&wire.Request{
				ID: m.requestID(), Attempt: rapid.Uint32Range(1, 4).Draw(m.t, "attempt"),
				Service: modelTarget.Service, Method: "POST", Path: "/", RemainingMillis: 600_000,
			})
		},
		"query": func(_ *rapid.T) {
			m.fromEntry(&wire.Query{Incarnation: "i", Keys: []wire.RequestKey{{
				ID: m.requestID(), Attempt: rapid.Uint32Range(1, 4).Draw(m.t, "attempt"), RemainingMillis: 600_000,
			}}})
		},
		"request ends": func(_ *rapid.T) { m.endRequest() },
		"stop agent": func(_ *rapid.T) {
			if draw(200, "stop agent") == 0 {
				m.handle(stopRequested{})
			}
		},
	}
}

func (m *machine) requestID() string {
	return rapid.SampledFrom([]string{"r1", "r2", "r3", "r4"}).Draw(m.t, "request")
}

// endRequest ends the first request in progress with a random outcome.
func (m *machine) endRequest() {
	for _, id := range requestsInProgress(m.forwards) {
		next := m.forwards[id]
		outcome := rapid.SampledFrom([]wire.Outcome{wire.OutcomeAnswered, wire.OutcomeUnknown, wire.OutcomeNotRun}).Draw(m.t, "outcome")
		delete(m.forwards, id)
		m.ranRequests[id] = outcome != wire.OutcomeNotRun
		m.handle(forwardResult{reply: wire.RequestReply{ID: id, Attempt: next.request.Attempt, Outcome: outcome}, elapsed: time.Millisecond})
		return
	}
}

func requestsInProgress(forwards map[string]*forwardRequest) []string {
	var ids []string
	for _, id := range []string{"r1", "r2", "r3", "r4"} {
		if forwards[id] != nil {
			ids = append(ids, id)
		}
	}
	return ids
}

// ackHeartbeat acknowledges the oldest outstanding heartbeat of a random link with random values.
func (m *machine) ackHeartbeat() {
	id, ok := m.anyLink()
	if !ok || len(m.heartbeats[id]) == 0 {
		return
	}
	sequence := m.heartbeats[id][0]
	m.heartbeats[id] = m.heartbeats[id][1:]
	entry, sentAt := m.links[id], m.sentAt[id][sequence]
	ack := &wire.HeartbeatAck{
		Sequence:              sequence,
		Backed:                rapid.Bool().Draw(m.t, "backed"),
		StoreReachable:        rapid.Bool().Draw(m.t, "reachable"),
		ConfirmationAgeMillis: rapid.SampledFrom([]int64{-1, 0, 100, 100, 100, 2900, 9000}).Draw(m.t, "age"),
		Revision:              m.revision - min(m.revision, uint64(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(m.t, "behind"))),
	}
	if ack.Backed && sentAt.After(m.backedAt) {
		m.backedAt = sentAt
	}
	if sentAt.After(m.ackedAt[entry]) {
		m.ackedAt[entry] = sentAt
	}
	at := time.Time{}
	if ack.ConfirmationAgeMillis >= 0 {
		at = sentAt.Add(-time.Duration(ack.ConfirmationAgeMillis) * time.Millisecond)
	}
	if at.After(m.confirmed[ack.Revision]) || m.confirmed[ack.Revision].IsZero() {
		m.confirmed[ack.Revision] = at
	}
	if last, known := m.outages[entry]; !known || sentAt.After(last.SentAt) {
		m.outages[entry] = lease.PermitAck{
			SentAt: sentAt, Revision: ack.Revision, StoreReachable: ack.StoreReachable,
			ConfirmationAge: time.Duration(ack.ConfirmationAgeMillis) * time.Millisecond,
		}
	}
	m.handle(messageReceived{link: id, message: ack})
}

// changeConfiguration creates a new revision and sends it to the agent unless the message is lost.
func (m *machine) changeConfiguration() {
	m.revision++
	m.zoneOut[m.revision] = rapid.IntRange(0, 3).Draw(m.t, "out of service") == 0
	document := &configuration.Document{
		Revision: m.revision, Region: "r", Entries: modelEntries,
		Zones: []configuration.Zone{{Name: "z", OutOfService: m.zoneOut[m.revision]}},
	}
	encoded, err := wire.Marshal(document)
	if err != nil {
		m.t.Fatal(err)
	}
	if rapid.IntRange(0, 5).Draw(m.t, "lost") > 0 {
		m.fromEntry(&wire.Configuration{Revision: m.revision, Document: encoded})
	}
}

// finishSessionCall executes an attach, renew or list call and passes the result.
func (m *machine) finishSessionCall(next action, fail bool) {
	switch next := next.(type) {
	case attachRuntime:
		m.session.Number++
		if fail {
			m.handle(attachResult{err: runtime.ErrOutcomeUnknown})
			return
		}
		m.handle(attachResult{attachment: runtime.Attachment{Session: m.session, Capacity: modelCapacity, Tasks: m.statuses()}})
	case renewLease:
		if next.until.Before(m.now) && m.leaseValid() {
			m.t.Logf("a renewal was queued for longer than the lease")
		}
		m.handle(renewResult{beganAt: m.now, session: next.session, err: m.sessionError(next.session)})
	case listTasks:
		m.handle(listResult{beganAt: m.now, session: next.session, tasks: m.statuses(), err: m.sessionError(next.session)})
	}
}

func (m *machine) sessionError(session task.Session) error {
	if session != m.session {
		return runtime.ErrStaleSession
	}
	return nil
}

// finishCall finishes a call with success, a failure without effect, or an unknown outcome: the call has
// taken effect, never does, or does later.
func (m *machine) finishCall(call callRuntime, failure int) {
	result := callResult{callID: call.callID, kind: call.kind, key: call.key, checkpoint: "checkpoint"}
	switch failure {
	case 0:
		result.err = runtime.ErrUnavailable
	case 1:
		result.err = runtime.ErrOutcomeUnknown
	case 2:
		_ = m.applyCall(call)
		result.err = runtime.ErrOutcomeUnknown
	case 3:
		m.lateCalls = append(m.lateCalls, call)
		result.err = runtime.ErrOutcomeUnknown
	default:
		result.err = m.applyCall(call)
	}
	m.handle(result)
}

// checkTasksAfterLease fails the test if a task is not being ended after a tick at which the worker lease
// has ended.
func (m *machine) checkTasksAfterLease(leased bool) {
	if m.leaseValid() {
		return
	}
	if m.core.leaseWasValid {
		m.t.Fatalf("the core treats an ended lease as valid")
	}
	for key, a := range m.core.attempts {
		if leased && a.state == attemptRunning {
			m.t.Fatalf("%v is left running at the end of the lease", key)
		}
	}
}

// TestCoreStateMachine guards against work above capacity, two running attempts of a task, starts without
// lease or permit, starts of an ended attempt or with a stale session or epoch, events that report a
// running attempt as ended, and requests that run twice or after they were reported as not run.
func TestCoreStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(m.actions())
	})
}

// TestMain raises the default checks and steps so that most runs reach starts and evictions.
func TestMain(m *testing.M) {
	flag.Parse()
	if !flagGiven("rapid.checks") {
		_ = flag.Set("rapid.checks", "500")
		_ = flag.Set("rapid.steps", "120")
	}
	// These background goroutines of fasthttp keep running for up to its idle time after a server or
	// client was closed.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*TCPDialer).tcpAddrsClean"),
	)
}

// flagGiven reports whether a flag is set on the command line.
func flagGiven(name string) bool {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	return given
}
