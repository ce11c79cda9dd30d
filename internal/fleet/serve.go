package fleet

import (
	"time"

	"clementineflow/internal/link"
	"clementineflow/internal/wire"
)

// Serve reads one accepted link until it ends. It is passed to link.NewServer.
func (h *Hub) Serve(conn link.Conn) {
	defer conn.Close()
	first, err := conn.Receive()
	if err != nil {
		return
	}
	hello, ok := first.(*wire.Hello)
	if !ok || hello.Name == "" || hello.Incarnation == "" {
		h.config.Logger.Warn("link closed: no valid hello", "address", conn.RemoteAddress())
		return
	}
	if hello.Region != h.config.Region {
		h.config.Logger.Warn("link closed: other region", "from", hello.Name, "region", hello.Region)
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

// serveAgent reads a link with an agent.
func (h *Hub) serveAgent(conn *connection, hello *wire.Hello) {
	w, ok := h.attach(conn, hello)
	if !ok {
		h.config.Logger.Warn("link closed: incarnation was replaced",
			"worker", conn.name, "incarnation", conn.incarnation, "session", conn.session)
		return
	}
	defer h.detach(w, conn)
	h.config.Logger.Info("worker connected", "worker", conn.name, "zone", hello.Zone,
		"boot", conn.bootID, "session", conn.session)
	for {
		message, err := conn.Receive()
		if err != nil {
			h.config.Logger.Info("worker link ended", "worker", conn.name, "err", err)
			return
		}
		if !h.fromAgent(w, conn, message) {
			return
		}
	}
}

// replaces reports whether a Hello may replace the current link of a worker. Within one boot the
// session number orders the incarnations, so that a delayed link of an older agent is refused.
func replaces(current *View, hello *wire.Hello) bool {
	if current.Incarnation == hello.Incarnation {
		return current.Session.BootID != hello.Session.BootID || hello.Session.Number >= current.Session.Number
	}
	if current.Session.BootID != hello.Session.BootID {
		return true
	}
	return hello.Session.Number > current.Session.Number
}

// attach makes the link the current one of its worker, or returns false for an older incarnation.
func (h *Hub) attach(conn *connection, hello *wire.Hello) (*worker, bool) {
	h.mutex.Lock()
	w, known := h.workers[conn.name]
	if !known {
		w = &worker{}
		h.workers[conn.name] = w
	}
	h.mutex.Unlock()

	w.events.Lock()
	defer w.events.Unlock()
	h.mutex.Lock()
	if w.view.Name != "" && !replaces(&w.view, hello) {
		h.mutex.Unlock()
		return nil, false
	}
	previous, lost := w.link, ""
	if previous != nil && previous.incarnation != conn.incarnation {
		lost = previous.incarnation
	}
	w.view, w.link = viewOf(hello, time.Now()), conn
	h.workers[conn.name] = w
	h.links[conn] = struct{}{}
	view, handlers := w.view, h.handlers
	h.welcome(conn)
	h.mutex.Unlock()

	if previous != nil {
		previous.Close()
	}
	for _, handler := range handlers {
		if lost != "" {
			handler.WorkerDisconnected(conn.name, lost)
		}
		handler.WorkerConnected(view)
	}
	return w, true
}

// detach ends a link; it reports the worker as disconnected if the link is its current one.
func (h *Hub) detach(w *worker, conn *connection) {
	conn.Close()
	w.events.Lock()
	defer w.events.Unlock()
	h.mutex.Lock()
	delete(h.links, conn)
	last := w.link == conn
	if last {
		w.link = nil
		w.view.Connected = false
		w.view.LostAt = time.Now()
	}
	handlers := h.handlers
	h.mutex.Unlock()
	if !last {
		return
	}
	for _, handler := range handlers {
		handler.WorkerDisconnected(conn.name, conn.incarnation)
	}
}

// welcome answers a Hello. The mutex is held.
func (h *Hub) welcome(conn *connection) {
	data, revision := h.encode(conn.role)
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

// fromAgent handles one message of an agent and reports whether the link goes on.
func (h *Hub) fromAgent(w *worker, conn *connection, message wire.Message) bool {
	switch m := message.(type) {
	case *wire.Heartbeat:
		return h.agentHeartbeat(w, conn, m)
	case *wire.Hello:
		return h.hello(w, conn, m)
	case *wire.Configuration:
		h.observe(conn, m.Document)
	case *wire.Leaving:
		h.update(w, conn, func(view *View) { view.Leaving = true })
	case *wire.Usage:
		now := time.Now()
		h.update(w, conn, func(view *View) { view.usage(m, now) })
		h.each(func(handler Handler) { handler.Usage(conn.name, m) })
	case *wire.RequestReply:
		h.each(func(handler Handler) { handler.RequestReply(conn.name, m) })
	case *wire.QueryReply:
		h.each(func(handler Handler) { handler.QueryReply(conn.name, m) })
	case *wire.TaskEvent:
		h.each(func(handler Handler) { handler.TaskEvent(conn.name, m) })
	default:
		h.config.Logger.Warn("unexpected message from agent", "worker", conn.name, "kind", message.Kind())
	}
	return true
}

// hello takes over a further Hello on an open link, which an agent sends after it attached again.
func (h *Hub) hello(w *worker, conn *connection, hello *wire.Hello) bool {
	if hello.Name != conn.name || hello.Incarnation != conn.incarnation {
		return false
	}
	w.events.Lock()
	defer w.events.Unlock()
	h.mutex.Lock()
	if w.link != conn || !replaces(&w.view, hello) {
		h.mutex.Unlock()
		return false
	}
	conn.bootID, conn.session = hello.Session.BootID, hello.Session.Number
	leaving := w.view.Leaving
	w.view = viewOf(hello, time.Now())
	w.view.Leaving = leaving
	view, handlers := w.view, h.handlers
	h.mutex.Unlock()
	for _, handler := range handlers {
		handler.WorkerConnected(view)
	}
	return true
}

// agentHeartbeat records and acknowledges a heartbeat. A heartbeat of another session than that of
// the Hello ends the link: the boot id of the new session is not known, so that an acknowledgement
// could not be recorded for it.
func (h *Hub) agentHeartbeat(w *worker, conn *connection, heartbeat *wire.Heartbeat) bool {
	if heartbeat.Session != 0 && heartbeat.Session != conn.session {
		h.config.Logger.Warn("link closed: session changed without a hello", "worker", conn.name,
			"session", heartbeat.Session, "hello", conn.session)
		return false
	}
	now := time.Now()
	h.update(w, conn, func(view *View) { view.heartbeat(heartbeat, now) })
	h.noteRevision(conn, heartbeat.Revision)
	h.mutex.Lock()
	if w.link != conn {
		h.mutex.Unlock()
		return false
	}
	h.silence.Acknowledge(conn.name, conn.bootID, now)
	h.mutex.Unlock()
	if err := conn.Send(h.acknowledgement(heartbeat)); err != nil {
		h.config.Logger.Warn("heartbeat not acknowledged", "worker", conn.name, "err", err)
	}
	h.forwardTo(conn)
	return true
}

// acknowledgement returns the answer to a heartbeat. The confirmation age is read before the
// revision, so that it never makes a later revision look confirmed longer than it is.
func (h *Hub) acknowledgement(heartbeat *wire.Heartbeat) *wire.HeartbeatAck {
	ack := &wire.HeartbeatAck{
		Sequence:              heartbeat.Sequence,
		Backed:                h.config.Status.Backed(),
		StoreReachable:        h.config.Status.StoreReachable(),
		ConfirmationAgeMillis: -1,
	}
	before := revisionOf(h.config.Status.Document())
	age, confirmed := h.config.Status.ConfirmationAge()
	ack.Revision = revisionOf(h.config.Status.Document())
	if confirmed && before == ack.Revision {
		// Rounded up, so that the agent never takes the confirmation for younger than it is.
		ack.ConfirmationAgeMillis = (age + time.Millisecond - 1).Milliseconds()
	}
	return ack
}

// forwardTo sends the document to one link whose other side has stated a lower revision.
func (h *Hub) forwardTo(conn *connection) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	data, revision := h.encode(conn.role)
	if data == nil || conn.revision >= revision {
		return
	}
	if conn.Send(&wire.Configuration{Revision: revision, Document: data}) == nil {
		conn.revision = revision
	}
}

// update changes the view of a worker if the link is its current one.
func (h *Hub) update(w *worker, conn *connection, change func(*View)) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if w.link == conn {
		change(&w.view)
	}
}

// each calls every handler without holding the mutex.
func (h *Hub) each(call func(Handler)) {
	h.mutex.Lock()
	handlers := h.handlers
	h.mutex.Unlock()
	for _, handler := range handlers {
		call(handler)
	}
}
