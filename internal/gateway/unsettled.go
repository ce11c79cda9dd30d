package gateway

import (
	"container/list"
	"sync"
	"time"
)

const (
	// unsettledTime is how long a write without a reply may still take effect.
	unsettledTime = time.Minute
	// maxUnsettled bounds the recorded jobs. The oldest that is not being submitted is removed first.
	maxUnsettled = 4096
)

// unsettled records the jobs that are being submitted at this entry, and those that may or may not have been stored by it.
// While a job is recorded, another submission of it must not be reported as refused, since the write of the first one may
// still take effect. It is safe for concurrent use.
type unsettled struct {
	mu   sync.Mutex
	jobs map[string]*unsettledJob
	// idle holds the IDs of the jobs without a submission in flight, oldest first.
	idle *list.List
}

// unsettledJob is the state of a recorded job.
type unsettledJob struct {
	// inFlight is the number of submissions that have not ended.
	inFlight int
	// storedAt is when a submission has ended after which the job is or may be stored, or zero if none has.
	storedAt time.Time
	// place is the job's place in the list of idle jobs, or nil while a submission is in flight.
	place *list.Element
}

// mayBeStored reports whether the write of a submission that has ended has taken effect or still may.
func (j *unsettledJob) mayBeStored(now time.Time) bool {
	return !j.storedAt.IsZero() && now.Sub(j.storedAt) <= unsettledTime
}

func newUnsettled() *unsettled { return &unsettled{jobs: map[string]*unsettledJob{}, idle: list.New()} }

// begin records a submission of a job. It reports false, and records nothing, if there is no room because submissions of
// too many jobs are in flight.
func (u *unsettled) begin(id string, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	entry := u.jobs[id]
	if entry == nil {
		u.removeOldest(now)
		if len(u.jobs) >= maxUnsettled {
			return false
		}
		entry = &unsettledJob{}
		u.jobs[id] = entry
	}
	if entry.place != nil {
		u.idle.Remove(entry.place)
		entry.place = nil
	}
	entry.inFlight++
	return true
}

// removeOldest removes the idle jobs that have expired, and one more if there is no room for another job.
func (u *unsettled) removeOldest(now time.Time) {
	for oldest := u.idle.Front(); oldest != nil; oldest = u.idle.Front() {
		id := oldest.Value.(string)
		if len(u.jobs) < maxUnsettled && u.jobs[id].mayBeStored(now) {
			return
		}
		u.idle.Remove(oldest)
		delete(u.jobs, id)
	}
}

// end records the outcome of a submission that has begun. It reports whether the job may be stored by another one that is
// in flight or has ended. A job stays recorded unless that is certain.
func (u *unsettled) end(id string, outcome Outcome, now time.Time) (byOther bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	entry := u.jobs[id]
	entry.inFlight--
	byOther = entry.inFlight > 0 || entry.mayBeStored(now)
	if outcome == Unknown || outcome == Accepted && entry.inFlight > 0 {
		entry.storedAt = now
	}
	switch {
	case entry.inFlight > 0:
	case entry.mayBeStored(now):
		entry.place = u.idle.PushBack(id)
	default:
		delete(u.jobs, id)
	}
	return byOther
}
