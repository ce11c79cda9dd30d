package kvstore

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	storev1 "clementineflow/api/store/v1"
	"clementineflow/internal/store"
)

// Server serves a store.Store over the protocol of api/store/v1.
type Server struct {
	storev1.UnimplementedStoreServiceServer
	store store.Store
}

// NewServer returns a gRPC server that forwards every call to the given store.
func NewServer(backend store.Store) *Server { return &Server{store: backend} }

// Get implements storev1.StoreServiceServer.
func (s *Server) Get(ctx context.Context, request *storev1.GetRequest) (*storev1.GetResponse, error) {
	value, err := s.store.Get(ctx, request.GetKey())
	if err != nil {
		return nil, toStatus(err)
	}
	return &storev1.GetResponse{KeyValue: toProto(value)}, nil
}

// List implements storev1.StoreServiceServer.
func (s *Server) List(ctx context.Context, request *storev1.ListRequest) (*storev1.ListResponse, error) {
	values, err := s.store.List(ctx, request.GetPrefix())
	if err != nil {
		return nil, toStatus(err)
	}
	response := &storev1.ListResponse{}
	for _, value := range values {
		response.KeyValues = append(response.KeyValues, toProto(value))
	}
	return response, nil
}

// CompareAndSwap implements storev1.StoreServiceServer.
func (s *Server) CompareAndSwap(ctx context.Context, request *storev1.CompareAndSwapRequest) (*storev1.CompareAndSwapResponse, error) {
	revision, err := s.store.CompareAndSwap(ctx, request.GetKey(),
		store.Revision(request.GetExpectedRevision()), request.GetValue(), store.LeaseID(request.GetLease()))
	if err != nil {
		return nil, toStatus(err)
	}
	return &storev1.CompareAndSwapResponse{Revision: uint64(revision)}, nil
}

// Delete implements storev1.StoreServiceServer.
func (s *Server) Delete(ctx context.Context, request *storev1.DeleteRequest) (*storev1.DeleteResponse, error) {
	err := s.store.Delete(ctx, request.GetKey(), store.Revision(request.GetExpectedRevision()))
	if err != nil {
		return nil, toStatus(err)
	}
	return &storev1.DeleteResponse{}, nil
}

// GrantLease implements storev1.StoreServiceServer.
func (s *Server) GrantLease(ctx context.Context, request *storev1.GrantLeaseRequest) (*storev1.GrantLeaseResponse, error) {
	lease, err := s.store.GrantLease(ctx, time.Duration(request.GetTtlMillis())*time.Millisecond)
	if err != nil {
		return nil, toStatus(err)
	}
	return &storev1.GrantLeaseResponse{Lease: uint64(lease)}, nil
}

// RenewLease implements storev1.StoreServiceServer.
func (s *Server) RenewLease(ctx context.Context, request *storev1.RenewLeaseRequest) (*storev1.RenewLeaseResponse, error) {
	if err := s.store.RenewLease(ctx, store.LeaseID(request.GetLease())); err != nil {
		return nil, toStatus(err)
	}
	return &storev1.RenewLeaseResponse{}, nil
}

// RevokeLease implements storev1.StoreServiceServer.
func (s *Server) RevokeLease(ctx context.Context, request *storev1.RevokeLeaseRequest) (*storev1.RevokeLeaseResponse, error) {
	if err := s.store.RevokeLease(ctx, store.LeaseID(request.GetLease())); err != nil {
		return nil, toStatus(err)
	}
	return &storev1.RevokeLeaseResponse{}, nil
}

// Watch implements storev1.StoreServiceServer.
func (s *Server) Watch(request *storev1.WatchRequest, stream storev1.StoreService_WatchServer) error {
	watcher, err := s.store.Watch(stream.Context(), request.GetPrefix(), store.Revision(request.GetAfterRevision()))
	if err != nil {
		return toStatus(err)
	}
	defer watcher.Close()
	for {
		event, err := watcher.Next(stream.Context())
		if err != nil {
			return toStatus(err)
		}
		response := &storev1.WatchResponse{KeyValue: toProto(event.KeyValue), Deleted: event.Deleted}
		if err := stream.Send(response); err != nil {
			return errors.Wrap(err, "kvstore: send event")
		}
	}
}

func toProto(value store.KeyValue) *storev1.KeyValue {
	return &storev1.KeyValue{
		Key: value.Key, Value: value.Value, Revision: uint64(value.Revision), Lease: uint64(value.Lease),
	}
}

// toStatus maps a store error to a gRPC status. Errors without a mapping, such as
// store.ErrOutcomeUnknown, become DeadlineExceeded.
func toStatus(err error) error {
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict):
		return conflictStatus(conflict)
	case errors.Is(err, store.ErrNotFound), errors.Is(err, store.ErrLeaseNotFound):
		return status.Error(codes.NotFound, err.Error())
	case errors.Is(err, store.ErrValueTooLarge):
		return status.Error(codes.InvalidArgument, err.Error())
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrWatchClosed):
		return status.Error(codes.Unavailable, err.Error())
	default:
		return status.Error(codes.DeadlineExceeded, err.Error())
	}
}

func conflictStatus(conflict *store.ConflictError) error {
	basic := status.New(codes.Aborted, conflict.Error())
	detailed, err := basic.WithDetails(&storev1.ConflictDetail{
		Key: conflict.Key, CurrentRevision: uint64(conflict.Current),
	})
	if err != nil {
		return basic.Err()
	}
	return detailed.Err()
}
