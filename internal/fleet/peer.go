package fleet

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sourcegraph/conc"

	"clementineflow/internal/link"
	"clementineflow/internal/wire"
)

// Delays between two attempts to dial a peer.
const (
	redialMinimum = 100 * time.Millisecond
	redialMaximum = 2 * time.Second
)

// dialPeers starts the dialling of each registered entry with a higher name.
func (h *Hub) dialPeers(ctx context.Context, group *conc.WaitGroup) {
	for _, entry := range h.config.Status.Entries() {
		if entry.Name <= h.config.Name || entry.LinkAddress == "" {
			continue
		}
		h.mutex.Lock()
		started := h.dialling[entry.Name]
		h.dialling[entry.Name] = true
		h.mutex.Unlock()
		if !started {
			group.Go(func() { h.keepPeer(ctx, entry.Name) })
		}
	}
}

// address returns the current link address of a registered entry.
func (h *Hub) address(name string) (string, bool) {
	for _, entry := range h.config.Status.Entries() {
		if entry.Name == name {
			return entry.LinkAddress, entry.LinkAddress != ""
		}
	}
	return "", false
}

// keepPeer keeps a link with a peer until the entry is no longer listed or the context ends.
func (h *Hub) keepPeer(ctx context.Context, name string) {
	defer func() {
		h.mutex.Lock()
		delete(h.dialling, name)
		h.mutex.Unlock()
	}()
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = redialMinimum, redialMaximum
	for ctx.Err() == nil {
		address, listed := h.address(name)
		if !listed {
			return
		}
		if h.dialPeer(ctx, name, address) {
			delay.Reset()
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay.NextBackOff()):
		}
	}
}

// dialPeer opens a link with a peer and reads it until it ends. It reports whether the peer answered.
func (h *Hub) dialPeer(ctx context.Context, name, address string) bool {
	conn, err := h.config.Dialer.Dial(ctx, address)
	if err != nil {
		h.config.Logger.Debug("peer not reached", "peer", name, "address", address, "err", err)
		return false
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	hello := &wire.Hello{
		Role: wire.RoleEntry, Name: h.config.Name, Incarnation: h.config.Incarnation,
		Region: h.config.Region, Zone: h.config.Zone, Revision: revisionOf(h.config.Status.Document()),
	}
	if conn.Send(hello) != nil {
		return false
	}
	first, err := conn.Receive()
	if err != nil {
		return false
	}
	welcome, ok := first.(*wire.Welcome)
	if !ok || welcome.Name != name {
		h.config.Logger.Warn("peer has another name", "peer", name, "address", address)
		return false
	}
	c := &connection{Conn: conn, role: wire.RoleEntry, name: name, incarnation: welcome.Incarnation, revision: welcome.Revision}
	h.attachPeer(c, false)
	if len(welcome.Document) > 0 {
		h.observe(c, welcome.Document)
	}
	var group conc.WaitGroup
	defer group.Wait()
	defer conn.Close()
	group.Go(func() { h.heartbeats(c) })
	h.readPeer(c)
	return true
}

// heartbeats sends a heartbeat every second until the link ends.
func (h *Hub) heartbeats(conn *connection) {
	ticker := time.NewTicker(link.HeartbeatInterval)
	defer ticker.Stop()
	for sequence := uint64(1); ; sequence++ {
		heartbeat := &wire.Heartbeat{Sequence: sequence, Revision: revisionOf(h.config.Status.Document())}
		if conn.Send(heartbeat) != nil {
			return
		}
		select {
		case <-conn.Done():
			return
		case <-ticker.C:
		}
	}
}

// servePeer reads an accepted link with a peer.
func (h *Hub) servePeer(conn *connection) {
	if conn.name == h.config.Name {
		h.config.Logger.Warn("link closed: peer has the name of this entry", "address", conn.RemoteAddress())
		return
	}
	h.attachPeer(conn, true)
	h.readPeer(conn)
}

// attachPeer makes a link the current one of a peer and closes the previous one. A Welcome goes out
// under the same lock, so that it is the first message on the link.
func (h *Hub) attachPeer(conn *connection, welcome bool) {
	h.mutex.Lock()
	p, ok := h.peers[conn.name]
	if !ok {
		p = &peer{}
		h.peers[conn.name] = p
	}
	previous := p.link
	p.link, p.revision = conn, conn.revision
	h.links[conn] = struct{}{}
	if welcome {
		h.welcome(conn)
	}
	h.mutex.Unlock()
	if previous != nil {
		previous.Close()
	}
	h.config.Logger.Info("peer connected", "peer", conn.name)
}

// readPeer handles the messages of a peer until the link ends.
func (h *Hub) readPeer(conn *connection) {
	defer h.detachPeer(conn)
	for {
		message, err := conn.Receive()
		if err != nil {
			h.config.Logger.Info("peer link ended", "peer", conn.name, "err", err)
			return
		}
		h.fromPeer(conn, message)
	}
}

// detachPeer ends a link with a peer.
func (h *Hub) detachPeer(conn *connection) {
	conn.Close()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.links, conn)
	if p, ok := h.peers[conn.name]; ok && p.link == conn {
		delete(h.peers, conn.name)
	}
}

// fromPeer handles one message of a peer.
func (h *Hub) fromPeer(conn *connection, message wire.Message) {
	switch m := message.(type) {
	case *wire.Heartbeat:
		h.noteRevision(conn, m.Revision)
		_ = conn.Send(h.acknowledgement(m)) // a failed send shows as silence at the peer
		h.forwardTo(conn)
	case *wire.HeartbeatAck:
		h.noteRevision(conn, m.Revision)
		h.forwardTo(conn)
	case *wire.Configuration:
		h.observe(conn, m.Document)
	case *wire.SilenceQuery:
		h.answerSilence(conn, m)
	case *wire.SilenceReply:
		h.takeSilence(conn, m)
	default:
		h.config.Logger.Warn("unexpected message from peer", "peer", conn.name, "kind", message.Kind())
	}
}
