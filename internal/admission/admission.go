// Package admission decides whether an entry admits a request. Under overload it sheds requests of low
// priority and enforces the weighted fair shares of the teams; at any load it enforces rate limits per
// team and caller. It reads no clock: the current time is passed in. A Controller is not safe for
// concurrent use.
package admission

import (
	"math"
	"time"

	"clementineflow/internal/configuration"
	"clementineflow/internal/task"
)

// Thresholds of the load, which is the number of requests in progress and waiting per slot.
const (
	// shedLowLoad and shedNormalLoad are the loads from which requests of low and normal priority are
	// shed. Urgent requests are never shed here; the queue refuses those that cannot meet their deadline.
	shedLowLoad    = 0.9
	shedNormalLoad = 1.5
	// fairShareLoad is the load from which teams are limited to their weighted share.
	fairShareLoad = 0.8
)

// Values of RetryAfter for requests that are refused until the load falls.
const (
	shedLowRetryDelay    = 2 * time.Second
	shedNormalRetryDelay = time.Second
	fairShareRetryDelay  = 500 * time.Millisecond
)

// Limits on callers and on the state kept for them.
const (
	// callerIdleTimeout is the time after its last request at which a caller no longer counts as active.
	callerIdleTimeout = 5 * time.Second
	// maxCallers is the number of callers tracked per team; further callers share one bucket.
	maxCallers = 1024
	// callerShareFactor is the multiple of its even share of the team's rate that a caller may use, so
	// that it can use what other callers leave unused.
	callerShareFactor = 2
)

// sharedCallerName is the key of the bucket shared by the callers beyond maxCallers. It cannot clash
// with a caller, because no caller has an empty name.
const sharedCallerName = ""

// Load is the load of the system on which admission depends.
type Load struct {
	// InProgress is the number of requests in progress and waiting; Limit is the number of slots, which
	// is the number of requests that the workers process at the same time.
	InProgress, Limit int
}

// perSlot returns the number of requests per slot. It returns 0 without slots, where overload cannot be
// measured; routing refuses the request in that case.
func (l Load) perSlot() float64 {
	if l.Limit <= 0 {
		return 0
	}
	return float64(l.InProgress) / float64(l.Limit)
}

// Controller holds the admission state of one entry.
type Controller struct {
	teams map[string]*team
}

// team is the admission state of one team.
type team struct {
	weight        int
	rate          float64
	bucket        bucket
	callers       map[string]*caller
	inProgress    int
	lastRemovalAt time.Time
}

// caller is the rate limit state of one caller of a team.
type caller struct {
	bucket     bucket
	lastSeenAt time.Time
}

// New returns a Controller without teams; it refuses every request until Configure is called.
func New() *Controller { return &Controller{teams: make(map[string]*team)} }

// Configure replaces the teams by those of a configuration document. A team that stays keeps its
// requests in progress and its buckets.
func (c *Controller) Configure(now time.Time, teams []configuration.Team) {
	present := make(map[string]bool, len(teams))
	for _, configured := range teams {
		present[configured.Name] = true
		t, ok := c.teams[configured.Name]
		if !ok {
			t = &team{callers: make(map[string]*caller)}
			c.teams[configured.Name] = t
		}
		rate := float64(max(0, configured.RequestsPerSecond))
		if t.rate == 0 {
			t.bucket = newBucket(now, rate)
		}
		t.weight, t.rate = max(1, configured.Weight), rate
	}
	for name := range c.teams {
		if !present[name] {
			delete(c.teams, name)
		}
	}
}

// Admit decides whether to admit a request. An admitted request counts as in progress until Release.
func (c *Controller) Admit(now time.Time, teamName, callerName string, priority task.Priority, load Load) Decision {
	t, ok := c.teams[teamName]
	if !ok {
		return Decision{Reason: UnknownTeam}
	}
	if decision := checkShed(priority, load); !decision.OK() {
		return decision
	}
	if c.exceedsFairShare(t, priority, load) {
		return Decision{Reason: FairShare, RetryAfter: fairShareRetryDelay}
	}
	if decision := t.takeToken(now, callerName); !decision.OK() {
		return decision
	}
	t.inProgress++
	return Decision{}
}

