package entry

import (
	"context"

	"github.com/pkg/errors"

	"clementineflow/internal/configuration"
	"clementineflow/internal/operator"
)

// operatorConfiguration implements operator.Configuration over the configuration follower and translates its errors.
type operatorConfiguration struct {
	*configuration.Follower
}

// Change implements operator.Configuration.
func (c operatorConfiguration) Change(ctx context.Context, requestID, author, summary string, mutate func(*configuration.Document) error) (uint64, error) {
	revision, err := c.Follower.Change(ctx, requestID, author, summary, mutate)
	return revision, translateChangeError(err)
}

// translateChangeError maps an error of the configuration follower to an operator.Error; other errors are
// returned unchanged.
func translateChangeError(err error) error {
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
