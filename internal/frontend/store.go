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
}

func newFinishedStore() *finishedStore {
	return &finishedStore{byKey: make(map[requestKey]*list.Element), order: list.New()}
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
	for s.order.Len() > maxFinished || s.bytes > maxFinishedBytes {
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
