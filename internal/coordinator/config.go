package coordinator

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"clementineflow/internal/backlog"
	"clementineflow/internal/link"
	"clementineflow/internal/operatorconfig"
	"clementineflow/internal/planner"
	"clementineflow/internal/store"
)

// Errors of the coordinator layer.
var (
	// ErrNotCoordinator reports a query that only the coordinator can answer.
	ErrNotCoordinator = errors.New("coordinator: this entry is not the coordinator")
	// errInvalidAgentRecord reports an agent's record without a name or an address.
	errInvalidAgentRecord = errors.New("coordinator: agent record without a name or an address")
	// errPanicked ends a term after a panic in its event loop.
	errPanicked = errors.New("coordinator: panic in the event loop")
	// errYielded ends a term to hand over to a stronger entry.
	errYielded = errors.New("coordinator: a stronger entry takes over")
	// errTermLost ends a term whose lease has expired.
	errTermLost = errors.New("coordinator: term lost")
)

// Peers gives information on the other entries.
type Peers interface {
	// MaxStrength returns the highest strength among the other registered entries.
	MaxStrength() float64
	// MinBacklog returns the smallest limit of stored jobs among the other registered entries, or 0 if none has one.
	MinBacklog() backlog.Limit
	// StrongerAvailable reports whether an entry with a strength above the threshold answers and can reach the
	// store.
	StrongerAvailable(ctx context.Context, threshold float64) bool
}

// Config holds what a Coordinator depends on.
type Config struct {
	// Name is this entry's name. Address is where it accepts links.
	Name    string
	Address string
	// Strength is this entry's processor share, in processors.
	Strength float64
	Peers    Peers
	Store    store.Service
	Dialer   link.Dialer
	View     *operatorconfig.View
	Timing   planner.Timing
	// KeepPressures makes terms keep what they learn about the pressure of fillers in the store.
	KeepPressures bool
	Options       planner.Options
	// Backlog is the memory that this entry has for stored jobs; zero is no limit. Admission decides at this entry whether a
	// job may be stored. It may be nil.
	Backlog   backlog.Limit
	Admission *backlog.Admission
	// Now reads a clock that counts suspended time.
	Now    func() time.Duration
	Logger *log.Logger
}

// Leadership timing.
const (
	// leaseTTL is the time from the last renewal to the end of the leadership. A shorter one speeds up
	// failover, but it must be longer than a renewal at a slow store.
	leaseTTL = 1600 * time.Millisecond
	// renewInterval, renewTimeout and renewRetryDelay leave time within leaseTTL for a second attempt, possibly
	// through another entry, after a renewal that got no reply.
	renewInterval   = 400 * time.Millisecond
	renewTimeout    = 500 * time.Millisecond
	renewRetryDelay = 50 * time.Millisecond
	// leaseSafetyMargin is subtracted from the lease's end to allow for clock drift.
	leaseSafetyMargin = 100 * time.Millisecond
	// callTimeout bounds one store call.
	callTimeout = 1200 * time.Millisecond
	// watchWait is how long one watch call waits for changes.
	watchWait = time.Second
	// electionJitter spreads the attempts of several entries, to avoid calls that would fail anyway.
	electionJitter = 60 * time.Millisecond
	// releaseTimeout bounds the revocation of the lease after a term.
	releaseTimeout = 500 * time.Millisecond
)

// Timing of the links to agents and of the event loop.
const (
	dialTimeout    = time.Second
	firstDialDelay = 100 * time.Millisecond
	maxDialDelay   = time.Second
	tickInterval   = 200 * time.Millisecond
	// firstCommitDelay and maxCommitDelay bound the backoff after failed commits.
	firstCommitDelay = 10 * time.Millisecond
	maxCommitDelay   = 320 * time.Millisecond
	expireInterval   = 5 * time.Second
	// agentRecordRetention is how long an agent's record is kept while the agent is unreachable.
	agentRecordRetention = 2 * time.Minute
	// eventQueueLength bounds the events queued for the event loop.
	eventQueueLength = 2048
)
