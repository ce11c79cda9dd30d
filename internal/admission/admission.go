// Package admission decides whether an entry takes on a request: rates and fair shares per team and
// caller, and shedding under overload. It is pure: times are passed in. A Controller is not safe for
// concurrent use.
package admission

import (
	"math"
	"time"

	"clementineflow/internal/configuration"
	"clementineflow/internal/task"
)

// Thresholds of the load, which is requests in progress and waiting per slot.
const (
	// shedLow and shedNormal are the loads above which a class is shed. Urgent requests are never
	// shed; the queue refuses those that cannot make their deadline.
	shedLow    = 0.9
	shedNormal = 1.5
	// fairFrom is the load above which teams are held to their weighted share.
	fairFrom = 0.8
)

// Times to retry after when the class or the team must wait for the load to fall.
const (
	retryShedLow    = 2 * time.Second
	retryShedNormal = time.Second
	retryFairShare  = 500 * time.Millisecond
)

// Bounds of the state about callers.
const (
	// callerIdle is the time after which a caller no longer counts as active.
	callerIdle = 5 * time.Second
	// maxCallers bounds the callers that are tracked per team; further ones share one bucket.
	maxCallers = 1024
	// callerBurst lets a caller exceed its even share while others use less than theirs.
	callerBurst = 2
)

// otherCallers is the bucket of the callers beyond maxCallers; no caller has an empty name.
const otherCallers = ""

// Load is the state of the system that decisions depend on.
type Load struct {
	// InProgress counts requests in progress and waiting; Limit is how many the workers hold at once.
	InProgress, Limit int
}

// ratio returns the load per slot. Without slots there is no measure of overload; routing refuses.
func (l Load) ratio() float64 {
	if l.Limit <= 0 {
		return 0
	}
	return float64(l.InProgress) / float64(l.Limit)
}

// Controller holds the admission state of one entry.
type Controller struct {
	teams map[string]*team
}

// team is the state of one team.
type team struct {
	weight     int
	rate       float64
	bucket     bucket
	callers    map[string]*caller
	inProgress int
	sweptAt    time.Time
}

// caller is the state of one caller of a team.
type caller struct {
	bucket bucket
	seenAt time.Time
}

// New returns a controller that knows no team.
func New() *Controller { return &Controller{teams: make(map[string]*team)} }

// Configure takes over the teams of a document. Requests in progress and buckets are kept.
func (c *Controller) Configure(now time.Time, teams []configuration.Team) {
	known := make(map[string]bool, len(teams))
	for _, configured := range teams {
		known[configured.Name] = true
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
		if !known[name] {
			delete(c.teams, name)
		}
	}
}

// Admit decides about one request. An admitted request counts as in progress until Done.
func (c *Controller) Admit(now time.Time, teamName, callerName string, priority task.Priority, load Load) Decision {
	t, ok := c.teams[teamName]
	if !ok {
		return Decision{Reason: UnknownTeam}
	}
	if decision := shed(priority, load); !decision.OK() {
		return decision
	}
	if c.overShare(t, priority, load) {
		return Decision{Reason: FairShare, RetryAfter: retryFairShare}
	}
	if decision := t.take(now, callerName); !decision.OK() {
		return decision
	}
	t.inProgress++
	return Decision{}
}

// Done ends a request that Admit admitted.
func (c *Controller) Done(teamName string) {
	if t, ok := c.teams[teamName]; ok {
		t.inProgress = max(0, t.inProgress-1)
	}
}

// shed refuses the lowest classes first as the load grows.
func shed(priority task.Priority, load Load) Decision {
	ratio := load.ratio()
	switch {
	case priority == task.PriorityLow && ratio >= shedLow:
		return Decision{Reason: Shed, RetryAfter: retryShedLow}
	case priority == task.PriorityNormal && ratio >= shedNormal:
		return Decision{Reason: Shed, RetryAfter: retryShedNormal}
	default:
		return Decision{}
	}
}

// overShare reports whether the system is overloaded and the team holds more than its weighted share
// of the slots among the teams with requests in progress. Urgent requests are exempt.
func (c *Controller) overShare(t *team, priority task.Priority, load Load) bool {
	if priority == task.PriorityUrgent || load.ratio() < fairFrom {
		return false
	}
	weights := t.weight
	for _, other := range c.teams {
		if other != t && other.inProgress > 0 {
			weights += other.weight
		}
	}
	if weights == t.weight {
		return false // no other team is there to take the share
	}
	share := math.Max(1, float64(load.Limit)*float64(t.weight)/float64(weights))
	return float64(t.inProgress) >= share
}

// take takes a token of the team and one of the caller, or none.
func (t *team) take(now time.Time, callerName string) Decision {
	if t.rate <= 0 {
		return Decision{}
	}
	t.sweep(now)
	t.bucket.refill(now, t.rate)
	if wait := t.bucket.wait(t.rate); wait > 0 {
		return Decision{Reason: TeamRate, RetryAfter: wait}
	}
	held := t.caller(now, callerName)
	rate := t.callerRate()
	held.seenAt = now
	held.bucket.refill(now, rate)
	held.bucket.tokens = math.Min(held.bucket.tokens, burst(rate))
	if wait := held.bucket.wait(rate); wait > 0 {
		return Decision{Reason: CallerRate, RetryAfter: wait}
	}
	t.bucket.tokens--
	held.bucket.tokens--
	return Decision{}
}

// callerRate returns the rate of one caller: the whole rate for the only one, otherwise callerBurst
// times the even share.
func (t *team) callerRate() float64 {
	return math.Min(t.rate, callerBurst*t.rate/float64(max(1, len(t.callers))))
}

// caller returns the state of a caller, new if needed.
func (t *team) caller(now time.Time, name string) *caller {
	if held, ok := t.callers[name]; ok {
		return held
	}
	if len(t.callers) >= maxCallers {
		name = otherCallers
		if held, ok := t.callers[name]; ok {
			return held
		}
	}
	held := &caller{bucket: newBucket(now, t.rate), seenAt: now}
	t.callers[name] = held
	return held
}

// sweep drops idle callers, at most once per callerIdle.
func (t *team) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < callerIdle {
		return
	}
	t.sweptAt = now
	for name, held := range t.callers {
		if now.Sub(held.seenAt) >= callerIdle {
			delete(t.callers, name)
		}
	}
}
