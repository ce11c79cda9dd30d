package planner

import "time"

// ExpireJobs schedules the removal of jobs that ended before the status period, and of cancellations whose job has not
// been added within it. wallMillis is the wall clock time.
func (p *Planner) ExpireJobs(wallMillis int64) {
	bound := wallMillis - p.timing.StatusPeriod.Milliseconds()
	for id, e := range p.jobs {
		if e.published.Final() && !e.dirty && !e.inFlight && e.progress.EndedAtMillis < bound && e.assigned == 0 {
			p.removable = append(p.removable, id)
			e.progress.EndedAtMillis = wallMillis + time.Hour.Milliseconds()
		}
	}
	p.expireCancels()
}

// expireCancels schedules the removal of cancellations whose job has not been added for the status period. A write of the
// job's submission that was still open takes effect well before.
func (p *Planner) expireCancels() {
	for id, cancel := range p.pendingCancels {
		if !cancel.removing && p.now-cancel.since > p.timing.StatusPeriod {
			cancel.removing = true
			p.removableCancels = append(p.removableCancels, id)
		}
	}
}
