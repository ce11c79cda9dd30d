package frontend

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"clementineflow/internal/frontend/exchange"
	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

// requestKey identifies a request at this entry. The same id from two teams is two requests.
type requestKey struct{ team, id string }

// wireID returns the id that agents and targets receive. It includes the team; otherwise a request could
// get the answer that an agent's ledger holds for the same id of another team.
func (k requestKey) wireID() string { return k.team + "/" + k.id }

// activeRequest is a request in progress, or one with a stored result that a repeated id joins.
type activeRequest struct {
	key         requestKey
	fingerprint uint64
	request     wire.Request
	priority    task.Priority
	deadline    time.Time
	startedAt   time.Time
	exchange    *exchange.Exchange
	// tried lists the workers to which an attempt was assigned.
	tried   []string
	sentAt  time.Time
	waiters int
	timer   *time.Timer
	wakeAt  time.Time
	queued  bool
	// done is closed after result is set.
	done   chan struct{}
	result exchange.Result
}

// fingerprint returns a hash of the content of a request. It detects an id that is reused for a different
// request, which is refused instead of getting the first request's answer.
func fingerprint(request *wire.Request) uint64 {
	digest := xxhash.New()
	for _, part := range []string{request.Service, request.Method, request.Path} {
		_, _ = digest.WriteString(part) // never fails
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(request.Body)
	return digest.Sum64()
}
