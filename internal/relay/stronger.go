package relay

import (
	"context"

	"clementineflow/internal/backlog"
	"clementineflow/internal/wire"
)

// MaxStrength returns the highest strength among the other registered entries, or 0 if there are none.
func (r *Relay) MaxStrength() float64 { return r.directory.maxStrength() }

// Entries returns the number of registered entries, this one included.
func (r *Relay) Entries() int { return r.directory.count() }

// MinBacklog returns the smallest limit of stored jobs among the other registered entries, or 0 if none has one.
func (r *Relay) MinBacklog() backlog.Limit { return r.directory.minBacklog() }

// StrongerAvailable reports whether an entry with a strength above the threshold answers and can reach the store.
// It tries at most maxCandidates entries.
func (r *Relay) StrongerAvailable(ctx context.Context, threshold float64) bool {
	for _, address := range sampleAddresses(r.directory.strongerThan(threshold)) {
		if r.isAvailable(ctx, address) {
			return true
		}
	}
	return false
}

// isAvailable reports whether the entry at the address answers and can read from the store.
func (r *Relay) isAvailable(ctx context.Context, address string) bool {
	dial, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := r.config.Dialer.Dial(dial, address)
	if err != nil {
		return false
	}
	p := newPeer(address, conn, r.config.Token)
	defer p.close()
	go p.run()
	reply, err := p.sendCall(ctx, 0, &wire.StoreCall{Operation: wire.StoreGet, Key: recordPrefix + r.config.Name})
	return err == nil && (reply.Outcome == wire.StoreDone || reply.Outcome == wire.StoreNotFound)
}
