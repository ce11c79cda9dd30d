// Package ledger holds the agent's memory of requests, from which it states whether a request ran. It
// is pure: times are passed in. It is not safe for concurrent use.
package ledger

import (
	"container/heap"
	"container/list"
	"time"

	"clementineflow/internal/wire"
)

// Limits of the ledger.
const (
	// AnswerTerm is how long a finished answer is kept.
	AnswerTerm = 30 * time.Second
	// Margin is how long beyond its deadline a request is remembered. It exceeds the silence bound of a
	// link (3 s), within which a delayed copy of the request can still arrive.
	Margin = 5 * time.Second
	// CancelTerm is how long a request that was cancelled before it arrived is refused.
	CancelTerm = 30 * time.Second
	// MaxAnswerBytes bounds the kept answers.
	MaxAnswerBytes = 16 << 20
	// MaxEntries bounds the remembered requests; at about 200 B each they take 20 MB. A request is
	// remembered for its deadline and Margin, so that the bound limits a worker to about 10,500 requests
	// a second at a deadline of 2 s.
	MaxEntries = 96 << 10
	// refusalReserve is the part of MaxEntries that only refusals may use, so that a full ledger can
	// still state "not run".
	refusalReserve = MaxEntries / 4
	// answerOverheadBytes is what an answer takes besides its body and headers.
	answerOverheadBytes = 128
)

// Decision says what to do with a request.
type Decision uint8

// Decisions about a request.
const (
	// Accept: the request is new and is recorded as running; it must now be run once.
	Accept Decision = iota + 1
	// Attach: the request is running; its answer also goes to this sender.
	Attach
	// Reply: the outcome is known and must be returned.
	Reply
)

// state is the state of a remembered request.
type state uint8

const (
	stateRunning state = iota + 1
	stateFinished
	stateDropped
	stateRefused
)

// entry is one remembered request.
type entry struct {
	id      string
	attempt uint32
	state   state
	reason  wire.NotRunReason
	// fence is when no copy of the request can arrive any more.
	fence time.Time
	// heapIndex is the place in the fence heap, or -1 if the entry is not in it.
	heapIndex  int
	answer     *wire.RequestReply
	answerSize int
	finishedAt time.Time
	element    *list.Element
}

