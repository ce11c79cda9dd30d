package planner

import "time"

// retryInterval is how often all workers are tried again for what waits: some reasons against a worker end
// by time alone, such as a pause after failures or the headroom that a filler waits for.
const retryInterval = 200 * time.Millisecond

// maxChanges bounds the changes that are remembered one by one.
const maxChanges = 4096

// changeLog remembers which workers may have become fit for waiting tasks, so that a pass looks only at
// those that changed since it last found no room.
type changeLog struct {
	// agents lists the changed workers in order; the first one has the number base.
	agents []*agent
	base   uint64
	// retryAt is when all workers count as changed again.
	retryAt time.Duration
}

// next returns the number of the next change.
func (l *changeLog) next() uint64 { return l.base + uint64(len(l.agents)) }

// touch notes that a worker may have become fit for waiting tasks.
func (l *changeLog) touch(a *agent) {
	if len(l.agents) >= maxChanges {
		l.touchAll()
		return
	}
	l.agents = append(l.agents, a)
}

// touchAll notes that every worker may have become fit.
func (l *changeLog) touchAll() {
	l.base = l.next() + 1
	l.agents = l.agents[:0]
}

// since returns the workers that changed from the number on; all is true if each of them may have.
func (l *changeLog) since(number uint64) (changed []*agent, all bool) {
	if number < l.base {
		return nil, true
	}
	return l.agents[number-l.base:], false
}

// expire makes all workers count as changed once retryInterval has passed.
func (l *changeLog) expire(now time.Duration) {
	if now < l.retryAt {
		return
	}
	l.retryAt = now + retryInterval
	l.touchAll()
}
