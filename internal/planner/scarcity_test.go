package planner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/job"
	"clementineflow/internal/resource"
	"clementineflow/internal/urgency"
)

const (
	scarcityTask  = 2 * time.Second
	scarcityCores = 20
	// scarcityObjective is the objective of the queue "timed" for a job of one step.
	scarcityObjective = time.Second + 2*scarcityTask
)

// scarcity is a load on 20 cores, whose tasks take two seconds on one of them.
type scarcity struct {
	*loadSimulation
	// progressAt is when a task of each job last started or ended; progress counts these.
	progressAt map[string]time.Duration
	progress   map[string]int
	// longestWait is the longest time that a job was without progress, mostOpen the largest number of open jobs.
	longestWait time.Duration
	mostOpen    int
}

func newScarcity(order urgency.Order) *scarcity {
	p := newTestPlanner(scarcityCores / 4)
	p.options.Order = order
	return &scarcity{loadSimulation: newLoadSimulation(p, scarcityTask), progressAt: map[string]time.Duration{}, progress: map[string]int{}}
}

// play submits jobs of the steps in turn, each after the time in which the load's share of the cores does it.
func (s *scarcity) play(queue string, length time.Duration, load float64, steps ...job.Step) {
	p, next := s.planner, s.planner.now
	for end := p.now + length; p.now < end; p.Advance(p.now + loadStep) {
		if p.now >= next {
			step := steps[len(s.submittedAt)%len(steps)]
			id := fmt.Sprintf("job-%d", len(s.submittedAt))
			s.submittedAt[id], s.progressAt[id] = p.now, p.now
			addJob(p, id, queue, step)
			next += time.Duration(float64(step.Count) * float64(scarcityTask) / scarcityCores / load)
		}
		s.endDueTasks(scarcityObjective)
		s.startAssigned()
		s.measureWaits()
	}
}

func (s *scarcity) measureWaits() {
	open := 0
	for id, e := range s.planner.jobs {
		if len(e.steps) == 0 {
			continue // the job has ended and is released
		}
		progress := e.steps[0].done
		for _, task := range e.progress.Steps[0] {
			progress += int(task.Run)
		}
		if s.progress[id] != progress {
			s.progress[id], s.progressAt[id] = progress, s.planner.now
		}
		if !e.allDone() {
			open++
			s.longestWait = max(s.longestWait, s.planner.now-s.progressAt[id])
		}
	}
	s.mostOpen = max(s.mostOpen, open)
}

// bound returns how long a job may be without progress: the progress bound, and the time in which each open job is
// promoted once.
func (s *scarcity) bound(objective time.Duration) time.Duration {
	return max(8*time.Second, objective) + time.Duration(s.mostOpen)*8*scarcityTask/scarcityCores
}

var wideStep, smallStep = job.Step{Count: 20, Estimate: scarcityTask}, job.Step{Count: 4, Estimate: scarcityTask}

// TestNoJobIsLeftBehind guards against jobs that wait for as long as newer ones keep arriving, and against promotions
// that take more than their share from the jobs that can be in time. The loads are a burst, wrong estimates, and a
// tenth of large jobs.
func TestNoJobIsLeftBehind(t *testing.T) {
	low, high, largest := wideStep, wideStep, job.Step{Count: 100, Estimate: scarcityTask}
	low.Estimate, high.Estimate = scarcityTask/10, scarcityTask*19/10
	for name, load := range map[string]struct {
		factor, burst float64
		steps         []job.Step
	}{
		"burst":     {1, 2.6, []job.Step{wideStep}},
		"estimates": {1.3, 1.3, []job.Step{low, high}},
		"largest":   {1.2, 2.6, append(slices.Repeat([]job.Step{smallStep}, 9), largest)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newScarcity(urgency.ByCost)
			s.play("timed", 10*time.Second, load.factor, load.steps...)
			s.play("timed", 14*time.Second, load.burst, load.steps...)
			s.play("timed", 40*time.Second, load.factor*0.8, load.steps...)
			is.True(s.longestWait <= s.bound(time.Second+2*load.steps[len(load.steps)-1].Estimate))
			is.True(s.inTime[load.steps[0].Count] >= len(s.submittedAt)/2)
		})
	}
}

