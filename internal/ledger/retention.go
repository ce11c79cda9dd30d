package ledger

import (
	"container/heap"
	"time"

	"clementineflow/internal/wire"
)

// keepAnswer stores an answer and drops the oldest answers while the total exceeds MaxAnswerBytes.
func (l *Ledger) keepAnswer(e *entry, reply wire.RequestReply) {
	e.answer = &reply
	e.answerSize = answerSize(&reply)
	e.answerElement = l.answers.PushBack(e)
	l.answerBytes += e.answerSize
	for l.answerBytes > MaxAnswerBytes {
		l.dropOldestAnswer()
	}
}

// dropOldestAnswer drops the oldest answer. Its request stays recorded with an unknown outcome until it
// expires.
func (l *Ledger) dropOldestAnswer() {
	e := l.answers.Front().Value.(*entry)
	l.answers.Remove(e.answerElement)
	l.answerBytes -= e.answerSize
	e.state, e.answer, e.answerElement, e.answerSize = stateAnswerDropped, nil, nil, 0
	if e.heapIndex < 0 {
		delete(l.entries, e.id)
	}
}

// expire removes expired entries, and answers older than AnswerRetention. The entry of a kept answer is
// removed together with the answer.
func (l *Ledger) expire(now time.Time) {
	for len(l.expiries) > 0 && !now.Before(l.expiries[0].expiresAt) {
		e := heap.Pop(&l.expiries).(*entry)
		if e.state != stateFinished {
			delete(l.entries, e.id)
		}
	}
	for l.answers.Len() > 0 {
		oldest := l.answers.Front().Value.(*entry)
		if now.Sub(oldest.finishedAt) < AnswerRetention {
			return
		}
		l.dropOldestAnswer()
	}
}

// makeRoom reports whether there is room for one more entry below the limit. To make room it drops the
// answers of expired requests, oldest first.
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

// scheduleExpiry adds an entry to the expiry heap, or updates its position there.
func (l *Ledger) scheduleExpiry(e *entry) {
	if e.heapIndex >= 0 {
		heap.Fix(&l.expiries, e.heapIndex)
		return
	}
	heap.Push(&l.expiries, e)
}

// cancelExpiry removes an entry from the expiry heap, because a running request must stay recorded.
func (l *Ledger) cancelExpiry(e *entry) {
	if e.heapIndex >= 0 {
		heap.Remove(&l.expiries, e.heapIndex)
	}
}

// answerSize returns the estimated size of an answer in memory, in bytes.
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
