package frontend

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"clementineflow/internal/frontend/exchange"
	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

// flightKey names a request at this entry. Ids of different teams are different.
type flightKey struct{ team, id string }

// wireID returns the id that agents and targets see. The team is part of it, so that the same id from
// two teams never gets the other's answer out of an agent's ledger.
func (k flightKey) wireID() string { return k.team + "/" + k.id }

// flight is a request in progress.
type flight struct {
	key         flightKey
	fingerprint uint64
	request     wire.Request
	priority    task.Priority
	deadline    time.Time
	began       time.Time
	exchange    *exchange.Exchange
	// tried lists the workers of earlier attempts.
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

// fingerprint identifies the content of a request, so that an id that is used again for another
// request is refused and never gets that request's answer.
func fingerprint(request *wire.Request) uint64 {
	digest := xxhash.New()
	for _, part := range []string{request.Service, request.Method, request.Path} {
		_, _ = digest.WriteString(part) // never fails
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(request.Body)
	return digest.Sum64()
}
