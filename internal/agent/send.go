package agent

import (
	"github.com/pkg/errors"

	"clementineflow/internal/link"
	"clementineflow/internal/wire"
)

// send queues a message on its link. A link that does not keep up is closed: the entry then asks for
// what it missed, while a message dropped on an open link would be lost unnoticed.
func (a *Agent) send(next sendMessage) {
	conn, ok := a.conns[next.link]
	if !ok {
		return
	}
	err := conn.Send(next.message)
	if errors.Is(err, wire.ErrFrameTooLarge) {
		err = conn.Send(withoutAnswer(next.message))
	}
	if err == nil || errors.Is(err, link.ErrClosed) {
		return
	}
	a.config.Logger.Warn("closing a link that does not take messages", "peer", conn.RemoteAddress(), "error", err)
	conn.Close()
}

// withoutAnswer returns a reply of unknown outcome in place of one that is too large for a frame.
// Other messages are returned as they are.
func withoutAnswer(message wire.Message) wire.Message {
	switch message := message.(type) {
	case *wire.RequestReply:
		return unknownReply(message)
	case *wire.QueryReply:
		reduced := &wire.QueryReply{}
		for i := range message.Replies {
			reduced.Replies = append(reduced.Replies, *unknownReply(&message.Replies[i]))
		}
		return reduced
	default:
		return message
	}
}

// unknownReply returns an answered reply as one of unknown outcome, and any other as it is.
func unknownReply(reply *wire.RequestReply) *wire.RequestReply {
	if reply.Outcome != wire.OutcomeAnswered {
		return reply
	}
	return &wire.RequestReply{ID: reply.ID, Attempt: reply.Attempt, Outcome: wire.OutcomeUnknown}
}
