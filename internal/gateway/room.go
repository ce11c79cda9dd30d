package gateway

import (
	"context"

	"github.com/pkg/errors"
)

// errNoRoom reports a submission or a cancellation that the coordinator has no room for.
var errNoRoom = errors.New("gateway: no room for more stored jobs")

// refuseWithoutRoom returns the reply for a job that there is no room for. The job may be stored from an earlier submission
// of the same ID, which the coordinator knows: it keeps all stored jobs. Without its answer, the reply promises nothing.
func (g *Gateway) refuseWithoutRoom(ctx context.Context, id string) Reply {
	refusedWithoutRoom.Inc()
	call, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	_, known, err := g.config.Coordinator.State(call, id)
	switch {
	case err != nil:
		return g.refuse(id, Unknown, errors.Wrap(err, errNoRoom.Error()).Error())
	case known:
		g.refusals.Info("job is already stored", "job", id)
		return Reply{Outcome: Accepted}
	default:
		return g.refuse(id, Refused, errNoRoom.Error())
	}
}
