package entry

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"clementineflow/internal/configuration"
	"clementineflow/internal/shard"
	"clementineflow/internal/standin/worker"
	"clementineflow/internal/task"
)

// zoneBound is how long after an accepted change a task may still start in the zone.
const zoneBound = 5 * time.Second

// run is one execution with the worker that it ran on.
type run struct {
	worker.Execution
	worker, zone string
}

// runs returns every execution of each task, in the order of their starts.
func (c *cluster) runs() map[string][]run {
	all := map[string][]run{}
	for _, v := range c.vms {
		for _, state := range v.states() {
			for _, execution := range state.Executions {
				all[execution.TaskID] = append(all[execution.TaskID], run{execution, v.name, v.zone})
			}
		}
	}
	for _, executions := range all {
		slices.SortFunc(executions, func(a, b run) int { return a.StartedAt.Compare(b.StartedAt) })
	}
	return all
}

func (r run) String() string {
	return fmt.Sprintf("%s attempt %d on %s (%s) %s..%s %s done %d..%d", r.TaskID, r.Attempt, r.worker, r.zone,
		r.StartedAt.UTC().Format("04:05.000"), r.StoppedAt.UTC().Format("04:05.000"), r.Ending, r.DoneMillisAtStart, r.DoneMillis)
}

// check verifies what must hold at any time against the runtimes' records.
func (h *history) check() {
	h.checkCapacity()
	for id, executions := range h.cluster.runs() {
		h.checkRuns(h.operators.isNonIdempotent(id), executions)
		for _, execution := range executions {
			h.checkZone(execution)
		}
	}
	h.checkRevisions()
}

func (h *history) checkCapacity() {
	for _, v := range h.cluster.vms {
		for _, state := range v.states() {
			if !state.PeakSize.FitsIn(state.Capacity) {
				h.failf("capacity: %s held %+v of %+v", v.name, state.PeakSize, state.Capacity)
			}
		}
	}
}

// checkRuns compares the executions of one task with each other.
func (h *history) checkRuns(nonIdempotent bool, executions []run) {
	for i := 1; i < len(executions); i++ {
		last, next := executions[i-1], executions[i]
		if last.StoppedAt.IsZero() || last.StoppedAt.After(next.StartedAt) {
			h.failf("overlap: %v and %v", last, next)
		}
		checkpointed := last.Ending == "evicted" || last.Ending == "lease"
		resumed := checkpointed && next.DoneMillisAtStart == last.DoneMillis
		// A failed attempt and a lost one resume from the same checkpoint as they did.
		repeated := last.Ending != "evicted" && next.DoneMillisAtStart == last.DoneMillisAtStart
		lost := h.disturbed(last.StartedAt, next.StartedAt) && next.DoneMillisAtStart == last.DoneMillisAtStart
		if !resumed && !repeated && !lost {
			h.failf("checkpoint: %v, then %v", last, next)
		}
		if nonIdempotent && !resumed && last.Ending != "failed" {
			h.failf("non-idempotent: %v, then %v", last, next)
		}
	}
}

// disturbed reports whether a fault may have made a worker lost between two times. A fault of the store
// or of an entry may concern any worker.
func (h *history) disturbed(from, to time.Time) bool {
	return slices.ContainsFunc(h.faulty, func(i interval) bool {
		return i.from.Before(to) && (i.to.IsZero() || i.to.Add(faultAftermath).After(from))
	})
}

// checkZone verifies that no task starts late in a zone that is out of service.
func (h *history) checkZone(r run) {
	o := h.operators
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, out := range o.changes {
		if out.zone != r.zone || !out.out || out.ended.IsZero() || out.err != nil || !r.StartedAt.After(out.ended.Add(zoneBound)) {
			continue
		}
		back := slices.ContainsFunc(o.changes, func(in *change) bool {
			unknown := in.ended.IsZero() || in.err != nil
			return in.zone == r.zone && !in.out && (unknown || in.revision > out.revision) && in.called.Before(r.StartedAt)
		})
		if !back {
			h.failf("zone: out at %s, but %v", out.ended.UTC().Format("04:05.000"), r)
		}
	}
}

// checkRevisions verifies that the revision of no process falls. An agent's revision is what it states
// to each entry.
func (h *history) checkRevisions() {
	for _, m := range h.cluster.members {
		if document := m.entry.follower.Document(); document != nil {
			h.noFall(m.name+m.entry.member.Self().Incarnation, document.Revision)
		}
		for _, view := range m.entry.hub.Views() {
			h.noFall(m.entry.member.Self().Incarnation+view.Name+view.Incarnation, view.Revision)
		}
	}
}

func (h *history) noFall(name string, revision uint64) {
	if revision < h.revisions[name] {
		h.failf("revision: %s fell from %d to %d", name, h.revisions[name], revision)
	}
	h.revisions[name] = revision
}

