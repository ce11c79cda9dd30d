package relay

import (
	"context"
	"math"
	"slices"
	"strings"
	"sync"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"clementineflow/internal/backlog"
	"clementineflow/internal/store"
	"clementineflow/internal/wait"
	"clementineflow/internal/wire"
)

// recordPrefix is the prefix of the records of all entries.
const recordPrefix = "entry/"

// record is the stored address of an entry's links.
type record struct {
	Address string `cbor:"1,keyasint"`
	// Strength is the entry's processor share, in processors; it is zero in records of earlier versions.
	Strength float64 `cbor:"2,keyasint,omitempty"`
	// Backlog is the memory that the entry has for stored jobs as the coordinator, in bytes; it is zero if there is no limit,
	// and in records of earlier versions.
	Backlog int64 `cbor:"3,keyasint,omitempty"`
}

// errInvalidRecord reports an entry's record that can't be used.
var errInvalidRecord = errors.New("relay: invalid record of an entry")

// validate returns errInvalidRecord if the record has no address, or a strength that can't be compared.
func (r *record) validate() error {
	if r.Address == "" {
		return errors.Wrap(errInvalidRecord, "no address")
	}
	if math.IsNaN(r.Strength) || math.IsInf(r.Strength, 0) || r.Strength < 0 {
		return errors.Wrapf(errInvalidRecord, "strength %g", r.Strength)
	}
	if r.Backlog < 0 {
		return errors.Wrapf(errInvalidRecord, "backlog of %d bytes", r.Backlog)
	}
	return nil
}

// directory holds the records of the other entries. It is safe for concurrent use.
type directory struct {
	own    string
	logger *log.Logger

	mu      sync.Mutex
	records map[string]record
}

func newDirectory(own string, logger *log.Logger) *directory {
	return &directory{own: own, logger: logger, records: map[string]record{}}
}

// apply updates the directory from changes of the records. A record that can't be used is skipped.
func (d *directory) apply(events []store.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, event := range events {
		name := strings.TrimPrefix(event.Key, recordPrefix)
		if event.Deleted {
			delete(d.records, name)
			continue
		}
		known, err := wire.Unmarshal[record](event.Value)
		if err == nil {
			err = known.validate()
		}
		if err != nil {
			store.ReportMalformed(d.logger, "entries", event.Key, err)
			continue
		}
		d.records[name] = *known
	}
}

// others returns the sorted addresses of the other entries.
func (d *directory) others() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.selectLocked(func(record) bool { return true })
}

// count returns the number of entries, this one included.
func (d *directory) count() int { return len(d.others()) + 1 }

// strongerThan returns the sorted addresses of the other entries with a higher strength.
func (d *directory) strongerThan(strength float64) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.selectLocked(func(known record) bool { return known.Strength > strength })
}

// maxStrength returns the highest strength among the other entries, or 0 if there are none.
func (d *directory) maxStrength() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	highest := 0.0
	for _, known := range d.records {
		if known.Address != d.own {
			highest = max(highest, known.Strength)
		}
	}
	return highest
}

// minBacklog returns the smallest limit of stored jobs among the other entries, or 0 if none has one.
func (d *directory) minBacklog() backlog.Limit {
	d.mu.Lock()
	defer d.mu.Unlock()
	var smallest backlog.Limit
	for _, known := range d.records {
		if known.Address != d.own {
			smallest = smallest.Min(backlog.Limit(known.Backlog))
		}
	}
	return smallest
}

// selectLocked returns the sorted addresses of the other entries that match.
func (d *directory) selectLocked(match func(record) bool) []string {
	var addresses []string
	for _, known := range d.records {
		if known.Address != d.own && match(known) {
			addresses = append(addresses, known.Address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// register keeps this entry's record in the store until the context ends or the entry is retired. The record is
// bound to a lease, so that the record of a failed entry expires.
func (r *Relay) register(ctx context.Context) {
	value, err := wire.Marshal(&record{
		Address: r.config.Address, Strength: r.config.Strength, Backlog: int64(r.config.Backlog),
	})
	if err != nil {
		r.config.Logger.Error("entry record can't be encoded", "error", err)
		return
	}
	for ctx.Err() == nil && !r.retired.Load() {
		lease, err := r.writeRecord(ctx, value)
		for err == nil && ctx.Err() == nil && !r.retired.Load() {
			wait.Sleep(ctx, renewInterval)
			err = r.renewRecord(ctx, lease)
		}
		if ctx.Err() == nil {
			r.config.Logger.Info("entry record lost or not written; writing it again", "error", err)
			wait.Sleep(ctx, retryInterval)
		}
	}
}

// Retire deregisters this entry before it stops: it refuses calls of other entries and deletes its record, so
// that no coordinator hands over to it and no candidate waits for it.
func (r *Relay) Retire(ctx context.Context) {
	r.retired.Store(true)
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := r.config.Store.Commit(call, store.Transaction{Deletes: []string{recordPrefix + r.config.Name}})
	r.config.Logger.Info("entry record removed", "error", err)
}

// writeRecord writes this entry's record under a new lease.
func (r *Relay) writeRecord(ctx context.Context, value []byte) (store.LeaseID, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := r.config.Store.GrantLease(call, recordTTL)
	if err != nil {
		return 0, err
	}
	_, err = r.config.Store.Commit(call, store.Transaction{
		Writes: []store.Write{{Key: recordPrefix + r.config.Name, Value: value, Lease: lease}},
	})
	return lease, err
}

// renewRecord renews the record's lease. An unreachable store is no error: the next regular renewal tries again.
func (r *Relay) renewRecord(ctx context.Context, lease store.LeaseID) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.config.Store.RenewLease(call, lease)
	if isUnreachable(err) {
		return nil
	}
	return err
}
