package gateway

import (
	"github.com/pkg/errors"

	"clementineflow/internal/link"
	"clementineflow/internal/wire"
)

// ShareSuspicions makes the peer tell other entries that the store has not answered a read of this one, and raise a
// suspicion in the monitor if another entry tells it so. Hints use the links that exist; one that is lost is not repeated.
func (p *Peer) ShareSuspicions(monitor *StoreMonitor) {
	p.mu.Lock()
	p.monitor = monitor
	p.mu.Unlock()
	sendHint := p.sendHints
	monitor.sendHint.Store(&sendHint)
}

// sendHints sends a hint on the link to the coordinator and on all links that other entries have opened to this one. Only
// the coordinator has links to all entries. It sends its own hint once the store does not answer its read either.
func (p *Peer) sendHints() {
	p.mu.Lock()
	defer p.mu.Unlock()
	hint := &wire.PeerPing{StoreSuspect: true}
	if p.conn != nil {
		_ = p.conn.Send(hint) // a lost hint is no fault
	}
	for conn := range p.served {
		_ = conn.Send(hint)
	}
}

// receiveHint raises a suspicion on the hint of another entry.
func (p *Peer) receiveHint(address string) {
	p.mu.Lock()
	monitor := p.monitor
	p.mu.Unlock()
	if monitor != nil {
		monitor.raise(suspectHint, errors.Errorf("gateway: reported by %s", address))
	}
}

// servePing handles the ping of another entry, and reports whether it is a hint, which gets no reply.
func (p *Peer) servePing(conn link.Conn, ping *wire.PeerPing) bool {
	p.mu.Lock()
	p.served[conn] = struct{}{}
	p.mu.Unlock()
	if ping.StoreSuspect {
		p.receiveHint(conn.RemoteAddress())
	}
	return ping.StoreSuspect
}

// removeServed forgets the link of another entry.
func (p *Peer) removeServed(conn link.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.served, conn)
}
