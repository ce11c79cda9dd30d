package runner

import (
	"slices"
	"time"

	"clementineflow/internal/wire"
)

// endList holds the ends of runs in one incarnation of the worker that are not confirmed to it yet.
type endList struct {
	rows map[uint64]wire.EndRow
	// reportedAt is when the unrecorded ends were last resent, or last found empty.
	reportedAt time.Duration
	// recorded holds the numbers above confirmedUpTo that the coordinator has recorded.
	recorded map[uint64]bool
	// confirmedUpTo is the highest number up to which all ends are recorded.
	confirmedUpTo uint64
}

func newEndList() endList {
	return endList{rows: map[uint64]wire.EndRow{}, recorded: map[uint64]bool{}}
}

// addNew adds the ends that the worker lists and returns those that were not in the list.
func (l *endList) addNew(listed []wire.EndRow) []wire.EndRow {
	if l.confirmedUpTo == 0 && len(l.rows) == 0 && len(listed) > 0 {
		// The agent's previous process confirmed the ends before the first listed one.
		lowest := slices.MinFunc(listed, func(x, y wire.EndRow) int { return int(int64(x.Number) - int64(y.Number)) })
		l.confirmedUpTo = lowest.Number - 1
	}
	var added []wire.EndRow
	for _, row := range listed {
		if _, known := l.rows[row.Number]; known || row.Number <= l.confirmedUpTo {
			continue
		}
		l.rows[row.Number] = row
		added = append(added, row)
	}
	return added
}

// markRecorded marks ends as recorded by the coordinator and drops those up to the first gap.
func (l *endList) markRecorded(numbers []uint64) {
	for _, number := range numbers {
		if number > l.confirmedUpTo {
			l.recorded[number] = true
		}
	}
	for l.recorded[l.confirmedUpTo+1] {
		l.confirmedUpTo++
		delete(l.recorded, l.confirmedUpTo)
		delete(l.rows, l.confirmedUpTo)
	}
}

// unrecordedRows returns the ends that the coordinator has not recorded, ordered by number.
func (l *endList) unrecordedRows() []wire.EndRow {
	return slices.DeleteFunc(l.unconfirmedRows(), func(row wire.EndRow) bool { return l.recorded[row.Number] })
}

// unconfirmedRows returns the ends that are not confirmed to the worker, ordered by number.
func (l *endList) unconfirmedRows() []wire.EndRow {
	rows := make([]wire.EndRow, 0, len(l.rows))
	for _, row := range l.rows {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(x, y wire.EndRow) int { return int(int64(x.Number) - int64(y.Number)) })
	return rows
}

// find returns the end of the run, or false if the list holds none.
func (l *endList) find(task string, run uint32) (wire.EndRow, bool) {
	for _, row := range l.rows {
		if row.Task == task && row.Run == run {
			return row, true
		}
	}
	return wire.EndRow{}, false
}

// contains reports whether the list holds an end of the run.
func (l *endList) contains(task string, run uint32) bool {
	_, ok := l.find(task, run)
	return ok
}

// resendEndsLocked reports ends again that have stayed unrecorded for endsResendInterval: a report can be
// lost with a link that stopped delivering.
func (a *Agent) resendEndsLocked() {
	now := a.config.Now()
	unrecorded := a.ends.unrecordedRows()
	if len(unrecorded) == 0 || now-a.ends.reportedAt < endsResendInterval {
		if len(unrecorded) == 0 {
			a.ends.reportedAt = now
		}
		return
	}
	a.ends.reportedAt = now
	a.config.Logger.Info("resending unrecorded ends", "ends", len(unrecorded))
	a.sendLocked(&wire.RunEnded{WorkerID: a.worker.ID, Incarnation: a.worker.Incarnation, Ends: unrecorded})
}
