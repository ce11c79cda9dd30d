package runner

import (
	"context"

	"clementineflow/internal/link"
	"clementineflow/internal/wait"
	"clementineflow/internal/wire"
)

// ServeLink handles one link that a coordinator has opened, until it ends. It returns at once if the link is of
// an older term or does not have a newer fence.
func (a *Agent) ServeLink(ctx context.Context, conn link.Conn) {
	message, err := conn.Receive()
	if err != nil {
		return
	}
	hello, ok := message.(*wire.CoordinatorHello)
	if !ok || !a.acceptLink(conn, hello) {
		return
	}
	defer a.detachLink(conn)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go a.sendPings(ctx, conn)
	for {
		message, err := conn.Receive()
		if err != nil {
			a.config.Logger.Warn("coordinator link ended", "term", hello.Term, "error", err)
			return
		}
		a.handleMessage(conn, message)
	}
}

// acceptLink makes the link the current one. It returns false if the link is for another agent, of an older
// term, or without a newer fence.
func (a *Agent) acceptLink(conn link.Conn, hello *wire.CoordinatorHello) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if hello.Agent != a.config.Name || hello.Term < a.coordinatorTerm || hello.Fence <= a.fence {
		a.config.Logger.Warn("refused a coordinator link", "term", hello.Term, "known_term", a.coordinatorTerm, "for", hello.Agent)
		return false
	}
	if a.conn != nil {
		a.conn.Close()
	}
	a.conn, a.coordinatorTerm, a.fence = conn, hello.Term, hello.Fence
	a.pings = pingLog{}
	a.incarnations = 0
	a.config.Logger.Info("accepted a coordinator link", "term", hello.Term, "fence", hello.Fence)
	a.sendReportLocked()
	a.wakeLocked()
	return true
}

// detachLink clears the current link if it is this one.
func (a *Agent) detachLink(conn link.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == conn {
		a.conn = nil
	}
}

// sendPings sends periodic pings, whose replies extend the authority, and repeats the report until the link ends.
func (a *Agent) sendPings(ctx context.Context, conn link.Conn) {
	for {
		a.mu.Lock()
		sequence := a.pings.recordNext(a.config.Now())
		current := a.conn == conn
		if current {
			a.repeatReportLocked()
		}
		a.mu.Unlock()
		if !current || conn.Send(&wire.AgentPing{Sequence: sequence}) != nil {
			return
		}
		if !wait.Sleep(ctx, pingInterval) {
			return
		}
	}
}

// handleMessage processes a message of the coordinator, and ignores it if the link is no longer current.
func (a *Agent) handleMessage(conn link.Conn, message wire.Message) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != conn {
		return
	}
	switch message := message.(type) {
	case *wire.PingReply:
		if sent, ok := a.pings.sentAt(message.Sequence); ok {
			a.lease.authorizedUntil = max(a.lease.authorizedUntil, sent+a.config.Authority)
		}
	case *wire.ConfirmEnds:
		if message.WorkerID == a.worker.ID && message.Incarnation == a.worker.Incarnation {
			a.ends.markRecorded(message.Numbers)
			a.wakeLocked()
		}
	case *wire.StartRun:
		a.handleStartLocked(message)
	case *wire.StopRun:
		a.handleStopLocked(message)
	default:
		a.config.Logger.Warn("unexpected message from the coordinator", "kind", message.Kind())
	}
}

// HasAuthority reports whether a coordinator has answered a ping lately, so that the agent may extend its worker's lease.
func (a *Agent) HasAuthority() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.config.Now() < a.lease.authorizedUntil
}
