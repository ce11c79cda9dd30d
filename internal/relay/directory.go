package relay

import (
	"context"
	"slices"
	"strings"
	"sync"

	"clementineflow/internal/store"
	"clementineflow/internal/wait"
	"clementineflow/internal/wire"
)

// recordPrefix is the prefix of the records of all entries.
const recordPrefix = "entry/"

// record is the stored address of an entry's links.
type record struct {
	Address string `cbor:"1,keyasint"`
	// Strength is the entry's share of a processor; it is zero in records of earlier versions.
	Strength float64 `cbor:"2,keyasint,omitempty"`
}

// directory holds the records of the other entries. It is safe for concurrent use.
type directory struct {
	own string

	mu      sync.Mutex
	records map[string]record
}

func newDirectory(own string) *directory { return &directory{own: own, records: map[string]record{}} }

// apply takes in changes of the records.
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
			d.records[name] = *known
		}
	}
}

// others returns the addresses of the other entries, in a fixed order.
func (d *directory) others() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.selectLocked(func(record) bool { return true })
}

// strongerThan returns the addresses of the other entries that are stronger, in a fixed order.
func (d *directory) strongerThan(strength float64) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.selectLocked(func(known record) bool { return known.Strength > strength })
}

// strongest returns the highest strength among the other entries.
func (d *directory) strongest() float64 {
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

// selectLocked returns the addresses of the other entries that match, in a fixed order.
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

// register keeps this entry's record in the store until the context ends. The record lives under a lease,
// so that an entry that is gone is forgotten.
func (r *Relay) register(ctx context.Context) {
	value, err := wire.Marshal(&record{Address: r.config.Address, Strength: r.config.Strength})
	if err != nil {
		r.config.Logger.Error("entry record not encoded", "error", err)
		return
	}
	for ctx.Err() == nil && !r.retired.Load() {
		lease, err := r.writeRecord(ctx, value)
		for err == nil && ctx.Err() == nil && !r.retired.Load() {
			wait.Sleep(ctx, renewInterval)
			err = r.renewRecord(ctx, lease)
		}
		if ctx.Err() == nil {
			r.config.Logger.Info("entry record is written again", "error", err)
			wait.Sleep(ctx, retryInterval)
		}
	}
}

// Retire withdraws this entry before it stops: it makes no more calls for others, and its record goes, so that
// no one waits for it to take over.
func (r *Relay) Retire(ctx context.Context) {
	r.retired.Store(true)
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := r.config.Store.Commit(call, store.Transaction{Deletes: []string{recordPrefix + r.config.Name}})
	r.config.Logger.Info("entry record withdrawn", "error", err)
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

// renewRecord renews the record's lease. A store that is away is left alone until the next renewal is due.
func (r *Relay) renewRecord(ctx context.Context, lease store.LeaseID) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.config.Store.RenewLease(call, lease)
	if unreached(err) {
		return nil
	}
	return err
}
