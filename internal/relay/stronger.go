package relay

import (
	"context"

	"clementineflow/internal/wire"
)

// Strongest returns the highest strength among the other entries that are known.
func (r *Relay) Strongest() float64 { return r.directory.strongest() }

// StrongerServes reports whether an entry that is stronger answers and has a path to the store.
func (r *Relay) StrongerServes(ctx context.Context, than float64) bool {
	for _, address := range sample(r.directory.strongerThan(than)) {
		if r.serves(ctx, address) {
			return true
		}
	}
	return false
}

// serves reports whether the entry at the address can read its own record from the store.
func (r *Relay) serves(ctx context.Context, address string) bool {
	dial, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := r.config.Dialer.Dial(dial, address)
	if err != nil {
		return false
	}
	p := newPeer(address, conn)
	defer p.close()
	go p.run()
	reply, err := p.ask(ctx, 0, &wire.StoreCall{Operation: wire.StoreGet, Key: recordPrefix + r.config.Name})
	return err == nil && (reply.Outcome == wire.StoreDone || reply.Outcome == wire.StoreNotFound)
}