// TestNewerJobsDontStarveAnOlderOne guards against a job that waits behind 40 s of newer jobs, also if it is the
// largest of ten or its tasks need the room that several tasks of the others leave.
func TestNewerJobsDontStarveAnOlderOne(t *testing.T) {
	for name, older := range map[string]job.Step{
		"wide": {Count: 20}, "largest": {Count: 100}, "room": {Count: 20, Need: resource.Quantity{MilliCPU: 3500}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newScarcity(urgency.ByCost)
			s.play("timed", 8*time.Second, 1.1, smallStep)
			older.Estimate = scarcityTask
			s.play("timed", loadStep, 1, older)
			s.play("timed", 40*time.Second, 1.1, smallStep)
			is.True(s.longestWait <= s.bound(scarcityObjective))
			is.True(s.inTime[smallStep.Count] >= len(s.submittedAt)/2)
		})
	}
}

// TestOldJobsGetAnEighth guards against a large number of old jobs that takes all room from those that can be in time.
func TestOldJobsGetAnEighth(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(0)
	p.options.Order = urgency.ByCost
	for i := range 40 {
		addJob(p, fmt.Sprintf("old-%d", i), "timed", job.Step{Count: 1, Estimate: scarcityTask})
	}
	p.Advance(p.now + 20*time.Second)
	p.class("pool", 1).placedAt = p.now // a job of the same priority got a worker
	for i := range 40 {
		addJob(p, fmt.Sprintf("new-%d", i), "timed", job.Step{Count: 1, Estimate: scarcityTask})
		p.HandleReport(testReport(i / 4))
	}
	is.Equal(totalStarts(commit(p)), 40)
	is.Equal(p.TakePromotions().Progress, 40/8)
}

// TestNearlyDoneJobEnds guards against a wide step whose last tasks wait, when it is overdue, behind all jobs that
// arrive: the work of its other tasks is of no use then.
func TestNearlyDoneJobEnds(t *testing.T) {
	is := is.New(t)
	s := newScarcity(urgency.ByCost)
	s.play("timed", time.Second, 0.1, job.Step{Count: scarcityCores + 2, Estimate: scarcityTask})
	s.play("urgent", 6*time.Second, 2.6, smallStep)
	s.play("timed", 20*time.Second, 1.2, wideStep)
	is.True(s.planner.jobs["job-0"].allDone())
}

// TestStarvedPriorityGetsOnePlacement guards against a priority that waits for as long as a more urgent one takes all
// workers, against one that takes more than one placement from it, and against a job of it whose tasks fit nowhere: smaller
// tasks of a less urgent priority would take each core that becomes free.
func TestStarvedPriorityGetsOnePlacement(t *testing.T) {
	for _, step := range []job.Step{smallStep, {Count: 1, Estimate: scarcityTask, Need: resource.Quantity{MilliCPU: 3500}}} {
		is := is.New(t)
		s := newScarcity(urgency.ByCost)
		s.play("urgent", 4*time.Second, 1.2, smallStep)
		id := fmt.Sprintf("job-%d", len(s.submittedAt))
		s.play("timed", loadStep, 1, step)
		s.play("urgent", 24*time.Second-scarcityTask, 1.2, smallStep)
		is.Equal(s.progress[id], 0)
		s.play("urgent", 2*scarcityTask, 1.2, smallStep)
		if step.Need.MilliCPU == 0 {
			is.Equal(s.planner.TakePromotions(), Promotions{Priority: 1})
		}
		s.play("low", 30*time.Second, 1.3, job.Step{Count: 1, Estimate: scarcityTask})
		is.True(s.progress[id] >= 1)
		is.True(slices.ContainsFunc(s.planner.TakeEvents(), func(e Event) bool { return e.Message == "job promoted" && e.Fields[1] == id }))
	}
}

