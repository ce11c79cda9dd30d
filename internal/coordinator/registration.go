package coordinator

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/charmbracelet/log"

	"clementineflow/internal/store"
	"clementineflow/internal/wait"
)

const (
	// registrationTimeout bounds one attempt to write an agent's record.
	registrationTimeout = time.Second
	// registrationInterval is how often an agent that no coordinator has answered writes its record again. It is shorter
	// than agentRecordRetention, after which a coordinator that can't reach the agent removes the record.
	registrationInterval = 30 * time.Second
	// firstRegistrationDelay and maxRegistrationDelay bound the backoff between failed attempts.
	firstRegistrationDelay = 50 * time.Millisecond
	maxRegistrationDelay   = 500 * time.Millisecond
)

// Registration keeps the record of an agent in the store, from which coordinators read its address.
type Registration struct {
	Name    string
	Address string
	Store   Committer
	// Reachable reports whether a coordinator has answered the agent lately.
	Reachable func() bool
	Logger    *log.Logger
}

// Committer writes to the store.
type Committer interface {
	Commit(ctx context.Context, transaction store.Transaction) (store.Revision, error)
}

// Run writes the record, and writes it again while no coordinator answers the agent, until the context ends.
func (r *Registration) Run(ctx context.Context) {
	value, err := EncodeAgentRecord(&AgentRecord{Address: r.Address})
	if err != nil {
		r.Logger.Error("agent record not encoded", "error", err)
		return
	}
	for ctx.Err() == nil {
		if !r.write(ctx, value) || !r.waitUntilUnreachable(ctx) {
			return
		}
	}
}

// waitUntilUnreachable waits until no coordinator answers the agent. It returns false if the context ends.
func (r *Registration) waitUntilUnreachable(ctx context.Context) bool {
	for wait.Sleep(ctx, registrationInterval) {
		if !r.Reachable() {
			return true
		}
	}
	return false
}

// write writes the record, and retries until that succeeds. It returns false if the context ends.
func (r *Registration) write(ctx context.Context, value []byte) bool {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = firstRegistrationDelay, maxRegistrationDelay
	_, err := backoff.Retry(ctx, func() (store.Revision, error) {
		call, cancel := context.WithTimeout(ctx, registrationTimeout)
		defer cancel()
		return r.Store.Commit(call, store.Transaction{Writes: []store.Write{{Key: AgentKey(r.Name), Value: value}}})
	}, backoff.WithBackOff(delays), backoff.WithMaxElapsedTime(0))
	if err != nil {
		return false
	}
	r.Logger.Info("registered", "address", r.Address)
	return true
}
