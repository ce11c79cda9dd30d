// Package ledger records the requests that an agent received, so that the agent runs each at most once
// and can tell whether a request ran. It reads no clock: the caller passes in every time. Its types are
// not safe for concurrent use.
package ledger

import (
	"container/list"
	"time"

	"clementineflow/internal/wire"
)

// Limits of the ledger.
const (
	// AnswerRetention is how long the answer of a finished request is kept.
	AnswerRetention = 30 * time.Second
	// DeadlineMargin is how long a request is recorded beyond its deadline. It exceeds link.IdleTimeout
	// (3 s), within which a delayed copy of the request can still arrive.
	DeadlineMargin = 5 * time.Second
	// CancelRetention is how long a request that was cancelled before it arrived is refused.
	CancelRetention = 30 * time.Second
	// MaxAnswerBytes bounds the total size of the kept answers.
	MaxAnswerBytes = 16 << 20
	// MaxEntries bounds the number of recorded requests; at about 200 B each they take 20 MB. A request is
	// recorded until DeadlineMargin after its deadline, so the bound limits a worker to about 10,500
	// requests a second at a deadline of 2 s.
	MaxEntries = 96 << 10
	// refusalReserve is the part of MaxEntries that only refusals may use, so that a ledger that is too
	// full to accept requests can still answer "not run".
	refusalReserve = MaxEntries / 4
	// answerOverheadBytes is the memory that an answer takes in addition to its ID, body and headers.
	answerOverheadBytes = 128
)

// Decision is the action that an arriving request requires.
type Decision uint8

// Decisions about a request.
const (
	// Accept: the request may be run, because it is not recorded or only lower attempts were refused.
	Accept Decision = iota + 1
	// Attach: the request is already running; its answer must also be sent to this sender.
	Attach
	// Reply: the outcome is known and must be returned.
	Reply
)

// state is the state of a recorded request.
type state uint8

const (
	stateRunning state = iota + 1
	stateFinished
	stateAnswerDropped
	stateRefused
)

// entry is one recorded request.
type entry struct {
	id      string
	attempt uint32
	state   state
	reason  wire.NotRunReason
	// expiresAt is the time after which no copy of the request can arrive.
	expiresAt time.Time
	// heapIndex is the position in the expiry heap, or -1 if the entry is not in it.
	heapIndex     int
	answer        *wire.RequestReply
	answerSize    int
	finishedAt    time.Time
	answerElement *list.Element
}

// Ledger records requests and their outcomes. An entry is removed when no copy of its request can arrive
// any more, but not while the request is running or its answer is kept.
type Ledger struct {
	entries     map[string]*entry
	expiries    expiryHeap
	answers     *list.List
	answerBytes int
	running     int
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{entries: map[string]*entry{}, answers: list.New()}
}

// Running returns the number of requests that are running.
func (l *Ledger) Running() int { return l.running }

// Len returns the number of recorded requests.
func (l *Ledger) Len() int { return len(l.entries) }

// AnswerBytes returns the total size of the kept answers in bytes.
func (l *Ledger) AnswerBytes() int { return l.answerBytes }

// Lookup returns what to do with an arriving request, without recording it. After Accept the caller may
// call Begin or Refuse. The reply is set only for Reply.
func (l *Ledger) Lookup(now time.Time, id string, attempt uint32) (Decision, wire.RequestReply) {
	l.expire(now)
	e, ok := l.entries[id]
	if !ok || e.state == stateRefused && attempt > e.attempt {
		return Accept, wire.RequestReply{}
	}
	if e.state == stateRunning {
		return Attach, wire.RequestReply{}
	}
	return Reply, e.reply(attempt)
}

// Begin records a request as running. It returns false, and records nothing, if the ledger is full and
// no entry may be removed yet. It must follow a Lookup that returned Accept.
func (l *Ledger) Begin(now time.Time, id string, attempt uint32, deadline time.Time) bool {
	e, ok := l.entries[id]
	if !ok && !l.makeRoom(now, MaxEntries-refusalReserve) {
		return false
	}
	if !ok {
		e = l.addEntry(id)
	}
	l.cancelExpiry(e)
	e.attempt, e.state, e.reason = attempt, stateRunning, wire.NotRunNone
	e.expiresAt = laterOf(e.expiresAt, deadline.Add(DeadlineMargin))
	l.running++
	return true
}

// Finish records the outcome of a running request. A request that did not run is accepted again with a
// higher attempt; any other outcome is final and is returned to every later copy.
func (l *Ledger) Finish(now time.Time, reply wire.RequestReply) {
	e, ok := l.entries[reply.ID]
	if !ok || e.state != stateRunning {
		return
	}
	l.running--
	l.scheduleExpiry(e)
	if reply.Outcome == wire.OutcomeNotRun {
		e.state, e.reason = stateRefused, reply.Reason
		e.attempt = max(e.attempt, reply.Attempt)
		return
	}
	e.state, e.finishedAt = stateFinished, now
	l.keepAnswer(e, reply)
	l.expire(now)
}

// Refuse records that the attempt was not run and never will be. It returns false if the ledger is full,
// or if the request is running or has an outcome other than a refusal.
func (l *Ledger) Refuse(now time.Time, id string, attempt uint32, reason wire.NotRunReason, deadline time.Time) bool {
	e, ok := l.entries[id]
	if !ok && !l.makeRoom(now, MaxEntries) {
		return false
	}
	if !ok {
		e = l.addEntry(id)
		e.state = stateRefused
	}
	if e.state != stateRefused {
		return false
	}
	e.attempt, e.reason = max(e.attempt, attempt), reason
	e.expiresAt = laterOf(e.expiresAt, deadline.Add(DeadlineMargin))
	l.scheduleExpiry(e)
	return true
}

// Query returns the outcome of a request that was sent over an earlier link. A request that is not
// recorded is refused from then on. If the refusal cannot be recorded, or if the deadline has passed and
// the entry may have been removed, the outcome is unknown.
func (l *Ledger) Query(now time.Time, key wire.RequestKey) wire.RequestReply {
	decision, reply := l.Lookup(now, key.ID, key.Attempt)
	switch decision {
	case Reply:
		return reply
	case Attach:
		return wire.RequestReply{ID: key.ID, Attempt: key.Attempt, Outcome: wire.OutcomeRunning}
	}
	unknown := wire.RequestReply{ID: key.ID, Attempt: key.Attempt, Outcome: wire.OutcomeUnknown}
	if key.RemainingMillis <= 0 {
		return unknown
	}
	deadline := now.Add(time.Duration(key.RemainingMillis) * time.Millisecond)
	if !l.Refuse(now, key.ID, key.Attempt, wire.NotRunNotReceived, deadline) {
		return unknown
	}
	return l.entries[key.ID].reply(key.Attempt)
}

// reply returns the outcome of an entry that is not running.
func (e *entry) reply(attempt uint32) wire.RequestReply {
	switch e.state {
	case stateFinished:
		answer := *e.answer
		answer.Attempt = attempt
		return answer
	case stateRefused:
		return wire.RequestReply{ID: e.id, Attempt: attempt, Outcome: wire.OutcomeNotRun, Reason: e.reason}
	default:
		return wire.RequestReply{ID: e.id, Attempt: attempt, Outcome: wire.OutcomeUnknown}
	}
}

// addEntry adds an empty entry that is not in the expiry heap.
func (l *Ledger) addEntry(id string) *entry {
	e := &entry{id: id, heapIndex: -1}
	l.entries[id] = e
	return e
}