// newHeldPlanner returns a planner with one worker of four cores, two of them in use, that is held for a job of the step.
func newHeldPlanner(step job.Step) *Planner {
	p := newTestPlanner(1)
	p.options.Order = urgency.ByCost
	addJob(p, "using", "urgent", job.Step{Count: 2})
	commit(p)
	step.Need.MilliCPU = 3500
	addJob(p, "held", "timed", step)
	advance(p, minProgressBound)
	addJob(p, "low", "low", job.Step{Count: 1, Estimate: scarcityTask})
	advance(p, 2*retryInterval)
	return p
}

// TestHoldIsOfUse guards against a hold that keeps a long-running task of a less urgent priority off its worker, which would
// run 6 s late, also as the shape of "ends" is recorded as fitting nowhere; against none for a task that is suspected of a
// crash, which accepts the worker; and against one on a worker that may take no further task of the job.
func TestHoldIsOfUse(t *testing.T) {
	is := is.New(t)
	p := newHeldPlanner(job.Step{Count: 2, MaxPerWorker: 1, Estimate: scarcityTask})
	is.Equal(len(p.progress.holds), 1)
	addJob(p, "ends", "timed", job.Step{Count: 1, Estimate: scarcityTask, Need: resource.Quantity{MilliCPU: 400}})
	addJob(p, "lasts", "low", job.Step{Count: 1, LongRunning: true, Need: resource.Quantity{MilliCPU: 400}})
	commit(p)
	is.Equal(p.jobs["lasts"].assigned, 1)
	is.Equal(p.jobs["ends"].assigned, 0)

	p.Cancel("ends")
	p.jobs["held"].progress.SetCrashes(job.TaskCrashes{Blamed: 1, Total: 1})
	p.jobs["held"].runs[0][0].crashedOn = agentName(0)
	for i, name := range []string{"low.0.0.0", "using.0.0.0", "using.0.0.1"} {
		endTask(p, name, uint64(i+1))
	}
	advance(p, time.Second)
	is.Equal(p.jobs["held"].progress.Steps[0][0].Phase, job.PhaseAssigned)
	advance(p, minProgressBound)
	p.class("pool", 1).placedAt, p.progress.ordinaryDue = p.now, 0
	advance(p, retryInterval)
	is.Equal(len(p.progress.holds), 0)
}

// TestHoldsTakeTurns guards against a job that takes each hold of its priority although the held worker does not come free
// for it: other jobs, and other workers, would never get their turn.
func TestHoldsTakeTurns(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(2)
	p.options.Order = urgency.ByCost
	addJob(p, "using", "urgent", job.Step{Count: 2, Need: resource.Quantity{MilliCPU: 3000}})
	commit(p)
	for _, id := range []string{"first", "second"} {
		addJob(p, id, "timed", job.Step{Count: 1, Estimate: scarcityTask, Need: resource.Quantity{MilliCPU: 3500}})
		advance(p, time.Second)
	}
	var held []string
	for range 4 {
		p.class("pool", 2).placedAt, p.progress.ordinaryDue = p.now, 0
		advance(p, holdPeriod+loadStep)
		for _, h := range p.progress.holds {
			held = append(held, h.entry.spec.ID+" "+h.agent.name)
		}
	}
	is.Equal(held, []string{"first agent-0", "second agent-1", "first agent-0", "second agent-1"})
}

// TestReleasesAreNoProgress guards against a job that is never owed progress because its assignments end before they do
// anything, here as they are withdrawn or stopped.
func TestReleasesAreNoProgress(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(1)
	p.options.Order = urgency.ByCost
	addJob(p, "old", "timed", job.Step{Count: 1, Estimate: scarcityTask})
	commit(p)
	began := p.now
	advance(p, 6*time.Second)
	p.sendStop(ref{p.jobs["old"], 0, 0})
	endRun(p, "old.0.0.0", job.OutcomeStopped)
	p.Advance(began + minProgressBound)
	p.class("pool", 1).placedAt = p.now
	is.True(p.owedProgress(p.jobs["old"]))
	is.True(!p.NextCommit(20, 0, false).Empty())
	is.True(!p.owedProgress(p.jobs["old"])) // its start is about to be ordered
	p.releaseTask(ref{p.jobs["old"], 0, 0})
	is.True(p.owedProgress(p.jobs["old"]))
}
