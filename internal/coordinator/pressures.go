package coordinator

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/contain"
	"clementineflow/internal/planner"
	"clementineflow/internal/store"
	"clementineflow/internal/wire"
)

// pressuresInterval is the minimum time between two writes of the learned pressures, and from a term's read to its first
// write.
const pressuresInterval = 5 * time.Second

// errInvalidPressures reports a record of learned pressures with values that no coordinator writes.
var errInvalidPressures = errors.New("coordinator: learned pressures out of bounds")

// pressureRecord is the stored record of the pressures that the coordinators have learned. It is a hint: no write depends
// on it.
type pressureRecord struct {
	Rows []wire.PressureRow `cbor:"1,keyasint"`
}

// keptPressures is the state of the record during a term.
type keptPressures struct {
	// read is set once the record of earlier terms was read or can't be used. Nothing is written before.
	read bool
	// rows are those of the record, as far as known.
	rows      []wire.PressureRow
	writing   bool
	nextCheck time.Duration
}

// pressuresEvent is the outcome of the read of the record, or of a write if write is set.
type pressuresEvent struct {
	write bool
	rows  []wire.PressureRow
	err   error
}

// startPressuresRead starts to read the record of earlier terms. The term doesn't wait for it.
func (t *term) startPressuresRead(ctx context.Context) {
	if t.config.KeepPressures {
		t.group.Go(func() { contain.Call(t.config.Logger, "read pressures", func() { t.readPressures(ctx) }) })
	}
}

// readPressures reads the record, and retries until it succeeds or the context ends.
func (t *term) readPressures(ctx context.Context) {
	var item store.KeyValue
	err := t.retryCall(ctx, "read learned pressures", func(ctx context.Context) (err error) {
		item, err = t.config.Store.Get(ctx, pressuresKey)
		if errors.Is(err, store.ErrNotFound) {
			return nil
		}
		return err
	})
	if err != nil {
		return
	}
	var rows []wire.PressureRow
	if item.Revision != 0 {
		if rows, err = decodePressures(item.Value); err != nil {
			store.ReportMalformed(t.config.Logger, "pressures", pressuresKey, err)
		}
	}
	t.post(event{pressures: &pressuresEvent{rows: rows}})
}

// decodePressures returns the rows of a record, or an error if the record or one of them is not valid.
func decodePressures(value []byte) ([]wire.PressureRow, error) {
	record, err := wire.Unmarshal[pressureRecord](value)
	if err != nil {
		return nil, err
	}
	if len(record.Rows) > planner.MaxLearnedPressures {
		return nil, errors.Wrapf(errInvalidPressures, "%d pairs", len(record.Rows))
	}
	for _, row := range record.Rows {
		if !planner.ValidPressure(row) {
			return nil, errors.Wrapf(errInvalidPressures, "pair %.80q, %.80q", row.Serving, row.Filler)
		}
	}
	return record.Rows, nil
}

// keepPressures starts a write of the learned pressures if one is due and they have changed enough. The event loop
// doesn't wait for it, and a failed write is repeated at the earliest after pressuresInterval.
func (t *term) keepPressures(ctx context.Context) {
	kept := &t.pressures
	now := t.config.Now()
	if !t.config.KeepPressures || !kept.read || kept.writing || now < kept.nextCheck || !t.valid() {
		return
	}
	kept.nextCheck = now + pressuresInterval
	rows := t.planner.LearnedPressures()
	if !planner.PressuresDiffer(rows, kept.rows) {
		return
	}
	kept.writing = true
	t.group.Go(func() {
		t.post(event{pressures: &pressuresEvent{write: true, rows: rows, err: t.writePressures(ctx, rows)}})
	})
}

// writePressures writes the record if the term still holds the leadership.
func (t *term) writePressures(ctx context.Context, rows []wire.PressureRow) error {
	value, err := wire.Marshal(&pressureRecord{Rows: rows})
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = t.config.Store.Commit(call, store.Transaction{
		Conditions: []store.Condition{{Key: leaderKey, Revision: store.Revision(t.number)}},
		Writes:     []store.Write{{Key: pressuresKey, Value: value}},
	})
	return err
}

// handlePressures handles the outcome of a read or a write of the record.
func (t *term) handlePressures(e *pressuresEvent) {
	switch {
	case !e.write:
		t.pressures = keptPressures{read: true, rows: e.rows, nextCheck: t.config.Now() + pressuresInterval}
		t.planner.RestorePressures(e.rows)
		pressuresRestored.Add(len(e.rows))
		t.config.Logger.Info("learned pressures read", "pairs", len(e.rows))
	case e.err != nil:
		t.pressures.writing = false
		pressureWriteFailures.Inc()
		t.config.Logger.Warn("learned pressures not written", "pairs", len(e.rows), "error", e.err)
	default:
		t.pressures.writing, t.pressures.rows = false, e.rows
		pressureWrites.Inc()
		t.config.Logger.Info("learned pressures written", "pairs", len(e.rows))
	}
}