// Ledger remembers requests.
type Ledger struct {
	entries     map[string]*entry
	fences      fenceHeap
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

// Len returns the number of remembered requests.
func (l *Ledger) Len() int { return len(l.entries) }

// AnswerBytes returns the size of the kept answers.
func (l *Ledger) AnswerBytes() int { return l.answerBytes }

// Lookup says what is known about an arriving request without recording it. Decision Accept means that
// Begin or Refuse may follow. The reply is set only for Reply.
func (l *Ledger) Lookup(now time.Time, id string, attempt uint32) (Decision, wire.RequestReply) {
	l.expire(now)
	known, ok := l.entries[id]
	if !ok || known.state == stateRefused && attempt > known.attempt {
		return Accept, wire.RequestReply{}
	}
	if known.state == stateRunning {
		return Attach, wire.RequestReply{}
	}
	return Reply, known.reply(attempt)
}

// Begin records a request as running. It returns false, and records nothing, if the ledger is full of
// requests that must not be forgotten. It must follow a Lookup that returned Accept.
func (l *Ledger) Begin(now time.Time, id string, attempt uint32, deadline time.Time) bool {
	known, ok := l.entries[id]
	if !ok && !l.makeRoom(now, MaxEntries-refusalReserve) {
		return false
	}
	if !ok {
		known = l.add(id)
	}
	l.unfence(known)
	known.attempt, known.state, known.reason = attempt, stateRunning, wire.NotRunNone
	known.fence = laterOf(known.fence, deadline.Add(Margin))
	l.running++
	return true
}

// Finish records the outcome of a running request. A request that did not run may come back with a
// higher attempt; any other outcome is final and returned to every later copy.
func (l *Ledger) Finish(now time.Time, reply wire.RequestReply) {
	known, ok := l.entries[reply.ID]
	if !ok || known.state != stateRunning {
		return
	}
	l.running--
	l.refence(known)
	if reply.Outcome == wire.OutcomeNotRun {
		known.state, known.reason = stateRefused, reply.Reason
		known.attempt = max(known.attempt, reply.Attempt)
		return
	}
	known.state, known.finishedAt = stateFinished, now
	l.keepAnswer(known, reply)
	l.expire(now)
}

// Refuse records that the attempt is not run and never will be, and reports whether there was room for
// the record. It must not be called for a request that is running or finished.
func (l *Ledger) Refuse(now time.Time, id string, attempt uint32, reason wire.NotRunReason, deadline time.Time) bool {
	known, ok := l.entries[id]
	if !ok && !l.makeRoom(now, MaxEntries) {
		return false
	}
	if !ok {
		known = l.add(id)
		known.state = stateRefused
	}
	if known.state != stateRefused {
		return false
	}
	known.attempt, known.reason = max(known.attempt, attempt), reason
	known.fence = laterOf(known.fence, deadline.Add(Margin))
	l.refence(known)
	return true
}

// Query returns the outcome of a request that was sent over an earlier link. A request that was never
// seen is refused from then on. If that cannot be recorded, or if the deadline has passed so that the
// request may have been forgotten, the outcome is unknown.
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
	if !l.Refuse(now, key.ID, key.Attempt, wire.NotRunNeverSeen, deadline) {
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

// add makes an empty entry.
func (l *Ledger) add(id string) *entry {
	e := &entry{id: id, heapIndex: -1}
	l.entries[id] = e
	return e
}

// keepAnswer stores an answer and drops the oldest ones above MaxAnswerBytes.
func (l *Ledger) keepAnswer(e *entry, reply wire.RequestReply) {
	e.answer = &reply
	e.answerSize = answerSize(&reply)
	e.element = l.answers.PushBack(e)
	l.answerBytes += e.answerSize
	for l.answerBytes > MaxAnswerBytes {
		l.dropOldestAnswer()
	}
}

// dropOldestAnswer drops one answer; its request is remembered as unknown until its fence.
func (l *Ledger) dropOldestAnswer() {
	e := l.answers.Front().Value.(*entry)
	l.answers.Remove(e.element)
	l.answerBytes -= e.answerSize
	e.state, e.answer, e.element, e.answerSize = stateDropped, nil, nil, 0
	if e.heapIndex < 0 {
		delete(l.entries, e.id)
	}
}

// expire drops what need not be remembered any more.
func (l *Ledger) expire(now time.Time) {
	for len(l.fences) > 0 && !now.Before(l.fences[0].fence) {
		e := heap.Pop(&l.fences).(*entry)
		if e.state != stateFinished {
			delete(l.entries, e.id)
		}
	}
	for l.answers.Len() > 0 {
		oldest := l.answers.Front().Value.(*entry)
		if now.Sub(oldest.finishedAt) < AnswerTerm {
			return
		}
		l.dropOldestAnswer()
	}
}

// makeRoom reports whether there is room for one more entry below the limit, after it has dropped
// answers whose fences have passed.
func (l *Ledger) makeRoom(now time.Time, limit int) bool {
	l.expire(now)
	for len(l.entries) >= limit && l.answers.Len() > 0 {
		if oldest := l.answers.Front().Value.(*entry); oldest.heapIndex >= 0 {
			break
		}
		l.dropOldestAnswer()
	}
	return len(l.entries) < limit
}

// refence puts an entry into the heap of fences or moves it there.
func (l *Ledger) refence(e *entry) {
	if e.heapIndex >= 0 {
		heap.Fix(&l.fences, e.heapIndex)
		return
	}
	heap.Push(&l.fences, e)
}

// unfence takes an entry out of the heap, because a running request is never forgotten.
func (l *Ledger) unfence(e *entry) {
	if e.heapIndex >= 0 {
		heap.Remove(&l.fences, e.heapIndex)
	}
}

// answerSize returns the bytes that an answer takes in memory.
func answerSize(reply *wire.RequestReply) int {
	size := answerOverheadBytes + len(reply.ID) + len(reply.Body)
	for _, header := range reply.Headers {
		size += len(header.Name) + len(header.Value)
	}
	return size
}

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
