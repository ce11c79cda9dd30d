package losses

import "time"

// usage is the processor time that one run got, spread evenly over its duration.
type usage struct {
	from, to    time.Time
	coreSeconds float64
}

// usages returns the processor time of the job's ended runs. Each task is taken to have the same share of the job's
// work, and a run that did not complete its task to have done the share that its expected duration gives.
func (j *Job) usages() []usage {
	if j.Tasks == 0 {
		return nil
	}
	perTask := j.Work.Seconds() / float64(j.Tasks)
	var used []usage
	for _, runs := range j.tasks {
		for _, r := range runs {
			if r.ended.IsZero() {
				continue
			}
			used = append(used, usage{from: r.assigned, to: r.ended, coreSeconds: perTask * r.doneShare()})
		}
	}
	return used
}

// doneShare returns the share of its task that an ended run has done at most.
func (r *run) doneShare() float64 {
	if r.outcome == outcomeDone || r.estimate == 0 {
		return 1
	}
	return min(1, r.ended.Sub(r.assigned).Seconds()/r.estimate.Seconds())
}

// usedBetween returns the processor time that fell between two moments, in core-seconds.
func usedBetween(used []usage, from, to time.Time) float64 {
	total := 0.0
	for _, u := range used {
		total += u.between(from, to)
	}
	return total
}

// between returns the part of the usage between two moments.
func (u *usage) between(from, to time.Time) float64 {
	length := u.to.Sub(u.from)
	if length <= 0 {
		if u.from.Before(from) || u.from.After(to) {
			return 0
		}
		return u.coreSeconds
	}
	begin, end := u.from, u.to
	if begin.Before(from) {
		begin = from
	}
	if end.After(to) {
		end = to
	}
	return u.coreSeconds * duration(begin, end).Seconds() / length.Seconds()
}
