package losses

import (
	"cmp"
	"slices"
	"time"
)

// Bound tells how many jobs of a queue any order could have brought to their end in time with the processor time that
// the queue's runs got at each moment.
//
// It is an upper bound for a planner that knows all jobs in advance: jobs are taken as divisible work that can use any
// processor at any time between submission and objective, so that the widths of steps, their dependencies, placement
// and failed runs cost nothing. It says nothing about more or less room for the queue.
type Bound struct {
	// Jobs and Work are what was asked of jobs with an objective that were not cancelled.
	Jobs int           `json:"jobs" yaml:"jobs"`
	Work time.Duration `json:"work" yaml:"work"`
	// InTime and InTimeWork are what was done in time.
	InTime     int           `json:"in_time" yaml:"in_time"`
	InTimeWork time.Duration `json:"in_time_work" yaml:"in_time_work"`
	// MaxInTime and MaxInTimeWork are the bounds. A part of a job counts in proportion.
	MaxInTime     float64       `json:"max_in_time" yaml:"max_in_time"`
	MaxInTimeWork time.Duration `json:"max_in_time_work" yaml:"max_in_time_work"`
}

// window is the work of one job and the time in which it can be done in time.
type window struct {
	from, to time.Time
	work     float64
}

// Bound returns the bound of a queue.
func (c *Collector) Bound(queue string) Bound {
	var b Bound
	var windows []window
	var used []usage
	for _, j := range c.order {
		if j.Queue != queue {
			continue
		}
		used = append(used, j.usages()...)
		if j.Objective == 0 || j.Work == 0 || j.Result() == ResultCancelled {
			continue
		}
		b.addJob(j)
		windows = append(windows, window{from: j.Submitted, to: j.Submitted.Add(j.Objective), work: j.Work.Seconds()})
	}
	b.MaxInTime, b.MaxInTimeWork = maxInTime(windows, used)
	return b
}

// addJob adds a job to what was asked and done.
func (b *Bound) addJob(j *Job) {
	b.Jobs++
	b.Work += j.Work
	if j.Result() == ResultInTime {
		b.InTime++
		b.InTimeWork += j.Work
	}
}

// maxInTime returns the largest number of jobs, and the most work, that fit into their windows with the used processor
// time. Taking the jobs with the least work first is optimal for both, as work that fits into windows of time forms a
// polymatroid.
func maxInTime(windows []window, used []usage) (float64, time.Duration) {
	slices.SortFunc(windows, func(x, y window) int { return cmp.Compare(x.work, y.work) })
	table := newIntervals(windows, used)
	count, total := 0.0, 0.0
	for _, w := range windows {
		fits := table.add(w)
		count += fits / w.work
		total += fits
	}
	return count, time.Duration(total * float64(time.Second))
}

// intervals holds, for each interval from the start of a window to the end of one, the processor time that is not taken
// by windows inside it.
type intervals struct {
	starts, ends []time.Time
	left         [][]float64
}

func newIntervals(windows []window, used []usage) *intervals {
	t := &intervals{}
	for _, w := range windows {
		t.starts, t.ends = append(t.starts, w.from), append(t.ends, w.to)
	}
	slices.SortFunc(t.starts, time.Time.Compare)
	slices.SortFunc(t.ends, time.Time.Compare)
	t.left = make([][]float64, len(t.starts))
	for i, start := range t.starts {
		t.left[i] = make([]float64, len(t.ends))
		for k, end := range t.ends {
			t.left[i][k] = usedBetween(used, start, end)
		}
	}
	return t
}

// add places as much work of a window as fits and returns it in core-seconds. By Hall's condition, that is what is left
// in each interval that contains the window.
func (t *intervals) add(w window) float64 {
	fits := w.work
	t.forContaining(w, func(left *float64) { fits = min(fits, max(0, *left)) })
	t.forContaining(w, func(left *float64) { *left -= fits })
	return fits
}

// forContaining calls f for each interval that contains the window.
func (t *intervals) forContaining(w window, f func(left *float64)) {
	for i, start := range t.starts {
		for k, end := range t.ends {
			if !start.After(w.from) && !end.Before(w.to) {
				f(&t.left[i][k])
			}
		}
	}
}
