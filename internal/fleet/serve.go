package fleet

import (
	"time"

	"clementineflow/internal/link"
	"clementineflow/internal/wire"
)

// Serve handles the messages of one accepted link until the link ends, and closes it. It is passed to
// link.NewServer.
func (h *Hub) Serve(conn link.Conn) {
	defer conn.Close()
	first, err := conn.Receive()
	if err != nil {
		return
	}
	hello, ok := first.(*wire.Hello)
	if !ok || hello.Name == "" || hello.Incarnation == "" {
		h.config.Logger.Warn("link closed: first message is not a valid hello", "address", conn.RemoteAddress())
		return
	}
	if hello.Region != h.config.Region {
		h.config.Logger.Warn("link closed: peer is in another region", "from", hello.Name, "region", hello.Region)
		return
	}
	c := &connection{
		Conn: conn, role: hello.Role, name: hello.Name, incarnation: hello.Incarnation,
		bootID: hello.Session.BootID, session: hello.Session.Number, revision: hello.Revision,
	}
	switch hello.Role {
	case wire.RoleAgent:
		h.serveAgent(c, hello)
	case wire.RoleEntry:
		h.servePeer(c)
	}
}

// serveAgent handles the messages of a link with an agent until the link ends.
func (h *Hub) serveAgent(conn *connection, hello *wire.Hello) {
	w, ok := h.attachAgent(conn, hello)
	if !ok {
		h.config.Logger.Warn("link closed: the current link of the worker takes precedence",
			"worker", conn.name, "incarnation", conn.incarnation, "session", conn.session)
		return
	}
	defer h.detachAgent(w, conn)
	h.config.Logger.Info("worker connected", "worker", conn.name, "zone", hello.Zone,
		"boot", conn.bootID, "session", conn.session)
	for {
		message, err := conn.Receive()
		if err != nil {
			h.config.Logger.Info("worker link ended", "worker", conn.name, "err", err)
			return
		}
		if !h.handleAgentMessage(w, conn, message) {
			return
		}
	}
}

// mayReplace reports whether the link that sent the Hello may replace the current link of a worker.
// Within one boot the incarnations are ordered by session number, so a delayed link of an older agent
// is refused.
func mayReplace(current *View, hello *wire.Hello) bool {
	if current.Incarnation == hello.Incarnation {
		return current.Session.BootID != hello.Session.BootID || hello.Session.Number >= current.Session.Number
	}
	if current.Session.BootID != hello.Session.BootID {
		return true
	}
	return hello.Session.Number > current.Session.Number
}

// attachAgent makes conn the current link of its worker, closes the previous link and calls the
// handlers. It returns false if mayReplace refuses the Hello.
func (h *Hub) attachAgent(conn *connection, hello *wire.Hello) (*worker, bool) {
	h.mutex.Lock()
	w, known := h.workers[conn.name]
	if !known {
		w = &worker{}
		h.workers[conn.name] = w
	}
	h.mutex.Unlock()

	w.eventMutex.Lock()
	defer w.eventMutex.Unlock()
	h.mutex.Lock()
	if w.view.Name != "" && !mayReplace(&w.view, hello) {
		h.mutex.Unlock()
		return nil, false
	}
	previous, replacedIncarnation := w.link, ""
	if previous != nil && previous.incarnation != conn.incarnation {
		replacedIncarnation = previous.incarnation
	}
	w.view, w.link = newView(hello, time.Now()), conn
	h.workers[conn.name] = w
	h.links[conn] = struct{}{}
	view, handlers := w.view, h.handlers
	h.sendWelcome(conn)
	h.mutex.Unlock()

	if previous != nil {
		previous.Close()
	}
	for _, handler := range handlers {
		if replacedIncarnation != "" {
			handler.WorkerDisconnected(conn.name, replacedIncarnation)
		}
		handler.WorkerConnected(view)
	}
	return w, true
}

// detachAgent closes a link. If it is the current link of the worker, it calls
// Handler.WorkerDisconnected.
func (h *Hub) detachAgent(w *worker, conn *connection) {
	conn.Close()
	w.eventMutex.Lock()
	defer w.eventMutex.Unlock()
	h.mutex.Lock()
	delete(h.links, conn)
	current := w.link == conn
	if current {
		w.link = nil
		w.view.Connected = false
		w.view.DisconnectedAt = time.Now()
	}
	handlers := h.handlers
	h.mutex.Unlock()
	if !current {
		return
	}
	for _, handler := range handlers {
		handler.WorkerDisconnected(conn.name, conn.incarnation)
	}
}

// sendWelcome sends a Welcome with the list of entries, and with the configuration document if the other
// side has a lower revision. The caller holds the mutex.
func (h *Hub) sendWelcome(conn *connection) {
	data, revision := h.encodeDocument(conn.role)
	message := &wire.Welcome{
		Name:        h.config.Name,
		Incarnation: h.config.Incarnation,
		Entries:     h.config.Status.Entries(),
		Revision:    revision,
	}
	if conn.revision < revision {
		message.Document = data
	}
	if conn.Send(message) == nil {
		conn.revision = max(conn.revision, revision)
		conn.entries = message.Entries
	}
}

