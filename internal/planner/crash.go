package planner

import (
	"time"

	"clementineflow/internal/job"
	"clementineflow/internal/wire"
)

const (
	// startCrashWindow is the age up to which a run counts as just started when its worker crashes. A task that
	// crashes its workers does so as it starts; the agent notices the crash with the next call.
	startCrashWindow = 250 * time.Millisecond
	// maxCrashesAlone is the number of crashes blamed on a task at which its job is given up if at the latest one no run
	// of another job had just started.
	maxCrashesAlone = 2
	// maxCrashesBlamed is the number at which it is given up in any case.
	maxCrashesBlamed = 3
	// maxCrashes is the number of crashes, blamed on it or not, at which the job of a task that ends is given up.
	maxCrashes = 5
)

// crashedRun is a run that ended with its worker and was not counted yet.
type crashedRun struct {
	ref
	ageMillis   int64
	justStarted bool
	blamed      bool
}

// handleCrash counts the crash of a worker for the tasks that ran on it, and gives up the jobs of those that keep
// crashing workers. It does not release the runs: a start order may have reached the next incarnation of the worker.
func (p *Planner) handleCrash(agentName string, crash *wire.WorkerCrash) {
	runs := p.crashedRuns(agentName, crash)
	if len(runs) == 0 {
		return
	}
	if a := p.agents[agentName]; a != nil {
		a.crashes.add(crash, p.now)
	}
	blamed, alone := blame(runs)
	p.log("worker crashed", "agent", agentName, "worker", crash.WorkerID, "runs", len(runs), "blamed", blamed, "alone", alone)
	for _, r := range runs {
		p.countCrash(r, alone)
	}
}

// crashedRuns returns the runs of a crash that are still assigned to the crashed incarnation and were not counted yet.
func (p *Planner) crashedRuns(agentName string, crash *wire.WorkerCrash) []crashedRun {
	incarnation := job.WorkerIncarnation{Agent: agentName, ID: crash.WorkerID, Incarnation: crash.Incarnation}
	var runs []crashedRun
	for _, row := range crash.Runs {
		r, ok := p.findTask(row.Task)
		if !ok || r.entry.progress.State.Final() {
			continue
		}
		task := r.task()
		current := task.Phase == job.PhaseAssigned && task.Worker == incarnation && task.Run == row.Run
		if !current || r.crashes().LastRun == row.Run {
			continue
		}
		justStarted := row.AgeMillis >= 0 && row.AgeMillis <= startCrashWindow.Milliseconds()
		runs = append(runs, crashedRun{ref: r, ageMillis: row.AgeMillis, justStarted: justStarted})
	}
	return runs
}

// blame marks the runs that may have crashed their worker: those that had just started. If there are none, nothing
// tells a task that crashes its workers from one that was there by chance, and no run is blamed. It returns the number
// of blamed runs, and whether they are of a single job.
func blame(runs []crashedRun) (blamed int, alone bool) {
	jobs := map[*entry]bool{}
	for i := range runs {
		if runs[i].justStarted {
			runs[i].blamed = true
			jobs[runs[i].entry] = true
			blamed++
		}
	}
	return blamed, len(jobs) == 1
}

// countCrash counts a crash for one of the runs that it ended. A long-running task runs until it is cancelled, so its job
// is not given up; a blamed one starts alone from then on.
func (p *Planner) countCrash(r crashedRun, alone bool) {
	if r.entry.progress.State.Final() || r.definition().LongRunning && !r.blamed {
		return
	}
	crashes := r.crashes()
	crashes.LastRun = r.task().Run
	crashes.Total++
	if r.blamed {
		crashes.Blamed++
		r.run().crashedOn = r.task().Worker.Agent
		p.log("crash blamed on task", "task", r.name(), "run", crashes.LastRun, "age_ms", r.ageMillis,
			"crashes", crashes.Total, "blamed", crashes.Blamed)
	}
	r.entry.progress.SetCrashes(crashes)
	p.markDirty(r.entry)
	if !r.definition().LongRunning && tooManyCrashes(crashes, r.blamed && alone) {
		p.log("job given up", "job", r.entry.spec.ID, "task", r.name(), "crashes", crashes.Total, "blamed", crashes.Blamed)
		p.finishJob(r.entry, job.StateFailed)
	}
}

// tooManyCrashes reports whether a task with these crashes is given up. alone is set if nothing but its own job can
// have caused the latest one.
func tooManyCrashes(crashes job.TaskCrashes, alone bool) bool {
	return alone && crashes.Blamed >= maxCrashesAlone || crashes.Blamed >= maxCrashesBlamed || crashes.Total >= maxCrashes
}
