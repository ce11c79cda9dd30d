package gateway

import (
	"context"

	"clementineflow/internal/link"
	"clementineflow/internal/wire"
)

// Authenticate makes the peer show the token to other entries, and act only for those that show it. It must be called before
// Run and Serve.
func (p *Peer) Authenticate(token *link.Token) { p.token = token }

// Serve handles the calls, notifications and queries of another entry on one link until the link ends. A peer that has not
// sent the token may only send queries.
func (p *Peer) Serve(ctx context.Context, conn link.Conn) {
	defer p.removeServed(conn)
	trusted := p.token.Trusts("") // only without a token
	for {
		message, err := conn.Receive()
		if err != nil {
			return
		}
		if ping, ok := message.(*wire.PeerPing); ok {
			trusted = trusted || p.token.Trusts(ping.Token)
			ping.Token = ""
		}
		if trusted {
			message = p.serveTrusted(ctx, conn, message)
		} else {
			message = p.serveUntrusted(message)
		}
		if message == nil {
			continue
		}
		if err := conn.Send(p.answerQuery(ctx, message)); err != nil {
			return
		}
	}
}

// serveTrusted handles what only another entry may send, and returns any other message.
func (p *Peer) serveTrusted(ctx context.Context, conn link.Conn, message wire.Message) wire.Message {
	switch message := message.(type) {
	case *wire.StoreCall:
		p.stores.Serve(ctx, conn, message)
		return nil
	case *wire.InputNotice:
		p.local.NotifyStored(message.Key, message.Value)
		return nil
	case *wire.PeerPing:
		if p.servePing(conn, message) {
			return nil
		}
	}
	return message
}

// serveUntrusted returns the message if any peer may send it. A store call gets the reply that it was not made.
func (p *Peer) serveUntrusted(message wire.Message) wire.Message {
	switch message := message.(type) {
	case *wire.StoreCall:
		untrustedMessages.Inc()
		return &wire.StoreReply{Sequence: message.Sequence, Outcome: wire.StoreNotApplied}
	case *wire.InputNotice:
		untrustedMessages.Inc()
		return nil
	case *wire.PeerPing:
		if message.StoreSuspect {
			untrustedMessages.Inc()
			return nil
		}
	}
	return message
}
