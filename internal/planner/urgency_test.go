package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/job"
	"clementineflow/internal/wire"
)

// load plays jobs that come at a steady rate against the planner.
type load struct {
	planner *Planner
	// duration is that of each task.
	duration time.Duration
	handedIn map[string]time.Duration
	// ends holds when each running task ends.
	ends   map[string]time.Duration
	number uint64
	inTime int
}

const loadStep = 100 * time.Millisecond

func newLoad(p *Planner, duration time.Duration) *load {
	return &load{planner: p, duration: duration, handedIn: map[string]time.Duration{}, ends: map[string]time.Duration{}}
}

// play hands in a job each interval for the given time and counts those that are done in time.
func (l *load) play(length, interval time.Duration, step job.Step, objective time.Duration) {
	p := l.planner
	began := p.now
	for next := began; p.now < began+length; p.Advance(p.now + loadStep) {
		if p.now >= next {
			id := fmt.Sprintf("job-%d", len(l.handedIn))
			l.handedIn[id] = p.now
			add(p, id, "timed", step)
			next += interval
		}
		l.finish(objective)
		l.start()
	}
}

// start takes in the starts that the planner has ordered.
func (l *load) start() {
	commit(l.planner)
	for _, e := range l.planner.active {
		for index := range e.progress.Steps[0] {
			r := ref{e, 0, index}
			if _, known := l.ends[r.name()]; !known && r.task().Phase == job.PhaseAssigned {
				l.ends[r.name()] = l.planner.now + l.duration
			}
		}
	}
}

// finish ends the tasks whose time has come.
func (l *load) finish(objective time.Duration) {
	p := l.planner
	for name, at := range l.ends {
		task, _ := p.Task(name)
		if task.Phase != job.PhaseAssigned || p.now < at {
			continue
		}
		l.number++
		p.Ended(task.Worker.Agent, &wire.RunEnded{WorkerID: task.Worker.ID, Born: 1, Ends: []wire.EndRow{{
			Number: l.number, Task: name, Run: task.Run, Outcome: uint8(job.OutcomeDone),
		}}})
		r, _ := p.find(name)
		if r.entry.progress.AllDone() && p.now-l.handedIn[r.entry.spec.ID] <= objective {
			l.inTime++
		}
	}
	p.Tick()
}

// TestOverloadServesWhatCanBeInTime guards against a queue in which everyone waits until it is too late: with
// twice the work that the workers can do, the order of arrival makes all jobs but the first few late.
func TestOverloadServesWhatCanBeInTime(t *testing.T) {
	is := is.New(t)
	const (
		duration  = 2 * time.Second
		interval  = 500 * time.Millisecond
		length    = 60 * time.Second
		objective = 2*duration + time.Second
	)
	l := newLoad(plan(1), duration)
	// Four cores do one job of two tasks of two seconds each second.
	l.play(length, interval, job.Step{Count: 2, Estimate: duration}, objective)
	possible := int(length / time.Second)
	is.Equal(len(l.handedIn), 2*possible)
	is.True(l.inTime >= possible*8/10) // in the order of arrival it is less than a sixth
}

// TestUrgencyOfAJob guards against a late job that holds the room of one that can still be in time, and
// against a job that has begun being left for one that has not.
func TestUrgencyOfAJob(t *testing.T) {
	is := is.New(t)
	p := plan(1)
	hand := func(id string, age time.Duration) *entry {
		p.AddJob(&job.Spec{ID: id, Queue: "timed", Service: "pool", Steps: []job.Step{
			{Count: 1, Estimate: 2 * time.Second}, {Count: 1, Estimate: 2 * time.Second, After: []int{0}},
		}}, nil, 0, age)
		return p.jobs[id]
	}
	p.Advance(time.Minute)
	// The objective of a chain of 4 s is 9 s.
	is.Equal(p.rank(hand("new", 0)).urgency, urgencyInTime)
	is.Equal(p.rank(hand("late", 8*time.Second)).urgency, urgencyLate)
	is.Equal(p.rank(hand("overdue", 30*time.Second)).urgency, urgencyOverdue)
	begun := hand("begun", 6*time.Second)
	begun.startedAny = true
	begun.progress.Steps[0][0].Phase = job.PhaseDone
	is.Equal(p.rank(begun).urgency, urgencyBegun)
}

// TestDurationsAreLearned guards against declared durations that are far off deciding who is in time.
func TestDurationsAreLearned(t *testing.T) {
	is := is.New(t)
	table := durationTable{}
	is.Equal(table.expect("q", time.Minute), time.Minute)
	for range trustedRuns {
		table.note("q", 2*time.Second)
	}
	is.True(table.expect("q", time.Minute) < 5*time.Second)
	is.True(table.expect("q", 0).Round(time.Millisecond) == 2*time.Second)
}
