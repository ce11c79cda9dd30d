package grpcstore

import (
	"context"
	"time"

	storev1 "clementineflow/api/store/v1"
	"clementineflow/internal/store"
)

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.KeyValue, error) {
	response, err := call(ctx, c, keyRead, func(ctx context.Context, client storeClient) (*storev1.GetResponse, error) {
		return client.Get(ctx, &storev1.GetRequest{Key: key})
	})
	if err != nil {
		return store.KeyValue{}, err
	}
	return fromProto(response.GetKeyValue()), nil
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]store.KeyValue, error) {
	response, err := call(ctx, c, keyRead, func(ctx context.Context, client storeClient) (*storev1.ListResponse, error) {
		return client.List(ctx, &storev1.ListRequest{Prefix: prefix})
	})
	if err != nil {
		return nil, err
	}
	values := make([]store.KeyValue, 0, len(response.GetKeyValues()))
	for _, value := range response.GetKeyValues() {
		values = append(values, fromProto(value))
	}
	return values, nil
}

// CompareAndSwap implements store.Store.
func (c *Client) CompareAndSwap(
	ctx context.Context, key string, expected store.Revision, value []byte, lease store.LeaseID,
) (store.Revision, error) {
	if len(value) > store.MaxValueBytes {
		return 0, store.ErrValueTooLarge
	}
	request := &storev1.CompareAndSwapRequest{
		Key: key, ExpectedRevision: uint64(expected), Value: value, Lease: uint64(lease),
	}
	response, err := call(ctx, c, keyWrite, func(ctx context.Context, client storeClient) (*storev1.CompareAndSwapResponse, error) {
		return client.CompareAndSwap(ctx, request)
	})
	return store.Revision(response.GetRevision()), err
}

// Delete implements store.Store.
func (c *Client) Delete(ctx context.Context, key string, expected store.Revision) error {
	request := &storev1.DeleteRequest{Key: key, ExpectedRevision: uint64(expected)}
	_, err := call(ctx, c, keyWrite, func(ctx context.Context, client storeClient) (*storev1.DeleteResponse, error) {
		return client.Delete(ctx, request)
	})
	return err
}

// GrantLease implements store.Store.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	request := &storev1.GrantLeaseRequest{TtlMillis: ttl.Milliseconds()}
	response, err := call(ctx, c, leaseWrite, func(ctx context.Context, client storeClient) (*storev1.GrantLeaseResponse, error) {
		return client.GrantLease(ctx, request)
	})
	return store.LeaseID(response.GetLease()), err
}

// RenewLease implements store.Store.
func (c *Client) RenewLease(ctx context.Context, lease store.LeaseID) error {
	request := &storev1.RenewLeaseRequest{Lease: uint64(lease)}
	_, err := call(ctx, c, leaseWrite, func(ctx context.Context, client storeClient) (*storev1.RenewLeaseResponse, error) {
		return client.RenewLease(ctx, request)
	})
	return err
}

// RevokeLease implements store.Store.
func (c *Client) RevokeLease(ctx context.Context, lease store.LeaseID) error {
	request := &storev1.RevokeLeaseRequest{Lease: uint64(lease)}
	_, err := call(ctx, c, leaseWrite, func(ctx context.Context, client storeClient) (*storev1.RevokeLeaseResponse, error) {
		return client.RevokeLease(ctx, request)
	})
	return err
}

func fromProto(value *storev1.KeyValue) store.KeyValue {
	return store.KeyValue{
		Key: value.GetKey(), Value: value.GetValue(),
		Revision: store.Revision(value.GetRevision()), Lease: store.LeaseID(value.GetLease()),
	}
}
