package operator

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	operatorv1 "clementineflow/api/operator/v1"
)

// ForwardedMetadata is the metadata key of a call that another entry forwarded. Its value is the name
// of that entry. Such a call is not forwarded again.
const ForwardedMetadata = "clementine-forwarded"

var (
	forwardedCalls  = metrics.NewCounter("clementine_operator_forwarded_total")
	forwardFailures = metrics.NewCounter("clementine_operator_forward_failures_total")
)

func isForwarded(ctx context.Context) bool {
	incoming, _ := metadata.FromIncomingContext(ctx)
	return len(incoming.Get(ForwardedMetadata)) > 0
}

// ownerClient returns a client of the entry that cause names as the owner, and the context for the
// forwarded call. It returns cause if cause is not an *ErrNotOwner, if the owner is this entry or has
// no known address, or if the call was forwarded already: two entries with different views of the
// ownership would otherwise forward a call to each other in a loop.
func (s *Server) ownerClient(ctx context.Context, cause error) (context.Context, operatorv1.OperatorServiceClient, error) {
	var notOwner *ErrNotOwner
	if !errors.As(cause, &notOwner) || notOwner.Entry == s.config.Name || isForwarded(ctx) {
		return nil, nil, cause
	}
	address, ok := s.operatorAddress(notOwner.Entry)
	if !ok {
		return nil, nil, cause
	}
	client, err := s.config.Forwarder.Client(ctx, address)
	if err != nil {
		forwardFailures.Inc()
		return nil, nil, &Error{
			Code: CodeUnavailable, RetryAfter: retryNotOwner,
			Message: "entry " + notOwner.Entry + ", which owns the task, cannot be reached",
		}
	}
	forwardedCalls.Inc()
	return metadata.AppendToOutgoingContext(ctx, ForwardedMetadata, s.config.Name), client, nil
}

func (s *Server) operatorAddress(entry string) (string, bool) {
	for _, candidate := range s.config.Entries.Entries() {
		if candidate.Name == entry && candidate.OperatorAddress != "" {
			return candidate.OperatorAddress, true
		}
	}
	return "", false
}

// forward sends the call to the owner that cause names and returns its response. It returns cause if
// the call cannot be forwarded; see ownerClient.
func forward[T any](ctx context.Context, s *Server, cause error, kind callKind,
	call func(context.Context, operatorv1.OperatorServiceClient) (T, error),
) (T, error) {
	var none T
	ctx, client, err := s.ownerClient(ctx, cause)
	if err != nil {
		return none, err
	}
	response, err := call(ctx, client)
	if err != nil {
		return none, forwardError(err, kind)
	}
	return response, nil
}

// forwardError returns an error that the owner reported unchanged. An error without an ErrorDetail is
// a transport error: the call may have reached the owner, so the outcome of a change is unknown.
func forwardError(err error, kind callKind) error {
	if DetailOf(err) != nil {
		return err
	}
	forwardFailures.Inc()
	if kind == changeCall {
		return &Error{
			Code: CodeOutcomeUnknown, RetryAfter: retryUnavailable,
			Message: "the connection to the owner of the task broke; repeat the call with the same request_id",
		}
	}
	return &Error{
		Code: CodeUnavailable, RetryAfter: retryUnavailable,
		Message: "the connection to the owner of the task broke",
	}
}

// DetailOf returns the ErrorDetail of a gRPC status error, or nil if it has none.
func DetailOf(err error) *operatorv1.ErrorDetail {
	for _, detail := range status.Convert(err).Details() {
		if typed, ok := detail.(*operatorv1.ErrorDetail); ok {
			return typed
		}
	}
	return nil
}
