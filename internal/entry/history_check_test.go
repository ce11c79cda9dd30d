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

// zoneStartLimit is how long after the accepted change that takes a zone out of service a task may still start
// in the zone.
const zoneStartLimit = 5 * time.Second

// workerExecution is one execution with the worker that it ran on.
type workerExecution struct {
	worker.Execution
	worker, zone string
}

// runs returns every execution of each task, in the order of their starts.
func (c *cluster) runs() map[string][]workerExecution {
	all := map[string][]workerExecution{}
	for _, v := range c.vms {
		for _, state := range v.states() {
			for _, execution := range state.Executions {
				all[execution.TaskID] = append(all[execution.TaskID], workerExecution{execution, v.name, v.zone})
			}
		}
	}
	for _, executions := range all {
		slices.SortFunc(executions, func(a, b workerExecution) int { return a.StartedAt.Compare(b.StartedAt) })
	}
	return all
}

func (r workerExecution) String() string {
	return fmt.Sprintf("%s attempt %d on %s (%s) %s..%s %s done %d..%d", r.TaskID, r.Attempt, r.worker, r.zone,
		r.StartedAt.UTC().Format("04:05.000"), r.StoppedAt.UTC().Format("04:05.000"), r.Ending, r.DoneMillisAtStart, r.DoneMillis)
}

// checkInvariants verifies the invariants that hold at any time, using the worker runtimes' records.
func (h *history) checkInvariants() {
	h.checkCapacity()
	for id, executions := range h.cluster.runs() {
		h.checkExecutions(h.operators.isNonIdempotent(id), executions)
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
				h.failf("capacity: %s used %+v of %+v", v.name, state.PeakSize, state.Capacity)
			}
		}
	}
}

// checkExecutions verifies that consecutive executions of a task do not overlap, that each resumes from the
// right checkpoint, and that a non-idempotent task is repeated only after a failure or from its checkpoint.
func (h *history) checkExecutions(nonIdempotent bool, executions []workerExecution) {
	for i := 1; i < len(executions); i++ {
		previous, next := executions[i-1], executions[i]
		if previous.StoppedAt.IsZero() || previous.StoppedAt.After(next.StartedAt) {
			h.failf("overlap: %v and %v", previous, next)
		}
		checkpointed := previous.Ending == "evicted" || previous.Ending == "lease"
		resumed := checkpointed && next.DoneMillisAtStart == previous.DoneMillis
		// After a failed or lost attempt, the next one starts from the same checkpoint.
		repeated := previous.Ending != "evicted" && next.DoneMillisAtStart == previous.DoneMillisAtStart
		lost := h.faultBetween(previous.StartedAt, next.StartedAt) && next.DoneMillisAtStart == previous.DoneMillisAtStart
		if !resumed && !repeated && !lost {
			h.failf("checkpoint: %v, then %v", previous, next)
		}
		if nonIdempotent && !resumed && previous.Ending != "failed" {
			h.failf("non-idempotent: %v, then %v", previous, next)
		}
	}
}

// faultBetween reports whether a fault between two times may have caused a worker to be declared lost. A fault
// of the store or of an entry may affect any worker.
func (h *history) faultBetween(from, to time.Time) bool {
	return slices.ContainsFunc(h.faultPeriods, func(i interval) bool {
		return i.from.Before(to) && (i.to.IsZero() || i.to.Add(faultRecoveryTime).After(from))
	})
}

// checkZone verifies that no task starts in a zone later than zoneStartLimit after it went out of
// service.
func (h *history) checkZone(r workerExecution) {
	o := h.operators
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, out := range o.changes {
		if out.zone != r.zone || !out.outOfService || out.endedAt.IsZero() || out.err != nil || !r.StartedAt.After(out.endedAt.Add(zoneStartLimit)) {
			continue
		}
		backInService := slices.ContainsFunc(o.changes, func(in *configurationChange) bool {
			unknown := in.endedAt.IsZero() || in.err != nil
			return in.zone == r.zone && !in.outOfService && (unknown || in.revision > out.revision) && in.startedAt.Before(r.StartedAt)
		})
		if !backInService {
			h.failf("zone: out of service since %s, but %v", out.endedAt.UTC().Format("04:05.000"), r)
		}
	}
}

// checkRevisions verifies that the configuration revision of a process never decreases. An agent's revision
// is the one that it reports to each entry.
func (h *history) checkRevisions() {
	for _, m := range h.cluster.members {
		if document := m.entry.follower.Document(); document != nil {
			h.checkNotDecreased(m.name+m.entry.member.Self().Incarnation, document.Revision)
		}
		for _, view := range m.entry.hub.Views() {
			h.checkNotDecreased(m.entry.member.Self().Incarnation+view.Name+view.Incarnation, view.Revision)
		}
	}
}

func (h *history) checkNotDecreased(name string, revision uint64) {
	if revision < h.revisions[name] {
		h.failf("revision: %s decreased from %d to %d", name, h.revisions[name], revision)
	}
	h.revisions[name] = revision
}

// checkChanges verifies that accepted changes are in the final document, that rejected ones are not, and
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
		if c.err != nil && applied && !mayHaveApplied(c.err) {
			h.failf("configuration: change %s was rejected (%v) and is listed as %d", c.requestID, c.err, revision)
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
				h.failf("configuration: %s has worker %s at revision %d of %d", m.name, view.Name, view.Revision, final.Revision)
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
		current, after := state.(register), output.(register)
		if !input.(registerInput).change {
			return current == after, current
		}
		return after.revision == current.revision+1, after
	},
}

// unsettled describes the first task found that is not in its final state, or returns an empty string.
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
			if record.Spec.Kind == task.KindBatch || !isRunningAsRecorded(runs[id], record) {
				return fmt.Sprintf("%s is recorded as running on %s; executions %v", id, record.Worker, runs[id])
			}
		case task.StateFinished:
			if !slices.ContainsFunc(runs[id], func(r workerExecution) bool { return r.Ending == "finished" }) {
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
			return id + " is cancelled without an operator's request"
		}
	}
	return ""
}

// isRunningAsRecorded reports whether the last execution is the recorded one and is still running.
func isRunningAsRecorded(executions []workerExecution, record *task.Record) bool {
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

// mayHaveApplied reports whether a change that returned an error may have been applied.
func mayHaveApplied(err error) bool { return isOutcomeUnknown(err, configuration.ErrOutcomeUnknown) }