// checkChanges verifies that accepted changes are in the final document, that refused ones are not, and
// that changes and reads are linearizable.
func (h *history) checkChanges() {
	final := h.cluster.document()
	listed := map[string]uint64{}
	for _, each := range final.Changes {
		listed[each.RequestID] = each.Revision
	}
	var operations []porcupine.Operation
	for _, c := range h.operators.changes {
		revision, applied := listed[c.requestID]
		if c.err == nil && (!applied || revision != c.revision) {
			h.failf("configuration: change %s was accepted as revision %d and is listed as %d", c.requestID, c.revision, revision)
		}
		if c.err != nil && applied && !unknownOutcome(c.err) {
			h.failf("configuration: change %s was refused (%v) and is listed as %d", c.requestID, c.err, revision)
		}
		if !applied {
			continue
		}
		done := c.doneAt
		if c.err != nil {
			done = math.MaxInt64
		}
		operations = append(operations, porcupine.Operation{
			Input: registerInput{c.requestID, true}, Output: register{revision, c.requestID}, Call: c.calledAt, Return: done,
		})
	}
	for _, r := range h.operators.reads {
		operations = append(operations, porcupine.Operation{
			Input: registerInput{}, Output: register{r.revision, r.requestID}, Call: r.calledAt, Return: r.doneAt,
		})
	}
	for i := range operations {
		operations[i].ClientId = i
	}
	if !porcupine.CheckOperations(registerModel, operations) {
		h.failf("configuration: changes and reads are not linearizable: %+v", operations)
	}
	for _, m := range h.cluster.members {
		if document := m.entry.follower.Document(); document == nil || document.Revision != final.Revision {
			h.failf("configuration: entry %s does not have revision %d", m.name, final.Revision)
		}
		for _, view := range m.entry.hub.Views() {
			if view.Revision != final.Revision {
				h.failf("configuration: %s knows worker %s at revision %d of %d", m.name, view.Name, view.Revision, final.Revision)
			}
		}
	}
}

// register is the configuration register: its revision and the request that wrote it.
type register struct {
	revision  uint64
	requestID string
}

type registerInput struct {
	requestID string
	change    bool
}

var registerModel = porcupine.Model{
	Init: func() interface{} { return register{1, "first"} },
	Step: func(state, input, output interface{}) (bool, interface{}) {
		now, after := state.(register), output.(register)
		if !input.(registerInput).change {
			return now == after, now
		}
		return after.revision == now.revision+1, after
	},
}

// unsettled returns what is not in its final state yet; empty if everything is.
func (h *history) unsettled() string {
	records, err := h.records()
	if err != nil {
		return err.Error()
	}
	runs := h.cluster.runs()
	for id, record := range records {
		switch record.State {
		case task.StateAssigned, task.StateEvicting, task.StateCancelling, task.StatePending:
			return fmt.Sprintf("%s is in state %d: %s", id, record.State, record.Reason)
		case task.StateRunning:
			if record.Spec.Kind == task.KindBatch || !holds(runs[id], record) {
				return fmt.Sprintf("%s is recorded as running on %s; executions %v", id, record.Worker, runs[id])
			}
		case task.StateFinished:
			if !slices.ContainsFunc(runs[id], func(r run) bool { return r.Ending == "finished" }) {
				return fmt.Sprintf("%s is recorded as finished; executions %v", id, runs[id])
			}
		}
	}
	for id, executions := range runs {
		if last := executions[len(executions)-1]; last.StoppedAt.IsZero() && (records[id] == nil || records[id].State != task.StateRunning) {
			return fmt.Sprintf("%v runs without a record", last)
		}
	}
	for id := range h.operators.accepted {
		if records[id] == nil {
			return id + " was accepted and has no record"
		}
		if records[id].State == task.StateCancelled && !h.operators.cancelled[id] {
			return id + " is cancelled and no operator has asked for it"
		}
	}
	return ""
}

// holds reports whether the last execution is the recorded one and runs.
func holds(executions []run, record *task.Record) bool {
	if len(executions) == 0 {
		return false
	}
	last := executions[len(executions)-1]
	return last.StoppedAt.IsZero() && last.worker == record.Worker && last.Attempt == record.Attempt
}

// records returns all records from the store.
func (h *history) records() (map[string]*task.Record, error) {
	all := map[string]*task.Record{}
	for id := range uint16(shard.Count) {
		document, err := h.cluster.members[0].entry.manager.Read(h.cluster.members[0].ctx, id)
		if err != nil {
			return nil, err
		}
		for key, record := range document.Tasks {
			all[key] = record
		}
	}
	return all, nil
}

// unknownOutcome reports whether a refused change may have been applied.
func unknownOutcome(err error) bool { return isOutcomeUnknown(err, configuration.ErrOutcomeUnknown) }
