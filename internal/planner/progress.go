package planner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"clementineflow/internal/urgency"
)

const (
	// minProgressBound is how long a job may wait without progress while jobs that don't precede it by priority get
	// workers. The objective of a large job is 1 s and twice a chain of 2 to 4 s, so a shorter bound would promote jobs
	// that the order can still end in time.
	minProgressBound = 8 * time.Second
	// promotedShare is the number of placements of which at most one is a promoted job's. The others keep the order, so
	// that a large number of old jobs takes an eighth of the starts from those that can be in time.
	promotedShare = 8
	// maxPriorityWait is how long a priority waits without a start before one of its tasks precedes those of more urgent
	// priorities. After three times the bound even jobs with an objective as long as the bound are overdue.
	maxPriorityWait = 3 * minProgressBound
	// lowestPriority is the number of the least urgent priority.
	lowestPriority = math.MaxInt
)

// Promotions counts the jobs that were placed out of order, by reason.
type Promotions struct {
	// Progress counts jobs that waited for longer than the progress bound.
	Progress int
	// Priority counts jobs of a priority that waited for longer than maxPriorityWait.
	Priority int
	// HeldWorkers counts the workers that were held for a job of either kind that fitted nowhere.
	HeldWorkers int
	// Deferrals counts the passes in which long-running tasks came after tasks that end.
	Deferrals int
}

// progressBound bounds how long jobs wait without progress. It is used with the order by cost only.
type progressBound struct {
	classes []placementClass
	// ordinaryDue is the number of placements in order that are due before the next promotion.
	ordinaryDue int
	// owed lists the candidates of the pass that may be promoted, in the order in which they are tried.
	owed       []promotion
	holds      []hold
	promotions Promotions
	// deferralLoggedAt is when a deferral was last logged, or zero.
	deferralLoggedAt time.Duration
	// owedJobs is the number of jobs that are owed progress, as of the latest Tick.
	owedJobs int
}

// placementClass holds when a task of a priority last got a worker of a service.
type placementClass struct {
	service  string
	priority int
	placedAt time.Duration
	// unused is the latest hold if it ended without a placement and no other was tried since. It has no entry once another
	// job was promoted.
	unused hold
}

// promotion is a candidate that may be placed out of order.
type promotion struct {
	candidate
	// crossesPriority is set if it precedes the candidates of more urgent priorities.
	crossesPriority bool
	// held is set if a worker was held for it, which counts as its share of the placements.
	held bool
}

// TakePromotions returns the numbers of promoted jobs since the last call.
func (p *Planner) TakePromotions() Promotions {
	taken := p.progress.promotions
	p.progress.promotions = Promotions{}
	return taken
}

// JobsOwedProgress returns the number of jobs that are owed progress, as of the latest Tick.
func (p *Planner) JobsOwedProgress() int { return p.progress.owedJobs }

// boundsProgress reports whether the progress bound is in effect.
func (p *Planner) boundsProgress() bool { return p.options.Order == urgency.ByCost }

// recordPlacement records that a task of the job got a worker.
func (p *Planner) recordPlacement(e *entry) {
	if !p.boundsProgress() {
		return
	}
	p.progress.ordinaryDue = max(0, p.progress.ordinaryDue-1)
	p.class(p.service(e), p.priority(e)).placedAt = p.now
}

// class returns the state of a priority of a service. It is valid until the next call.
func (p *Planner) class(service string, priority int) *placementClass {
	for i := range p.progress.classes {
		if class := &p.progress.classes[i]; class.service == service && class.priority == priority {
			return class
		}
	}
	p.progress.classes = append(p.progress.classes, placementClass{service: service, priority: priority})
	return &p.progress.classes[len(p.progress.classes)-1]
}

// lastPlacement returns when a task that needs the service last got a worker, of those with a priority from first to
// last.
func (p *Planner) lastPlacement(service string, first, last int) time.Duration {
	latest := time.Duration(0)
	for _, class := range p.progress.classes {
		if class.service == service && class.priority >= first && class.priority <= last {
			latest = max(latest, class.placedAt)
		}
	}
	return latest
}

// owedProgress reports whether no task of the job was started or completed for the progress bound, while other jobs of
// its priority or of a less urgent one got workers. Jobs without an objective precede the others in any case.
func (p *Planner) owedProgress(e *entry) bool {
	waited := p.now - e.progressAt
	if waited < minProgressBound {
		return false
	}
	rank := p.currentRank(e)
	if e.cachedObjective == 0 || waited < e.cachedObjective || e.awaitsStart() {
		return false
	}
	return p.lastPlacement(p.service(e), rank.Priority, lowestPriority) > e.progressAt
}

// priorityOverdue reports whether no task of the job's priority got a worker for maxPriorityWait, although the job
// waited for one.
func (p *Planner) priorityOverdue(e *entry) bool {
	if p.now-e.progressAt < maxPriorityWait {
		return false
	}
	priority := p.currentRank(e).Priority
	if e.cachedObjective == 0 || e.awaitsStart() {
		return false
	}
	return p.now-p.lastPlacement(p.service(e), priority, priority) >= maxPriorityWait
}

// mayBePromoted reports whether a task of the job may be placed out of order.
func (p *Planner) mayBePromoted(e *entry) bool { return p.owedProgress(e) || p.priorityOverdue(e) }

// collectOwed lists the candidates that may be promoted in the pass: first those that may cross priorities, then by
// priority, the longest wait first.
func (p *Planner) collectOwed(candidates []candidate) {
	owed := p.progress.owed[:0]
	if p.boundsProgress() {
		for _, c := range candidates {
			if crosses := p.priorityOverdue(c.entry); crosses || p.owedProgress(c.entry) {
				owed = append(owed, promotion{candidate: c, crossesPriority: crosses})
			}
		}
		slices.SortStableFunc(owed, comparePromotions)
	}
	p.progress.owed = owed
}

func comparePromotions(x, y promotion) int {
	switch {
	case x.crossesPriority && !y.crossesPriority:
		return -1
	case y.crossesPriority && !x.crossesPriority:
		return 1
	}
	return cmp.Or(
		cmp.Compare(x.rank.Priority, y.rank.Priority),
		cmp.Compare(x.entry.progressAt, y.entry.progressAt),
	)
}

// countOwedJobs counts the jobs that are owed progress and have a task that waits for a worker.
func (p *Planner) countOwedJobs() {
	p.progress.owedJobs = 0
	if !p.boundsProgress() || p.operator.Config == nil {
		return
	}
	for _, e := range p.active {
		if e.waitsForWorker() && p.mayBePromoted(e) {
			p.progress.owedJobs++
		}
	}
}

// waitsForWorker reports whether a step of the job that may run has waiting tasks.
func (e *entry) waitsForWorker() bool {
	for step := range e.steps {
		if e.steps[step].waiting > 0 && e.ready(step) {
			return true
		}
	}
	return false
}
