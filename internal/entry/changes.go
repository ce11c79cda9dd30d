package entry

import (
	"context"

	"github.com/pkg/errors"

	"clementineflow/internal/configuration"
	"clementineflow/internal/operator"
)

// changes implements operator.Configuration over the follower and translates its errors.
type changes struct {
	*configuration.Follower
}

// Change implements operator.Configuration.
func (c changes) Change(ctx context.Context, requestID, author, summary string, mutate func(*configuration.Document) error) (uint64, error) {
	revision, err := c.Follower.Change(ctx, requestID, author, summary, mutate)
	return revision, changeError(err)
}

// changeError translates an error of a change into one of the operators' interface.
func changeError(err error) error {
	var conflict *configuration.ConflictError
	var invalid *configuration.InvalidError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return &operator.Error{Code: operator.CodeConflict, Message: err.Error(), CurrentRevision: conflict.Current}
	case errors.As(err, &invalid):
		return operator.Errorf(operator.CodeInvalidSpecification, "%s", err.Error())
	case errors.Is(err, configuration.ErrUnavailable):
		return &operator.Error{Code: operator.CodeUnavailable, Message: err.Error(), RetryAfter: retryAfterUnavailable}
	case errors.Is(err, configuration.ErrOutcomeUnknown):
		return &operator.Error{Code: operator.CodeOutcomeUnknown, Message: err.Error(), RetryAfter: retryAfterUnavailable}
	default:
		return err
	}
}
