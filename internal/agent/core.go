package agent

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/charmbracelet/log"

	"clementineflow/internal/agent/throttle"
	"clementineflow/internal/capacity"
	"clementineflow/internal/configuration"
	"clementineflow/internal/lease"
	"clementineflow/internal/ledger"
	"clementineflow/internal/link"
	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

// Timing and limits of the core.
const (
	// tickInterval is the time between two ticks. It bounds the delay in detecting an expired lease and
	// is well below lease.ClockDriftMargin.
	tickInterval = 200 * time.Millisecond
	// repeatInterval is the time after which an unacknowledged task event is sent again.
	repeatInterval = time.Second
	// renewInterval is the time between two renewals of the tasks' leases at the runtime.
	renewInterval = time.Second
	// slowRenewalThreshold is the duration above which a renewal is repeated at once. The runtime counts
	// the lease from the arrival of the call, so a delayed call extends the lease too far.
	slowRenewalThreshold = 500 * time.Millisecond
	// listInterval is the time between two lists of the runtime's attempts.
	listInterval = time.Second
	// retryInterval is the time between two attempts of a failed runtime call.
	retryInterval = time.Second
	// startCallWindow is the time after the admission within which a start call must begin.
	startCallWindow = 500 * time.Millisecond
	// usageInterval is the time between two usage reports.
	usageInterval = 5 * time.Second
	// controlInterval is the time between two steps of the local control loop.
	controlInterval = time.Second
	// pendingStartTimeout is the time after the last order at which a pending start is dropped.
	pendingStartTimeout = 5 * time.Second
	// maxAttempts bounds the attempts that the agent tracks, including ended ones.
	maxAttempts = 1024
	// maxPending bounds the pending starts.
	maxPending = 1024
	// maxDetachedEvents bounds the unacknowledged events of attempts that the agent does not track, such
	// as refusals. A refusal above the limit is created again when the order is repeated, because the
	// attempt has a tombstone.
	maxDetachedEvents = 4096
	// maxTombstones bounds the tombstones. Above it the agent attaches again and clears them: starts of
	// the old session are refused as stale, so the tombstones are no longer needed.
	maxTombstones = 32 << 10
)

// identity holds the agent's name, location, incarnation and limits.
type identity struct {
	name, region, zone, rack, incarnation string
	limits                                Limits
}

// core is the deterministic state machine of the agent. It takes events with their times and returns
// actions. It reads no clock and does no I/O. It is not safe for concurrent use.
type core struct {
	identity identity
	now      time.Time
	actions  []action

	links    map[linkID]*linkState
	document *configuration.Document
	lease    lease.WorkerLease
	permit   lease.StartPermit
	table    *capacity.Table
	ledger   *ledger.Ledger

	session      task.Session
	attached     bool
	attaching    bool
	lastAttachAt time.Time
	// leaseWasValid is the validity of the lease at the last check, so that a change is handled once.
	leaseWasValid bool
	// evacuating is set while tasks are being evicted after the lease has ended, before the next attach.
	evacuating bool
	// clearTombstones is set if the next attach drops all tombstones.
	clearTombstones bool

	attempts map[capacity.TaskKey]*attempt
	pending  map[capacity.TaskKey]*pendingStart
	// tombstones holds the highest ended or refused attempt of each task; it and lower ones never start.
	tombstones map[string]uint32
	// epochs holds the highest owner epoch seen for each shard.
	epochs map[uint16]uint64
	// detachedEvents holds the unacknowledged events of attempts that are not in attempts.
	detachedEvents map[capacity.TaskKey]*unackedEvent
	lastCallID     uint64
	// lastForgetAt is when the runtime last forgot an attempt. A list call that began earlier may still
	// contain that attempt.
	lastForgetAt time.Time

	renewalInFlight bool
	lastRenewalAt   time.Time
	listInFlight    bool
	lastListAt      time.Time

	targets  map[capacity.TargetKey]*target
	requests map[string]*request
	services map[string]*serviceLatency
	policy   *throttle.Policy

	lastUsageAt   time.Time
	lastControlAt time.Time

	leaving bool
	// drainedAt is when no work was in progress any more.
	drainedAt time.Time
	// finalHeartbeats holds the sequence of the heartbeat sent on each link after the drain; nil before it.
	finalHeartbeats map[linkID]uint64
	// lingerUntil is until when a drained agent still refuses requests. It is zero until the drain is acknowledged.
	lingerUntil time.Time
	// finalListAt is when the runtime's attempts were listed for the last time before the exit, or zero.
	finalListAt time.Time
	exited      bool
}

