package agent

import (
	"clementineflow/internal/capacity"
	"clementineflow/internal/lease"
	"clementineflow/internal/runtime"
	"clementineflow/internal/wire"
)

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
