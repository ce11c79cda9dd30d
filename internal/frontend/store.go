package frontend

import (
	"container/list"
	"time"

	"clementineflow/internal/frontend/exchange"
)

// Bounds of the finished requests that are kept for repeated ids.
const (
	finishedRetention = 30 * time.Second
	maxFinished       = 8192
	maxFinishedBytes  = 32 << 20
	// finishedOverhead is the assumed size of an entry without its body, in bytes.
	finishedOverhead = 512
)

// finishedRequest is a finished request.
type finishedRequest struct {
	key         flightKey
	fingerprint uint64
	result      exchange.Result
	bytes       int
	at          time.Time
}

// finishedStore keeps finished requests, the oldest of which are dropped first.
type finishedStore struct {
	byKey map[flightKey]*list.Element
	order *list.List
	bytes int
}

func newFinishedStore() *finishedStore {
	return &finishedStore{byKey: make(map[flightKey]*list.Element), order: list.New()}
}

// put keeps a finished request.
func (s *finishedStore) put(request finishedRequest) {
	if old, ok := s.byKey[request.key]; ok {
		s.remove(old)
	}
	request.bytes = finishedOverhead
	if request.result.Reply != nil {
		request.bytes += len(request.result.Reply.Body)
	}
	s.byKey[request.key] = s.order.PushBack(&request)
	s.bytes += request.bytes
	for s.order.Len() > maxFinished || s.bytes > maxFinishedBytes {
		s.remove(s.order.Front())
	}
}

// get returns a finished request that is not older than the retention.
func (s *finishedStore) get(now time.Time, key flightKey) (*finishedRequest, bool) {
	s.expire(now)
	element, ok := s.byKey[key]
	if !ok {
		return nil, false
	}
	return element.Value.(*finishedRequest), true
}

// expire drops the requests older than the retention.
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