// Release ends a request that was admitted by Admit. It must be called once for each such request.
func (c *Controller) Release(teamName string) {
	if t, ok := c.teams[teamName]; ok {
		t.inProgress = max(0, t.inProgress-1)
	}
}

// checkShed refuses requests under overload, those of the lowest priority first as the load grows.
func checkShed(priority task.Priority, load Load) Decision {
	ratio := load.perSlot()
	switch {
	case priority == task.PriorityLow && ratio >= shedLowLoad:
		return Decision{Reason: Shed, RetryAfter: shedLowRetryDelay}
	case priority == task.PriorityNormal && ratio >= shedNormalLoad:
		return Decision{Reason: Shed, RetryAfter: shedNormalRetryDelay}
	default:
		return Decision{}
	}
}

// exceedsFairShare reports whether the system is overloaded and the team has used up its weighted share
// of the slots among the teams with requests in progress. Urgent requests are exempt.
func (c *Controller) exceedsFairShare(t *team, priority task.Priority, load Load) bool {
	if priority == task.PriorityUrgent || load.perSlot() < fairShareLoad {
		return false
	}
	weights := t.weight
	for _, other := range c.teams {
		if other != t && other.inProgress > 0 {
			weights += other.weight
		}
	}
	if weights == t.weight {
		return false // no other team has requests in progress
	}
	share := math.Max(1, float64(load.Limit)*float64(t.weight)/float64(weights))
	return float64(t.inProgress) >= share
}

// takeToken takes one token from the bucket of the team and one from that of the caller. If either is
// empty, it takes none and returns the reason.
func (t *team) takeToken(now time.Time, callerName string) Decision {
	if t.rate <= 0 {
		return Decision{}
	}
	t.removeIdleCallers(now)
	t.bucket.refill(now, t.rate)
	if wait := t.bucket.timeToToken(t.rate); wait > 0 {
		return Decision{Reason: TeamRate, RetryAfter: wait}
	}
	state := t.callerState(now, callerName)
	rate := t.callerRate()
	state.lastSeenAt = now
	state.bucket.refill(now, rate)
	state.bucket.tokens = math.Min(state.bucket.tokens, bucketCapacity(rate))
	if wait := state.bucket.timeToToken(rate); wait > 0 {
		return Decision{Reason: CallerRate, RetryAfter: wait}
	}
	t.bucket.tokens--
	state.bucket.tokens--
	return Decision{}
}

// callerRate returns the rate of one caller: callerShareFactor times the even share of the team's rate,
// at most the whole rate.
func (t *team) callerRate() float64 {
	return math.Min(t.rate, callerShareFactor*t.rate/float64(max(1, len(t.callers))))
}

// callerState returns the state of a caller, which it creates if needed.
func (t *team) callerState(now time.Time, name string) *caller {
	if state, ok := t.callers[name]; ok {
		return state
	}
	if len(t.callers) >= maxCallers {
		name = sharedCallerName
		if state, ok := t.callers[name]; ok {
			return state
		}
	}
	state := &caller{bucket: newBucket(now, t.rate), lastSeenAt: now}
	t.callers[name] = state
	return state
}

// removeIdleCallers removes idle callers, at most once per callerIdleTimeout.
func (t *team) removeIdleCallers(now time.Time) {
	if now.Sub(t.lastRemovalAt) < callerIdleTimeout {
		return
	}
	t.lastRemovalAt = now
	for name, state := range t.callers {
		if now.Sub(state.lastSeenAt) >= callerIdleTimeout {
			delete(t.callers, name)
		}
	}
}
