package grpcstore

import (
	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	storev1 "clementineflow/api/store/v1"
	"clementineflow/internal/store"
)

// access describes a kind of call: whether it can change the store, and the error that NOT_FOUND maps to.
type access struct {
	writes   bool
	notFound error
}

var (
	keyRead    = access{notFound: store.ErrNotFound}
	keyWrite   = access{writes: true, notFound: store.ErrLeaseNotFound}
	leaseWrite = access{writes: true, notFound: store.ErrLeaseNotFound}
)

// mapError translates the status of a call into the errors of the store. A write that was sent but
// got no response may have taken effect; every other failed call had no effect.
func mapError(err error, access access, progress *progress) error {
	if err == nil {
		return nil
	}
	code := status.Code(err)
	responded := progress.responded.Load()
	switch {
	case responded && code == codes.NotFound:
		return access.notFound
	case responded && code == codes.Aborted:
		return conflictError(err)
	case responded && code == codes.InvalidArgument:
		return store.ErrValueTooLarge
	case responded && code == codes.Unavailable:
		return errors.WithMessage(store.ErrUnavailable, err.Error())
	case access.writes && progress.sent.Load():
		return errors.WithMessage(store.ErrOutcomeUnknown, err.Error())
	default:
		return errors.WithMessage(store.ErrUnavailable, err.Error())
	}
}

func conflictError(err error) error {
	for _, detail := range status.Convert(err).Details() {
		if conflict, ok := detail.(*storev1.ConflictDetail); ok {
			return &store.ConflictError{
				Key: conflict.GetKey(), Current: store.Revision(conflict.GetCurrentRevision()),
			}
		}
	}
	// The write was rejected even if the conflict has no detail; the caller reads the key again.
	return &store.ConflictError{}
}
