package agent

import (
	"time"

	"pgregory.net/rapid"

	"clementineflow/internal/runtime"
	"clementineflow/internal/wire"
)

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