// handleAgentMessage processes one message of an agent. It returns false if the link must be closed.
func (h *Hub) handleAgentMessage(w *worker, conn *connection, message wire.Message) bool {
	switch m := message.(type) {
	case *wire.Heartbeat:
		return h.handleAgentHeartbeat(w, conn, m)
	case *wire.Hello:
		return h.handleRepeatedHello(w, conn, m)
	case *wire.Configuration:
		h.handleConfiguration(conn, m.Document)
	case *wire.Leaving:
		h.updateView(w, conn, func(view *View) { view.Leaving = true })
	case *wire.Usage:
		now := time.Now()
		h.updateView(w, conn, func(view *View) { view.applyUsage(m, now) })
		h.forEachHandler(func(handler Handler) { handler.HandleUsage(conn.name, m) })
	case *wire.RequestReply:
		h.forEachHandler(func(handler Handler) { handler.RequestReply(conn.name, m) })
	case *wire.QueryReply:
		h.forEachHandler(func(handler Handler) { handler.QueryReply(conn.name, m) })
	case *wire.TaskEvent:
		h.forEachHandler(func(handler Handler) { handler.HandleTaskEvent(conn.name, m) })
	default:
		h.config.Logger.Warn("unexpected message from agent", "worker", conn.name, "kind", message.Kind())
	}
	return true
}

// handleRepeatedHello processes a further Hello on an open link, which an agent sends after it has
// attached again. It returns false if the link must be closed.
func (h *Hub) handleRepeatedHello(w *worker, conn *connection, hello *wire.Hello) bool {
	if hello.Name != conn.name || hello.Incarnation != conn.incarnation {
		return false
	}
	w.eventMutex.Lock()
	defer w.eventMutex.Unlock()
	h.mutex.Lock()
	if w.link != conn || !mayReplace(&w.view, hello) {
		h.mutex.Unlock()
		return false
	}
	conn.bootID, conn.session = hello.Session.BootID, hello.Session.Number
	leaving := w.view.Leaving
	w.view = newView(hello, time.Now())
	w.view.Leaving = leaving
	view, handlers := w.view, h.handlers
	h.mutex.Unlock()
	for _, handler := range handlers {
		handler.WorkerConnected(view)
	}
	return true
}

// handleAgentHeartbeat records and acknowledges a heartbeat. It returns false if the link must be
// closed, for example after a heartbeat with another session than the last Hello: the boot id of the
// new session is not known, so an acknowledgement could not be recorded for it.
func (h *Hub) handleAgentHeartbeat(w *worker, conn *connection, heartbeat *wire.Heartbeat) bool {
	if heartbeat.Session != 0 && heartbeat.Session != conn.session {
		h.config.Logger.Warn("link closed: heartbeat has another session than the last hello", "worker", conn.name,
			"session", heartbeat.Session, "hello", conn.session)
		return false
	}
	now := time.Now()
	h.updateView(w, conn, func(view *View) { view.applyHeartbeat(heartbeat, now) })
	h.recordRevision(conn, heartbeat.Revision)
	h.mutex.Lock()
	if w.link != conn {
		h.mutex.Unlock()
		return false
	}
	h.silence.Acknowledge(conn.name, conn.bootID, now)
	h.mutex.Unlock()
	if err := conn.Send(h.newHeartbeatAck(heartbeat)); err != nil {
		h.config.Logger.Warn("cannot send heartbeat acknowledgement", "worker", conn.name, "err", err)
	}
	h.forwardConfigurationTo(conn)
	return true
}

// newHeartbeatAck returns the acknowledgement of a heartbeat. The confirmation age is read between two
// reads of the revision and sent only if both are equal, so that it never applies to a later revision
// than the one confirmed.
func (h *Hub) newHeartbeatAck(heartbeat *wire.Heartbeat) *wire.HeartbeatAck {
	ack := &wire.HeartbeatAck{
		Sequence:              heartbeat.Sequence,
		Backed:                h.config.Status.Backed(),
		StoreReachable:        h.config.Status.StoreReachable(),
		ConfirmationAgeMillis: -1,
	}
	revisionBefore := documentRevision(h.config.Status.Document())
	age, confirmed := h.config.Status.ConfirmationAge()
	ack.Revision = documentRevision(h.config.Status.Document())
	if confirmed && revisionBefore == ack.Revision {
		// Rounded up, so that the stated age is never less than the actual age.
		ack.ConfirmationAgeMillis = (age + time.Millisecond - 1).Milliseconds()
	}
	return ack
}

// forwardConfigurationTo sends the current document on one link if the other side has a lower revision.
func (h *Hub) forwardConfigurationTo(conn *connection) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	data, revision := h.encodeDocument(conn.role)
	if data == nil || conn.revision >= revision {
		return
	}
	if conn.Send(&wire.Configuration{Revision: revision, Document: data}) == nil {
		conn.revision = revision
	}
}

// updateView applies a change to the view of a worker if conn is its current link.
func (h *Hub) updateView(w *worker, conn *connection, change func(*View)) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if w.link == conn {
		change(&w.view)
	}
}

// forEachHandler runs call for every handler without holding the mutex.
func (h *Hub) forEachHandler(call func(Handler)) {
	h.mutex.Lock()
	handlers := h.handlers
	h.mutex.Unlock()
	for _, handler := range handlers {
		call(handler)
	}
}
