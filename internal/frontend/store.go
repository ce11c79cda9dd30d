package frontend

import (
	"container/list"
	"time"

	"clementineflow/internal/frontend/exchange"
)

// Limits on the finished requests that are kept to answer repeated ids.
const (
	finishedRetention = 30 * time.Second
	maxFinished       = 8192
	maxFinishedBytes  = 32 << 20
	// finishedDivisor bounds them to an eighth of the memory limit, since callers cause them as well.
	finishedDivisor = 8
	// finishedOverheadBytes is the assumed size of a finished request without its body.
	finishedOverheadBytes = 512
)

// finishedRequest is the stored result of a finished request.
type finishedRequest struct {
	key         requestKey
	fingerprint uint64
	result      exchange.Result
	bytes       int
	at          time.Time
}

// finishedStore keeps finished requests for finishedRetention. Above its limits it drops the oldest first.
type finishedStore struct {
	byKey map[requestKey]*list.Element
	order *list.List
	bytes int
	// maxBytes bounds bytes.
	maxBytes int
}

// newFinishedStore returns the store of a process with a memory limit in bytes; zero means that it is not known.
func newFinishedStore(memory int64) *finishedStore {
	s := &finishedStore{byKey: make(map[requestKey]*list.Element), order: list.New(), maxBytes: maxFinishedBytes}
	if memory > 0 {
		s.maxBytes = int(min(maxFinishedBytes, memory/finishedDivisor))
	}
	return s
}

// put stores a finished request, replaces one with the same key, and drops the oldest above the limits.
func (s *finishedStore) put(request finishedRequest) {
	if old, ok := s.byKey[request.key]; ok {
		s.remove(old)
	}
	request.bytes = finishedOverheadBytes
	if request.result.Reply != nil {
		request.bytes += len(request.result.Reply.Body)
	}
	s.byKey[request.key] = s.order.PushBack(&request)
	s.bytes += request.bytes
	for s.order.Len() > maxFinished || s.bytes > s.maxBytes {
		s.remove(s.order.Front())
	}
}

// get returns the finished request with the key, if it is younger than finishedRetention.
func (s *finishedStore) get(now time.Time, key requestKey) (*finishedRequest, bool) {
	s.expire(now)
	element, ok := s.byKey[key]
	if !ok {
		return nil, false
	}
	return element.Value.(*finishedRequest), true
}

// expire drops the requests older than finishedRetention.
func (s *finishedStore) expire(now time.Time) {
	for front := s.order.Front(); front != nil; front = s.order.Front() {
		if now.Sub(front.Value.(*finishedRequest).at) < finishedRetention {
			return
		}
		s.remove(front)
	}
}

func (s *finishedStore) remove(element *list.Element) {
	request := s.order.Remove(element).(*finishedRequest)
	delete(s.byKey, request.key)
	s.bytes -= request.bytes
}
