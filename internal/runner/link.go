package runner

import (
	"context"

	"clementineflow/internal/link"
	"clementineflow/internal/wait"
	"clementineflow/internal/wire"
)

// Serve handles one link that a coordinator has opened. A link of an older term is closed.
func (a *Agent) Serve(ctx context.Context, conn link.Conn) {
	message, err := conn.Receive()
	if err != nil {
		return
	}
	hello, ok := message.(*wire.TermHello)
	if !ok || !a.accept(conn, hello) {
		return
	}
	defer a.detach(conn)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go a.ping(ctx, conn)
	for {
		message, err := conn.Receive()
		if err != nil {
			a.config.Logger.Warn("link of the coordinator ended", "term", hello.Term, "error", err)
			return
		}
		a.handle(conn, message)
	}
}

// accept makes the link the current one, unless a newer term has been seen.
func (a *Agent) accept(conn link.Conn, hello *wire.TermHello) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if hello.Agent != a.config.Name || hello.Term < a.term || hello.Fence <= a.fence {
		a.config.Logger.Warn("link refused", "term", hello.Term, "known_term", a.term, "for", hello.Agent)
		return false
	}
	if a.conn != nil {
		a.conn.Close()
	}
	a.conn, a.term, a.fence = conn, hello.Term, hello.Fence
	a.pings = pingLog{}
	a.lives = 0
	a.config.Logger.Info("coordinator linked", "term", hello.Term, "fence", hello.Fence)
	a.reportLocked()
	a.wakeLocked()
	return true
}

// detach forgets the link if it is still the current one.
func (a *Agent) detach(conn link.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == conn {
		a.conn = nil
	}
}

// ping asks the coordinator to extend the authority until the link ends.
func (a *Agent) ping(ctx context.Context, conn link.Conn) {
	for {
		a.mu.Lock()
		sequence := a.pings.next(a.config.Now())
		current := a.conn == conn
		a.mu.Unlock()
		if !current || conn.Send(&wire.AgentPing{Sequence: sequence}) != nil {
			return
		}
		if !wait.Sleep(ctx, pingInterval) {
			return
		}
	}
}

// handle takes in a message of the coordinator.
func (a *Agent) handle(conn link.Conn, message wire.Message) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != conn {
		return
	}
	switch message := message.(type) {
	case *wire.PingReply:
		if sent, ok := a.pings.sentAt(message.Sequence); ok {
			a.lease.authority = max(a.lease.authority, sent+a.config.Authority)
		}
	case *wire.ConfirmEnds:
		if message.WorkerID == a.worker.ID && message.Born == a.worker.Born {
			a.ends.record(message.Numbers)
			a.wakeLocked()
		}
	case *wire.StartRun:
		a.startLocked(message)
	case *wire.StopRun:
		a.stopLocked(message)
	default:
		a.config.Logger.Warn("unexpected message of the coordinator", "kind", message.Kind())
	}
}
