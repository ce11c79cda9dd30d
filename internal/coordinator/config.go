package coordinator

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"clementineflow/internal/link"
	"clementineflow/internal/operatorconfig"
	"clementineflow/internal/planner"
	"clementineflow/internal/store"
)

// Errors of the coordinator layer.
var (
	// ErrNotCoordinator reports a question that only the coordinator answers.
	ErrNotCoordinator = errors.New("coordinator: this entry is not the coordinator")
	// errPanicked ends a term whose decisions failed with a panic.
	errPanicked = errors.New("coordinator: panic in the decisions")
	// errYielded ends a term in favour of a stronger entry.
	errYielded = errors.New("coordinator: a stronger entry takes over")
	// errTermLost ends a term that another entry may take over.
	errTermLost = errors.New("coordinator: term lost")
)

// Peers tells of the other entries.
type Peers interface {
	// Strongest returns the highest strength among the other entries that are known.
	Strongest() float64
	// StrongerServes reports whether an entry that is stronger answers and has a path to the store.
	StrongerServes(ctx context.Context, than float64) bool
}

// Config holds what a Coordinator depends on.
type Config struct {
	// Name is this entry's name and Address the address of its links.
	Name    string
	Address string
	// Strength is this entry's share of a processor.
	Strength float64
	Peers    Peers
	Store    store.Service
	Dialer   link.Dialer
	View     *operatorconfig.View
	Timing   planner.Timing
	// Now reads a clock that counts suspended time.
	Now    func() time.Duration
	Logger *log.Logger
}

// Times of the leadership.
const (
	// leaseTTL is how long the leadership lives after its last renewal. A shorter one hands over
	// faster; it must outlast a renewal at a slow store.
	leaseTTL = 1600 * time.Millisecond
	// renewInterval, renewTimeout and renewRetry leave time for another attempt, also through another entry,
	// after a renewal without an answer.
	renewInterval = 400 * time.Millisecond
	renewTimeout  = 500 * time.Millisecond
	renewRetry    = 50 * time.Millisecond
	// leaseSafety is taken off the lease's end for clocks that run at different rates.
	leaseSafety = 100 * time.Millisecond
	// callTimeout bounds one store call.
	callTimeout = 1200 * time.Millisecond
	// watchWait is how long one call waits for changes.
	watchWait = time.Second
	// electionJitter spreads the attempts of several entries, to save calls that are bound to fail.
	electionJitter = 60 * time.Millisecond
	// releaseTimeout bounds the release of the leadership on a planned stop.
	releaseTimeout = 500 * time.Millisecond
)

// Times of the links to agents and of the planner.
const (
	dialTimeout    = time.Second
	firstDialDelay = 100 * time.Millisecond
	maxDialDelay   = time.Second
	tickInterval   = 200 * time.Millisecond
	// firstCommitDelay and maxCommitDelay are the pauses after failed commits.
	firstCommitDelay = 10 * time.Millisecond
	maxCommitDelay   = 320 * time.Millisecond
	expireInterval   = 5 * time.Second
	// agentForgetTime is how long an agent's record is kept while the agent can't be reached.
	agentForgetTime = 2 * time.Minute
	// eventQueueLength bounds the events that wait for the term's loop.
	eventQueueLength = 2048
)
