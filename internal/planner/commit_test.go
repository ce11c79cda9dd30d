package planner

import (
	"testing"

	"pgregory.net/rapid"

	"clementineflow/internal/job"
	"clementineflow/internal/store"
	"clementineflow/internal/wire"
)

// storedRecord is a record in a pretended store.
type storedRecord struct {
	revision store.Revision
	progress *job.Progress
}

// pretendedStore holds the records that commits have written.
type pretendedStore struct {
	revision store.Revision
	records  map[string]storedRecord
}

// write applies a commit if its conditions hold.
func (s *pretendedStore) write(t *rapid.T, c *Commit) bool {
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
func (s *pretendedStore) task(t *rapid.T, name string) (job.Task, bool) {
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

// commitPlay plays commits that end in any order, with any outcome, against a region.
type commitPlay struct {
	*simulatedRegion
	store    pretendedStore
	inFlight []*Commit
	// late holds commits without an answer that may still be written.
	late []*Commit
}

// TestCommitsInFlightEndInAnyOrder guards against a start before its assignment is stored, an end that is
// confirmed before it is stored, and a record that overwrites another, when several commits are in flight,
// are refused, lose their answers or are carried out late.
func TestCommitsInFlightEndInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		play := &commitPlay{simulatedRegion: newSimulatedRegion(6), store: pretendedStore{records: map[string]storedRecord{}}}
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			play.now += regionStep
			play.planner.Advance(play.now)
			play.handInDue(100)
			play.endRuns()
			if rapid.Bool().Draw(t, "repeat") {
				play.repeatEnds()
			}
			play.reportProgress()
			play.begin(rapid.IntRange(0, 3).Draw(t, "begin"))
			for len(play.inFlight) > 0 && rapid.Bool().Draw(t, "end") {
				play.end(t)
			}
			play.carryOut(t)
		}
		play.settle(t)
	})
}

// repeatEnds reports the latest end on each worker again, as agents do that have got no confirmation.
func (c *commitPlay) repeatEnds() {
	for _, a := range c.planner.workers {
		number := c.numbers[a.name]
		end, ok := c.ended[endKey{a.name, number}]
		if !ok {
			continue
		}
		c.planner.Ended(a.name, &wire.RunEnded{WorkerID: end.life.ID, Born: end.life.Born, Ends: []wire.EndRow{{
			Number: number, Task: end.task, Run: end.run, Outcome: uint8(job.OutcomeDone),
		}}})
	}
}

// begin starts at most count commits.
func (c *commitPlay) begin(count int) {
	for range count {
		next := c.planner.NextCommit(entriesPerWrite, c.now.Milliseconds(), len(c.inFlight) > 0)
		if next.Empty() {
			return
		}
		c.inFlight = append(c.inFlight, next)
	}
}

// end ends a random commit in flight in a random way.
func (c *commitPlay) end(t *rapid.T) {
	at := rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "commit")
	ended := c.inFlight[at]
	c.inFlight = append(c.inFlight[:at], c.inFlight[at+1:]...)
	unknown := func(string) (store.Revision, bool) { return 0, false }
	switch rapid.IntRange(0, 5).Draw(t, "outcome") {
	case 0: // not written
		c.planner.Failed(ended, unknown)
	case 1: // written, the answer is lost
		c.store.write(t, ended)
		c.planner.Failed(ended, unknown)
	case 2: // written later, if at all
		c.late = append(c.late, ended)
		c.planner.Failed(ended, unknown)
	default:
		c.answer(t, ended)
	}
	if len(c.late) > 0 && rapid.Bool().Draw(t, "late") {
		c.store.write(t, c.late[0])
		c.late = c.late[1:]
	}
}

// answer writes a commit, or refuses it with what is stored.
func (c *commitPlay) answer(t *rapid.T, ended *Commit) {
	if c.store.write(t, ended) {
		c.planner.Committed(ended, c.store.revision)
		return
	}
	c.planner.Failed(ended, func(id string) (store.Revision, bool) { return c.store.records[id].revision, true })
}

// carryOut checks the orders against what is stored, and carries them out.
func (c *commitPlay) carryOut(t *rapid.T) {
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

// checkConfirmed makes sure that no stored run is on the worker under a number that is confirmed as ended.
func (c *commitPlay) checkConfirmed(t *rapid.T, agentName string, message *wire.ConfirmEnds) {
	for _, number := range message.Numbers {
		name, run := c.ended[endKey{agentName, number}].task, c.ended[endKey{agentName, number}].run
		task, _ := c.store.task(t, name)
		if task.Phase == job.PhaseAssigned && task.Run == run {
			t.Fatalf("end of %s run %d is confirmed, but the store has it as running", name, run)
		}
	}
}

// settle lets all commits be written and makes sure that the store has what the planner has.
func (c *commitPlay) settle(t *rapid.T) {
	for {
		c.begin(1)
		if len(c.inFlight) == 0 {
			break
		}
		c.answer(t, c.inFlight[0])
		c.inFlight = c.inFlight[1:]
		c.carryOut(t)
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
