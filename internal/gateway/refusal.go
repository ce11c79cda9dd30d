package gateway

import (
	"context"

	"github.com/pkg/errors"

	"clementineflow/internal/store"
)

// errNoRoom reports a submission or a cancellation that the coordinator has no room for.
var errNoRoom = errors.New("gateway: no room for more stored jobs")

// refuse logs and returns a reply with an outcome other than Accepted.
func (g *Gateway) refuse(id string, outcome Outcome, reason string) Reply {
	g.refusals.Warn("job not accepted", "job", id, "outcome", outcome, "reason", reason)
	return Reply{Outcome: outcome, RetryAfter: retryAfter, Reason: reason}
}

// refuseUnlessStored returns the reply for a job that is refused before it is stored. It may be stored from an earlier
// submission of the same ID, which the coordinator knows: it keeps all stored jobs. Without its answer, the reply promises
// nothing.
func (g *Gateway) refuseUnlessStored(ctx context.Context, id string, cause error) Reply {
	countRefusal(cause)
	call, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	_, known, err := g.config.Coordinator.State(call, id)
	switch {
	case err != nil:
		return g.refuse(id, Unknown, errors.Wrap(err, cause.Error()).Error())
	case known:
		g.refusals.Info("job is already stored", "job", id)
		return Reply{Outcome: Accepted}
	default:
		return g.refuse(id, Refused, cause.Error())
	}
}

// refuseCall returns the error of a request that would cause a call to the store beyond the budget.
func (g *Gateway) refuseCall() error {
	countRefusal(errTooManyCalls)
	return errors.Wrap(store.ErrUnavailable, errTooManyCalls.Error())
}

// countRefusal counts a request that is refused for the cause.
func countRefusal(cause error) {
	if errors.Is(cause, errNoRoom) {
		refusedWithoutRoom.Inc()
		return
	}
	refusedCalls.Inc()
}
