package fleet

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sourcegraph/conc"

	"clementineflow/internal/link"
	"clementineflow/internal/wire"
)

// Bounds of the exponential delay between two attempts to dial a peer.
const (
	redialMinimum = 100 * time.Millisecond
	redialMaximum = 2 * time.Second
)

// dialPeers starts a goroutine for each registered entry with a higher name that keeps a link with it.
// Entries with a lower name dial this one.
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
			group.Go(func() { h.maintainPeerLink(ctx, entry.Name) })
		}
	}
}

// linkAddress returns the current link address of a registered entry, and false if it has none.
func (h *Hub) linkAddress(name string) (string, bool) {
	for _, entry := range h.config.Status.Entries() {
		if entry.Name == name {
			return entry.LinkAddress, entry.LinkAddress != ""
		}
	}
	return "", false
}

// maintainPeerLink keeps a link with a peer open, and dials again when it ends, until the entry is no
// longer listed or ctx is cancelled.
func (h *Hub) maintainPeerLink(ctx context.Context, name string) {
	defer func() {
		h.mutex.Lock()
		delete(h.dialling, name)
		h.mutex.Unlock()
	}()
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = redialMinimum, redialMaximum
	for ctx.Err() == nil {
		address, listed := h.linkAddress(name)
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

// dialPeer opens a link with a peer and handles its messages until it ends. It returns whether the
// handshake succeeded.
func (h *Hub) dialPeer(ctx context.Context, name, address string) bool {
	conn, err := h.config.Dialer.Dial(ctx, address)
	if err != nil {
		h.config.Logger.Debug("cannot connect to peer", "peer", name, "address", address, "err", err)
		return false
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	hello := &wire.Hello{
		Role: wire.RoleEntry, Name: h.config.Name, Incarnation: h.config.Incarnation,
		Region: h.config.Region, Zone: h.config.Zone, Revision: documentRevision(h.config.Status.Document()),
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
		h.config.Logger.Warn("peer sent no valid welcome or has another name", "peer", name, "address", address)
		return false
	}
	c := &connection{Conn: conn, role: wire.RoleEntry, name: name, incarnation: welcome.Incarnation, revision: welcome.Revision}
	h.attachPeer(c, false)
	if len(welcome.Document) > 0 {
		h.handleConfiguration(c, welcome.Document)
	}
	var group conc.WaitGroup
	defer group.Wait()
	defer conn.Close()
	group.Go(func() { h.sendHeartbeats(c) })
	h.readPeer(c)
	return true
}

// sendHeartbeats sends a heartbeat every link.HeartbeatInterval until the link ends.
func (h *Hub) sendHeartbeats(conn *connection) {
	ticker := time.NewTicker(link.HeartbeatInterval)
	defer ticker.Stop()
	for sequence := uint64(1); ; sequence++ {
		heartbeat := &wire.Heartbeat{Sequence: sequence, Revision: documentRevision(h.config.Status.Document())}
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

// servePeer handles the messages of an accepted link with a peer until it ends. It refuses a peer that
// has the name of this entry.
func (h *Hub) servePeer(conn *connection) {
	if conn.name == h.config.Name {
		h.config.Logger.Warn("link closed: peer has the name of this entry", "address", conn.RemoteAddress())
		return
	}
	h.attachPeer(conn, true)
	h.readPeer(conn)
}

// attachPeer makes conn the current link of a peer and closes the previous one. A Welcome, if
// requested, is queued under the same lock, so that it is the first message on the link.
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
		h.sendWelcome(conn)
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
		h.handlePeerMessage(conn, message)
	}
}

// detachPeer closes a link with a peer and removes the peer if this was its current link.
func (h *Hub) detachPeer(conn *connection) {
	conn.Close()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.links, conn)
	if p, ok := h.peers[conn.name]; ok && p.link == conn {
		delete(h.peers, conn.name)
	}
}

// handlePeerMessage processes one message of a peer.
func (h *Hub) handlePeerMessage(conn *connection, message wire.Message) {
	switch m := message.(type) {
	case *wire.Heartbeat:
		h.recordRevision(conn, m.Revision)
		_ = conn.Send(h.newHeartbeatAck(m)) // if the send fails, the peer misses the acknowledgement
		h.forwardConfigurationTo(conn)
	case *wire.HeartbeatAck:
		h.recordRevision(conn, m.Revision)
		h.forwardConfigurationTo(conn)
	case *wire.Configuration:
		h.handleConfiguration(conn, m.Document)
	case *wire.AckQuery:
		h.replyToAckQuery(conn, m)
	case *wire.AckReply:
		h.recordAckReply(conn, m)
	default:
		h.config.Logger.Warn("unexpected message from peer", "peer", conn.name, "kind", message.Kind())
	}
}
