package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/job"
	"clementineflow/internal/resource"
	"clementineflow/internal/wire"
)

// reportAllAtWork reports all runs of all workers at work, as agents do each second.
func reportAllAtWork(p *Planner) {
	for _, a := range p.workers {
		report := &wire.RunProgress{WorkerID: a.incarnation.ID, Incarnation: a.incarnation.Incarnation}
		for r := range p.runsByIncarnation[a.incarnation] {
			report.Runs = append(report.Runs, wire.RunRow{Task: r.name(), Run: r.task().Run, ProgressPercent: fullPercent})
		}
		p.HandleRunProgress(a.name, report)
	}
}

// TestBlamedLongRunningTasksRunAgainInTime guards against long-running tasks that stand still beside free capacity because
// they start one after the other, alone, once a worker has crashed soon after they started there.
func TestBlamedLongRunningTasksRunAgainInTime(t *testing.T) {
	for name, c := range map[string]struct{ workers, tasks int }{
		"one worker with room":   {1, 24},
		"many workers with room": {12, 70},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newTestPlanner(c.workers)
			addJob(p, "watch", "q", job.Step{
				Count: c.tasks, LongRunning: true, Image: "x", LatencyTarget: 50 * time.Millisecond, Need: resource.Quantity{MilliCPU: 30},
			})
			commit(p)
			is.True(crashUnder(p, "watch.0.0.0", func(string) time.Duration { return 10 * time.Millisecond }))
			for range restartBound / time.Second {
				advance(p, time.Second)
				reportAllAtWork(p)
			}
			is.Equal(waitingTasks(p, "watch", c.tasks), 0)
		})
	}
}

// TestBlamedLongRunningTasksPreferSoundWorkers guards against blamed long-running tasks that are placed on a worker on which
// runs fail, since it has the fewest runs, while a sound worker has room.
func TestBlamedLongRunningTasksPreferSoundWorkers(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(2)
	addJob(p, "watch", "q", job.Step{Count: 8, LongRunning: true, Need: resource.Quantity{MilliCPU: 30}})
	commit(p)
	for i := range 2 {
		crashWorker(p, i, func(string) time.Duration { return 10 * time.Millisecond })
	}
	suspected := p.agents[agentName(0)]
	suspected.failuresInRow, suspected.suspectEnds = suspectAfter, p.now+time.Minute
	for range 10 {
		advance(p, time.Second)
		reportAllAtWork(p)
	}
	for index := range 8 {
		task, _ := p.Task(fmt.Sprintf("watch.0.0.%d", index))
		is.Equal(task.Worker.Agent, agentName(1))
	}
}
