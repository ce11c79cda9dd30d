package agent

import (
	"github.com/pkg/errors"

	"clementineflow/internal/link"
	"clementineflow/internal/wire"
)

// sendOnLink queues a message on its link. If that fails, the link is closed: the entry then queries the
// outcomes over its next link, whereas a message dropped from an open link would be lost undetected. A
// reply that is too large is sent with an unknown outcome.
func (a *Agent) sendOnLink(next sendMessage) {
	conn, ok := a.conns[next.link]
	if !ok {
		return
	}
	err := conn.Send(next.message)
	if errors.Is(err, wire.ErrFrameTooLarge) {
		err = conn.Send(withUnknownOutcome(next.message))
	}
	if err == nil || errors.Is(err, link.ErrClosed) {
		return
	}
	a.config.Logger.Warn("could not send on a link; closing it", "peer", conn.RemoteAddress(), "error", err)
	conn.Close()
}

// withUnknownOutcome replaces the responses in a message that is too large for a frame by unknown
// outcomes. Other messages are returned unchanged.
func withUnknownOutcome(message wire.Message) wire.Message {
	switch message := message.(type) {
	case *wire.RequestReply:
		return withUnknownReplyOutcome(message)
	case *wire.QueryReply:
		reduced := &wire.QueryReply{}
		for i := range message.Replies {
			reduced.Replies = append(reduced.Replies, *withUnknownReplyOutcome(&message.Replies[i]))
		}
		return reduced
	default:
		return message
	}
}

// withUnknownReplyOutcome returns an answered reply with an unknown outcome and without its response, and
// any other reply unchanged.
func withUnknownReplyOutcome(reply *wire.RequestReply) *wire.RequestReply {
	if reply.Outcome != wire.OutcomeAnswered {
		return reply
	}
	return &wire.RequestReply{ID: reply.ID, Attempt: reply.Attempt, Outcome: wire.OutcomeUnknown}
}
