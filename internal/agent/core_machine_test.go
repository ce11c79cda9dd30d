package agent

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"clementineflow/internal/capacity"
	"clementineflow/internal/lease"
	"clementineflow/internal/resource"
	"clementineflow/internal/runtime"
	"clementineflow/internal/task"
	"clementineflow/internal/wire"
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

func (m *machine) sessionError(session task.Session) error {
	if session != m.session {
		return runtime.ErrStaleSession
	}
	return nil
}
