package planner

import (
	"testing"

	"pgregory.net/rapid"

	"clementineflow/internal/job"
	"clementineflow/internal/store"
	"clementineflow/internal/wire"
)

// storedRecord is a record in a fakeStore.
type storedRecord struct {
	revision store.Revision
	progress *job.Progress
}

// fakeStore holds the records that commits have written.
type fakeStore struct {
	revision store.Revision
	records  map[string]storedRecord
}

// write applies a commit and reports whether its conditions were met.
func (s *fakeStore) write(t *rapid.T, c *Commit) bool {
	for _, record := range c.Records {
		if s.records[record.Job].revision != record.Revision {
			return false
		}
	}
	s.revision++
	for _, record := range c.Records {
		progress, err := job.DecodeProgress(record.Value)
		if err != nil {
			t.Fatal(err)
		}
		s.records[record.Job] = storedRecord{s.revision, progress}
	}
	return true
}

// task returns the stored record of a task.
func (s *fakeStore) task(t *rapid.T, name string) (job.Task, bool) {
	parsed, err := job.ParseTaskName(name)
	if err != nil {
		t.Fatal(err)
	}
	record, ok := s.records[parsed.Job]
	if !ok {
		return job.Task{}, false
	}
	return record.progress.Steps[parsed.Step][parsed.Index], true
}

// commitSimulation simulates a region whose commits end in any order and with any outcome.
type commitSimulation struct {
	*simulatedRegion
	store    fakeStore
	inFlight []*Commit
	// delayed holds commits that were reported as failed but may still be written.
	delayed []*Commit
}

// TestCommitsInFlightEndInAnyOrder guards against a start order before its assignment is stored, an end that is
// confirmed before it is stored, and a record that overwrites a newer one, while several commits are in flight
// and some are refused, lose their responses or are written late.
func TestCommitsInFlightEndInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simulation := &commitSimulation{simulatedRegion: newSimulatedRegion(6), store: fakeStore{records: map[string]storedRecord{}}}
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			simulation.now += regionStep
			simulation.planner.Advance(simulation.now)
			simulation.submitDueJobs(100)
			simulation.endRuns()
			if rapid.Bool().Draw(t, "repeat") {
				simulation.repeatEnds()
			}
			simulation.reportProgress()
			simulation.startCommits(rapid.IntRange(0, 3).Draw(t, "begin"))
			for len(simulation.inFlight) > 0 && rapid.Bool().Draw(t, "end") {
				simulation.endRandomCommit(t)
			}
			simulation.applyOrders(t)
		}
		simulation.finishAllCommits(t)
	})
}

// repeatEnds reports the latest end on each worker again, as agents do without a confirmation.
func (c *commitSimulation) repeatEnds() {
	for _, a := range c.planner.workers {
		number := c.numbers[a.name]
		end, ok := c.ended[endKey{a.name, number}]
		if !ok {
			continue
		}
		c.planner.HandleRunsEnded(a.name, &wire.RunEnded{WorkerID: end.incarnation.ID, Incarnation: end.incarnation.Incarnation, Ends: []wire.EndRow{{
			Number: number, Task: end.task, Run: end.run, Outcome: uint8(job.OutcomeDone),
		}}})
	}
}

// startCommits starts at most count commits.
func (c *commitSimulation) startCommits(count int) {
	for range count {
		next := c.planner.NextCommit(entriesPerWrite, c.now.Milliseconds(), len(c.inFlight) > 0)
		if next.Empty() {
			return
		}
		c.inFlight = append(c.inFlight, next)
	}
}

// endRandomCommit ends a random commit in flight with a random outcome.
func (c *commitSimulation) endRandomCommit(t *rapid.T) {
	at := rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "commit")
	ended := c.inFlight[at]
	c.inFlight = append(c.inFlight[:at], c.inFlight[at+1:]...)
	unknown := func(string) (store.Revision, bool) { return 0, false }
	switch rapid.IntRange(0, 5).Draw(t, "outcome") {
	case 0: // not written
		c.planner.HandleCommitFailed(ended, unknown)
	case 1: // written, but the response is lost
		c.store.write(t, ended)
		c.planner.HandleCommitFailed(ended, unknown)
	case 2: // written later or never
		c.delayed = append(c.delayed, ended)
		c.planner.HandleCommitFailed(ended, unknown)
	default:
		c.finishCommit(t, ended)
	}
	if len(c.delayed) > 0 && rapid.Bool().Draw(t, "late") {
		c.store.write(t, c.delayed[0])
		c.delayed = c.delayed[1:]
	}
}

// finishCommit writes a commit, or reports its failure with the stored revisions.
func (c *commitSimulation) finishCommit(t *rapid.T, ended *Commit) {
	if c.store.write(t, ended) {
		c.planner.HandleCommitted(ended, c.store.revision)
		return
	}
	c.planner.HandleCommitFailed(ended, func(id string) (store.Revision, bool) { return c.store.records[id].revision, true })
}

// applyOrders checks the planner's orders against the stored records and applies them.
func (c *commitSimulation) applyOrders(t *rapid.T) {
	c.planner.TakeEvents()
	c.planner.TakeTimings()
	for _, order := range c.planner.TakeOrders() {
		switch message := order.Message.(type) {
		case *wire.StartRun:
			task, ok := c.store.task(t, message.Task)
			if !ok || task.Phase != job.PhaseAssigned || task.Run != message.Run || task.Worker.Agent != order.Agent {
				t.Fatalf("start of %s run %d on %s, but the store has %+v", message.Task, message.Run, order.Agent, task)
			}
			c.startRun(order.Agent, message)
		case *wire.ConfirmEnds:
			c.checkConfirmed(t, order.Agent, message)
		}
	}
}

// checkConfirmed checks that no run whose end is confirmed is still stored as assigned.
func (c *commitSimulation) checkConfirmed(t *rapid.T, agentName string, message *wire.ConfirmEnds) {
	for _, number := range message.Numbers {
		name, run := c.ended[endKey{agentName, number}].task, c.ended[endKey{agentName, number}].run
		task, _ := c.store.task(t, name)
		if task.Phase == job.PhaseAssigned && task.Run == run {
			t.Fatalf("end of %s run %d is confirmed, but the store has it as running", name, run)
		}
	}
}

// finishAllCommits writes all remaining commits and checks that the store and the planner agree.
func (c *commitSimulation) finishAllCommits(t *rapid.T) {
	for {
		c.startCommits(1)
		if len(c.inFlight) == 0 {
			break
		}
		c.finishCommit(t, c.inFlight[0])
		c.inFlight = c.inFlight[1:]
		c.applyOrders(t)
	}
	for id, e := range c.planner.jobs {
		stored, ok := c.store.records[id]
		if !ok {
			continue
		}
		for step := range e.progress.Steps {
			for index := range e.progress.Steps[step] {
				if e.progress.Steps[step][index] != stored.progress.Steps[step][index] {
					t.Fatalf("job %s: the store has %+v, the planner %+v", id, stored.progress.Steps[step][index], e.progress.Steps[step][index])
				}
			}
		}
	}
}
