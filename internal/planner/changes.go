package planner

import "time"

// retryInterval is how often waiting tasks are tried on all workers again: some reasons that exclude a worker
// expire without an event, such as the pause after failures or the headroom that a filler requires.
const retryInterval = 200 * time.Millisecond

// maxChanges is the number of individual changes that are kept. Beyond it all workers count as changed.
const maxChanges = 4096

// changeLog records which workers may have become suitable for waiting tasks, so that a pass considers only
// the workers that changed since the previous attempt.
type changeLog struct {
	// agents lists the changed workers in the order of their changes; the first change has the number base.
	agents []*agent
	base   uint64
	// retryAt is when all workers count as changed again.
	retryAt time.Duration
}

// next returns the number of the next change.
func (l *changeLog) next() uint64 { return l.base + uint64(len(l.agents)) }

// markChanged records that a worker may have become suitable for waiting tasks.
func (l *changeLog) markChanged(a *agent) {
	if len(l.agents) >= maxChanges {
		l.markAllChanged()
		return
	}
	l.agents = append(l.agents, a)
}

// markAllChanged records that every worker may have become suitable.
func (l *changeLog) markAllChanged() {
	l.base = l.next() + 1
	l.agents = l.agents[:0]
}

// since returns the workers of the changes from the given number on. all is true if every worker may have
// changed.
func (l *changeLog) since(number uint64) (changed []*agent, all bool) {
	if number < l.base {
		return nil, true
	}
	return l.agents[number-l.base:], false
}

// expire marks all workers as changed once every retryInterval.
func (l *changeLog) expire(now time.Duration) {
	if now < l.retryAt {
		return
	}
	l.retryAt = now + retryInterval
	l.markAllChanged()
}
