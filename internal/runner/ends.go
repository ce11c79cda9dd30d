package runner

import (
	"slices"
	"time"

	"clementineflow/internal/wire"
)

// endList holds the ends of one life of the worker that are not confirmed to it yet.
type endList struct {
	rows map[uint64]wire.EndRow
	// reportedAt is when the unrecorded ends were last reported.
	reportedAt time.Duration
	// recorded marks the ends that the coordinator has recorded.
	recorded map[uint64]bool
	// confirmedUpTo is the highest number of which all ends are recorded.
	confirmedUpTo uint64
}

func newEndList() endList {
	return endList{rows: map[uint64]wire.EndRow{}, recorded: map[uint64]bool{}}
}

// add takes in listed ends and returns those that are new.
func (l *endList) add(listed []wire.EndRow) []wire.EndRow {
	if l.confirmedUpTo == 0 && len(l.rows) == 0 && len(listed) > 0 {
		// Ends before the first listed one were confirmed by an earlier life of the agent.
		lowest := slices.MinFunc(listed, func(x, y wire.EndRow) int { return int(int64(x.Number) - int64(y.Number)) })
		l.confirmedUpTo = lowest.Number - 1
	}
	var fresh []wire.EndRow
	for _, row := range listed {
		if _, known := l.rows[row.Number]; known || row.Number <= l.confirmedUpTo {
			continue
		}
		l.rows[row.Number] = row
		fresh = append(fresh, row)
	}
	return fresh
}

// record marks ends as recorded.
func (l *endList) record(numbers []uint64) {
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

// unrecorded returns the ends that the coordinator has not recorded.
func (l *endList) unrecorded() []wire.EndRow {
	return slices.DeleteFunc(l.pending(), func(row wire.EndRow) bool { return l.recorded[row.Number] })
}

// pending returns the ends that are not confirmed, by number.
func (l *endList) pending() []wire.EndRow {
	rows := make([]wire.EndRow, 0, len(l.rows))
	for _, row := range l.rows {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(x, y wire.EndRow) int { return int(int64(x.Number) - int64(y.Number)) })
	return rows
}

// has reports whether the end of the run is listed and not confirmed.
func (l *endList) has(task string, run uint32) bool {
	for _, row := range l.rows {
		if row.Task == task && row.Run == run {
			return true
		}
	}
	return false
}

// repeatEndsLocked reports ends again that were not recorded for long: a report can get lost with a link
// that fell silent.
func (a *Agent) repeatEndsLocked() {
	now := a.config.Now()
	late := a.ends.unrecorded()
	if len(late) == 0 || now-a.ends.reportedAt < endsTimeout {
		if len(late) == 0 {
			a.ends.reportedAt = now
		}
		return
	}
	a.ends.reportedAt = now
	a.config.Logger.Info("ends reported again", "ends", len(late))
	a.sendLocked(&wire.RunEnded{WorkerID: a.worker.ID, Born: a.worker.Born, Ends: late})
}