// newCore returns the core of an agent that is not attached and has no links.
func newCore(identity identity) *core {
	return &core{
		identity:       identity,
		links:          map[linkID]*linkState{},
		table:          capacity.NewTable(),
		ledger:         ledger.New(),
		attempts:       map[capacity.TaskKey]*attempt{},
		pending:        map[capacity.TaskKey]*pendingStart{},
		tombstones:     map[string]uint32{},
		epochs:         map[uint16]uint64{},
		detachedEvents: map[capacity.TaskKey]*unackedEvent{},
		targets:        map[capacity.TargetKey]*target{},
		requests:       map[string]*request{},
		services:       map[string]*serviceLatency{},
		policy:         throttle.New(),
	}
}

// handle processes one event at the given time and returns the actions to carry out in order.
func (c *core) handle(now time.Time, input event) []action {
	c.dropLinksAfterPause(now)
	c.now = now
	switch input := input.(type) {
	case tick:
		c.onTick()
	case linkOpened:
		c.onLinkOpened(input)
	case linkClosed:
		delete(c.links, input.link)
	case messageReceived:
		c.onReceived(input)
	case attachResult:
		c.onAttachResult(input)
	case renewResult:
		c.onRenewResult(input)
	case listResult:
		c.onListResult(input)
	case callResult:
		c.onCallResult(input)
	case targetAnnounced:
		c.onAnnounced(input.announcement)
	case forwardResult:
		c.onForwarded(input)
	case stopRequested:
		c.onStopRequested()
	}
	c.finishDrain()
	actions := c.actions
	c.actions = nil
	return actions
}

// dropLinksAfterPause closes all links if the process was paused for longer than link.IdleTimeout. The
// entries have closed their ends by then, and messages still buffered on the links are stale.
func (c *core) dropLinksAfterPause(now time.Time) {
	if c.now.IsZero() || now.Sub(c.now) <= link.IdleTimeout {
		return
	}
	for _, id := range sortedLinks(c.links) {
		c.addAction(closeLink{link: id})
	}
	clear(c.links)
}

// onTick runs the periodic work that is due.
func (c *core) onTick() {
	c.checkLease()
	c.attachIfDue()
	c.sendDueHeartbeats()
	c.renewTaskLeasesIfDue()
	c.listTasksIfDue()
	c.retryCalls()
	c.resendEvents()
	c.tryPendingStarts()
	c.expireTargets()
	c.controlIfDue()
	c.reportUsageIfDue()
}

// addAction appends an action to the result of the current event.
func (c *core) addAction(next action) { c.actions = append(c.actions, next) }

// logDecision adds the action that logs a decision and increments its counter, if one is named.
func (c *core) logDecision(level log.Level, counter, message string, fields ...field) {
	c.addAction(logRecord{record: record{level: level, counter: counter, message: message, fields: fields}})
}

// due reports whether the interval has passed since the given time.
func (c *core) due(since time.Time, interval time.Duration) bool {
	return c.now.Sub(since) >= interval
}

// nextCallID returns a unique id for a runtime call; zero is never returned.
func (c *core) nextCallID() uint64 {
	c.lastCallID++
	return c.lastCallID
}

// sendDueHeartbeats sends the heartbeats that are due.
func (c *core) sendDueHeartbeats() {
	for _, id := range sortedLinks(c.links) {
		if l := c.links[id]; l.up && c.due(l.heartbeatAt, link.HeartbeatInterval) {
			c.sendHeartbeat(id)
		}
	}
}

// broadcast sends a message on every link that is up.
func (c *core) broadcast(message wire.Message) {
	for _, id := range sortedLinks(c.links) {
		if c.links[id].up {
			c.addAction(sendMessage{link: id, message: message})
		}
	}
}

// sortedLinks returns the link ids in ascending order, which keeps the core deterministic.
func sortedLinks(links map[linkID]*linkState) []linkID {
	return slices.Sorted(maps.Keys(links))
}

// sortedTasks returns the attempt keys in ascending order, which keeps the core deterministic.
func sortedTasks[V any](m map[capacity.TaskKey]V) []capacity.TaskKey {
	return slices.SortedFunc(maps.Keys(m), func(a, b capacity.TaskKey) int {
		return cmp.Or(cmp.Compare(a.TaskID, b.TaskID), cmp.Compare(a.Attempt, b.Attempt))
	})
}

// taskFields returns the log fields that identify an attempt, followed by more fields.
func taskFields(key capacity.TaskKey, more ...field) []field {
	fields := []field{{"task", key.TaskID}, {"attempt", strconv.FormatUint(uint64(key.Attempt), 10)}}
	return append(fields, more...)
}
