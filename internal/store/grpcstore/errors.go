package grpcstore

import (
	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	storev1 "clementineflow/api/store/v1"
	"clementineflow/internal/store"
)

// access says whether a call can change the store and what NOT_FOUND means for it.
type access struct {
	writes   bool
	notFound error
}

var (
	readsKey    = access{notFound: store.ErrNotFound}
	writesKey   = access{writes: true, notFound: store.ErrLeaseNotFound}
	writesLease = access{writes: true, notFound: store.ErrLeaseNotFound}
)

// mapError translates the status of a call into the errors of the store. A write that was sent and
// not answered may have taken effect; every other failed call certainly had none.
func mapError(err error, access access, progress *progress) error {
	if err == nil {
		return nil
	}
	code := status.Code(err)
	answered := progress.answered.Load()
	switch {
	case answered && code == codes.NotFound:
		return access.notFound
	case answered && code == codes.Aborted:
		return conflictError(err)
	case answered && code == codes.InvalidArgument:
		return store.ErrValueTooLarge
	case answered && code == codes.Unavailable:
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
	// A conflict without its detail was refused all the same; the caller reads the key again.
	return &store.ConflictError{}
}
