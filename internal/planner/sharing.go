package planner

import (
	"slices"
	"time"

	"clementineflow/internal/interference"
	"clementineflow/internal/job"
	"clementineflow/internal/wire"
)

const (
	// moveAfter is how long a filler is held back before it is moved to a better worker.
	moveAfter = 900 * time.Millisecond
	// moveGain is how much more headroom the worker must have that a filler is moved to.
	moveGain = 0.1
	// losablePercent is up to how much of its work a filler without checkpoints is moved.
	losablePercent = 25
)

// noteSharing takes in what an agent learned, and moves fillers that are held back for long.
func (p *Planner) noteSharing(a *agent, report *wire.RunProgress) {
	for _, row := range report.Pressures {
		p.pressures.note(a.name, row)
	}
	for _, row := range report.Loads {
		if r, ok := p.find(row.Task); ok {
			r.run().load = float64(row.Load)
		}
	}
	if len(report.Loads) > 0 || len(report.Pressures) > 0 {
		a.neighbours.stale = true
		p.changes.touch(a)
	}
	for i := range report.Held {
		p.considerMove(a, &report.Held[i])
	}
}

// headroom returns how much of the shared resource the tightest run with a latency target on the worker
// would have left beside one more filler of the step. It is negative if the filler would have to be held
// back.
func (p *Planner) headroom(filler *job.Step, a *agent) float64 {
	tightest := aimedUsage
	for _, serving := range p.neighboursOf(a).serving {
		tightest = min(tightest, serving.left-p.pressureOf(serving.image, filler, a))
	}
	return tightest
}

// headroomNow returns how much of the shared resource the tightest run with a latency target on the worker
// has left beside the fillers there.
func (p *Planner) headroomNow(a *agent) float64 {
	tightest := aimedUsage
	for _, serving := range p.neighboursOf(a).serving {
		tightest = min(tightest, serving.left)
	}
	return tightest
}

// pressureOf returns the expected pressure of a filler on runs of an image on the agent's worker.
func (p *Planner) pressureOf(image string, filler *job.Step, a *agent) float64 {
	return p.pressures.expected(image, filler.Image) * interference.Parts(filler.Need.MilliCPU, a.capacity.MilliCPU)
}

// pressureRows returns what is known of how a filler presses the runs on a worker.
func (p *Planner) pressureRows(r ref, a *agent) []wire.PressureRow {
	var rows []wire.PressureRow
	for _, serving := range p.neighboursOf(a).serving {
		if row, ok := p.pressures.row(serving.image, r.definition().Image); ok {
			rows = append(rows, row)
		}
	}
	return rows
}

// considerMove stops a filler that has been held back for long if another worker suits it better. It
// resumes there from its checkpoint.
func (p *Planner) considerMove(a *agent, row *wire.HeldRow) {
	r, ok := p.find(row.Task)
	if !ok || row.Millis < moveAfter.Milliseconds() {
		return
	}
	task := r.task()
	if task.Phase != job.PhaseAssigned || task.Worker != a.life || task.Run != row.Run || r.run().stopping {
		return
	}
	if !r.definition().Checkpoints && r.run().percent > losablePercent {
		return
	}
	if r.definition().Lasting && r.definition().MaxUnavailable > 0 {
		return
	}
	better := p.optionsFor(r.entry, r.step, p.workers, false).best(r)
	if better == nil || better.agent == a || better.headroom < p.headroomNow(a)+moveGain {
		return
	}
	p.log("filler moves", "task", row.Task, "from", a.name, "to_about", better.agent.name, "held_ms", row.Millis)
	r.run().avoid = a.name
	p.stop(r)
}

// Neighbours returns the images on the agent's worker, for tests and the operators' tool.
func (p *Planner) Neighbours(agentName string) []string {
	var images []string
	for life, held := range p.lives {
		if life.Agent != agentName {
			continue
		}
		for r := range held {
			images = append(images, r.definition().Image)
		}
	}
	slices.Sort(images)
	return images
}
