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
	// tickInterval is the time between two ticks. It bounds how late an expired lease is noticed and is
	// well below lease.Margin.
	tickInterval = 200 * time.Millisecond
	// repeatInterval is the time between two sends of an unacknowledged task event.
	repeatInterval = time.Second
	// renewInterval is the time between two renewals of the tasks' leases at the runtime.
	renewInterval = time.Second
	// slowRenewal is how long a renewal may take before it is repeated at once: the runtime counts the
	// lease from the arrival of the call, so a late call extends it too far.
	slowRenewal = 500 * time.Millisecond
	// listInterval is the time between two lists of the runtime's attempts.
	listInterval = time.Second
	// retryInterval is the time between two tries of a failed runtime call.
	retryInterval = time.Second
	// startCallWindow is how long after the decision a start call may begin.
	startCallWindow = 500 * time.Millisecond
	// usageInterval is the time between two usage reports.
	usageInterval = 5 * time.Second
	// controlInterval is the time between two steps of the local control loop.
	controlInterval = time.Second
	// pendingTerm is how long a start waits for a permit or a lease without being ordered again.
	pendingTerm = 5 * time.Second
	// maxAttempts bounds the attempts that the agent holds, ended ones included.
	maxAttempts = 1024
	// maxPending bounds the starts that wait.
	maxPending = 1024
	// maxRefusals bounds the unacknowledged refusals. A dropped one is made again when the start is
	// repeated, because the attempt has a tombstone.
	maxRefusals = 4096
	// maxTombstones bounds the tombstones. Above it the agent attaches again: the new session refuses
	// every start that they guard against.
	maxTombstones = 32 << 10
)

// identity names the agent, its place and its limits.
type identity struct {
	name, region, zone, rack, incarnation string
	limits                                Limits
}

// core is the deterministic part of the agent: events and times in, actions out. It has no clock and
// does no I/O. It is not safe for concurrent use.
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

	session   task.Session
	attached  bool
	attaching bool
	attachAt  time.Time
	// leased says that the lease was valid at the last look, so that its end is acted on once.
	leased bool
	// evacuating says that the lease has ended and that tasks are being stopped before the next attach.
	evacuating bool
	// clearTombstones says that the next attach drops all tombstones.
	clearTombstones bool

	attempts   map[capacity.TaskKey]*attempt
	pending    map[capacity.TaskKey]*pendingStart
	tombstones map[string]uint32
	epochs     map[uint16]uint64
	refusals   map[capacity.TaskKey]*outgoing
	lastOp     uint64
	// forgottenAt is when an attempt was last forgotten; a list that began earlier may still show it.
	forgottenAt time.Time

	renewing  bool
	renewedAt time.Time
	listing   bool
	listedAt  time.Time

	targets  map[capacity.TargetKey]*target
	requests map[string]*request
	services map[string]*serviceLatency
	policy   *throttle.Policy

	usageAt   time.Time
	controlAt time.Time

	leaving    bool
	drainedAt  time.Time
	drainMarks map[linkID]uint64
	// lingerUntil is when a drained agent exits; zero before it is drained.
	lingerUntil time.Time
	exited      bool
}

// newCore returns the core of an agent that knows nothing yet.
func newCore(identity identity) *core {
	return &core{
		identity:   identity,
		links:      map[linkID]*linkState{},
		table:      capacity.NewTable(),
		ledger:     ledger.New(),
		attempts:   map[capacity.TaskKey]*attempt{},
		pending:    map[capacity.TaskKey]*pendingStart{},
		tombstones: map[string]uint32{},
		epochs:     map[uint16]uint64{},
		refusals:   map[capacity.TaskKey]*outgoing{},
		targets:    map[capacity.TargetKey]*target{},
		requests:   map[string]*request{},
		services:   map[string]*serviceLatency{},
		policy:     throttle.New(),
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
	case received:
		c.onReceived(input)
	case attachResult:
		c.onAttachResult(input)
	case renewResult:
		c.onRenewResult(input)
	case listResult:
		c.onListResult(input)
	case callResult:
		c.onCallResult(input)
	case announced:
		c.onAnnounced(input.announcement)
	case forwarded:
		c.onForwarded(input)
	case stopRequested:
		c.onStopRequested()
	}
	c.finishDrain()
	actions := c.actions
	c.actions = nil
	return actions
}

// dropLinksAfterPause ends all links if the process was paused for longer than a link may be silent. The
// entries have given these links up, and what waits in them is too old to act on.
func (c *core) dropLinksAfterPause(now time.Time) {
	if c.now.IsZero() || now.Sub(c.now) <= link.SilenceBound {
		return
	}
	for _, id := range sortedLinks(c.links) {
		c.do(closeLink{link: id})
	}
	clear(c.links)
}

// onTick does what is due.
func (c *core) onTick() {
	c.checkLease()
	c.attachIfDue()
	c.heartbeatLinks()
	c.renewIfDue()
	c.listIfDue()
	c.retryCalls()
	c.repeatEvents()
	c.startPending()
	c.expireTargets()
	c.controlIfDue()
	c.reportUsageIfDue()
}

// do appends an action.
func (c *core) do(next action) { c.actions = append(c.actions, next) }

// report appends a record of a decision.
func (c *core) report(level log.Level, counter, message string, fields ...field) {
	c.do(report{record: record{level: level, counter: counter, message: message, fields: fields}})
}

// due reports whether an interval has passed since the time.
func (c *core) due(since time.Time, interval time.Duration) bool {
	return c.now.Sub(since) >= interval
}

// nextOp returns a number for a runtime call.
func (c *core) nextOp() uint64 {
	c.lastOp++
	return c.lastOp
}

// heartbeatLinks sends the heartbeats that are due.
func (c *core) heartbeatLinks() {
	for _, id := range sortedLinks(c.links) {
		if l := c.links[id]; l.up && c.due(l.heartbeatAt, link.HeartbeatInterval) {
			c.heartbeat(id)
		}
	}
}

// broadcast sends a message on every link that is up.
func (c *core) broadcast(message wire.Message) {
	for _, id := range sortedLinks(c.links) {
		if c.links[id].up {
			c.do(sendMessage{link: id, message: message})
		}
	}
}

// sortedLinks returns the ids of links in ascending order, so that the core is deterministic.
func sortedLinks(links map[linkID]*linkState) []linkID {
	return slices.Sorted(maps.Keys(links))
}

// sortedTasks returns attempt keys in ascending order, so that the core is deterministic.
func sortedTasks[V any](m map[capacity.TaskKey]V) []capacity.TaskKey {
	return slices.SortedFunc(maps.Keys(m), func(a, b capacity.TaskKey) int {
		return cmp.Or(cmp.Compare(a.TaskID, b.TaskID), cmp.Compare(a.Attempt, b.Attempt))
	})
}

// taskFields returns the fields that name an attempt.
func taskFields(key capacity.TaskKey, more ...field) []field {
	fields := []field{{"task", key.TaskID}, {"attempt", strconv.FormatUint(uint64(key.Attempt), 10)}}
	return append(fields, more...)
}
