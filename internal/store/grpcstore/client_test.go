package grpcstore_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"google.golang.org/grpc"

	storev1 "clementineflow/api/store/v1"
	"clementineflow/internal/standin/kvstore"
	"clementineflow/internal/store"
	"clementineflow/internal/store/grpcstore"
)

const (
	testTimeout = 300 * time.Millisecond
	// longestTimeout is the longest call timeout that the settings allow.
	longestTimeout = 3 * time.Second
)

// serve starts a store server on loopback and returns the faulty store behind it, the listener's
// address and a function that stops the server at once.
func serve(t *testing.T) (*kvstore.Faulty, string, func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	faulty := kvstore.NewFaulty(kvstore.NewMemory(), 1)
	server := grpc.NewServer()
	storev1.RegisterStoreServiceServer(server, kvstore.NewServer(faulty))
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return faulty, listener.Addr().String(), server.Stop
}

func dial(t *testing.T, address string) *grpcstore.Client {
	t.Helper()
	return dialWithTimeout(t, address, testTimeout)
}

func dialWithTimeout(t *testing.T, address string, timeout time.Duration) *grpcstore.Client {
	t.Helper()
	client, err := grpcstore.New(grpcstore.Config{Address: address, CallTimeout: timeout})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	return client
}

// TestErrorMapping guards against a store error that gRPC maps to a different store error.
func TestErrorMapping(t *testing.T) {
	is := is.New(t)
	faulty, address, _ := serve(t)
	client := dialWithTimeout(t, address, longestTimeout)
	ctx := t.Context()

	_, err := client.Get(ctx, "k")
	is.True(errors.Is(err, store.ErrNotFound))
	revision, err := client.CompareAndSwap(ctx, "k", 0, []byte("1"), 0)
	is.NoErr(err)
	_, err = client.CompareAndSwap(ctx, "k", revision+1, []byte("2"), 0)
	var conflict *store.ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(*conflict, store.ConflictError{Key: "k", Current: revision})
	is.True(errors.As(client.Delete(ctx, "k", revision+1), &conflict))
	is.True(errors.Is(client.RenewLease(ctx, 99), store.ErrLeaseNotFound))
	_, err = client.CompareAndSwap(ctx, "l", 0, nil, 99)
	is.True(errors.Is(err, store.ErrLeaseNotFound))
	_, err = client.CompareAndSwap(ctx, "m", 0, make([]byte, store.MaxValueBytes+1), 0)
	is.True(errors.Is(err, store.ErrValueTooLarge))

	faulty.SetFaults(kvstore.Faults{Down: true})
	_, err = client.CompareAndSwap(ctx, "k", revision, []byte("2"), 0)
	is.True(errors.Is(err, store.ErrUnavailable)) // rejected by the server
	faulty.SetFaults(kvstore.Faults{LoseAnswers: 1})
	_, err = client.CompareAndSwap(ctx, "k", revision, []byte("2"), 0)
	is.True(errors.Is(err, store.ErrOutcomeUnknown)) // response lost
	value, err := client.Get(ctx, "k")
	is.NoErr(err)
	is.Equal(string(value.Value), "2")
}

// TestTimeout guards against reporting a write as "no effect" when its response did not arrive in time.
func TestTimeout(t *testing.T) {
	is := is.New(t)
	faulty, address, _ := serve(t)
	client := dial(t, address)
	faulty.SetFaults(kvstore.Faults{DelayMillis: 2 * testTimeout.Milliseconds()})
	started := time.Now()
	_, err := client.CompareAndSwap(t.Context(), "k", 0, []byte("1"), 0)
	is.True(errors.Is(err, store.ErrOutcomeUnknown))
	is.True(time.Since(started) < 2*testTimeout)
	_, err = client.Get(t.Context(), "k")
	is.True(errors.Is(err, store.ErrUnavailable))
}

// TestConnectionBreaks guards against confusing a write whose connection broke after the request was sent
// with a write that could not be sent. Both have the status UNAVAILABLE.
func TestConnectionBreaks(t *testing.T) {
	is := is.New(t)
	faulty, address, stop := serve(t)
	client := dial(t, address)
	_, err := client.CompareAndSwap(t.Context(), "k", 0, []byte("1"), 0)
	is.NoErr(err)
	faulty.SetFaults(kvstore.Faults{DelayMillis: testTimeout.Milliseconds()})
	time.AfterFunc(testTimeout/4, stop)
	_, err = client.CompareAndSwap(t.Context(), "l", 0, []byte("1"), 0)
	is.True(errors.Is(err, store.ErrOutcomeUnknown))
	_, err = client.CompareAndSwap(t.Context(), "m", 0, []byte("1"), 0)
	is.True(errors.Is(err, store.ErrUnavailable))
}

// TestSilentConnection guards against a client that keeps using a connection that no longer responds.
func TestSilentConnection(t *testing.T) {
	is := is.New(t)
	_, address, _ := serve(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go relay(listener, address)
	client := dial(t, listener.Addr().String())
	var last error
	for range 8 {
		_, last = client.Get(t.Context(), "k")
		if errors.Is(last, store.ErrNotFound) {
			break
		}
	}
	is.True(errors.Is(last, store.ErrNotFound))
}

// relay forwards only the first bytes of the first connection's responses; later connections work.
func relay(listener net.Listener, address string) {
	for first := true; ; first = false {
		inbound, err := listener.Accept()
		if err != nil {
			return
		}
		outbound, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		go copyBytes(inbound, outbound, false)
		go copyBytes(outbound, inbound, first)
	}
}

// copyBytes copies from one connection to the other. If stall is set, it drops everything after the settings
// frames, so that the connection is established but no longer responds.
func copyBytes(from, to net.Conn, stall bool) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 4096)
	for reads := 0; ; reads++ {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if stall && reads > 0 {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// TestWatch guards against lost events and against a watch that does not report that it has ended.
func TestWatch(t *testing.T) {
	is := is.New(t)
	_, address, stop := serve(t)
	client := dial(t, address)
	revision, err := client.CompareAndSwap(t.Context(), "a/1", 0, []byte("1"), 0)
	is.NoErr(err)
	watcher, err := client.Watch(t.Context(), "a/", 0)
	is.NoErr(err)
	defer watcher.Close()
	is.NoErr(client.Delete(t.Context(), "a/1", revision))
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	event, err := watcher.Next(ctx)
	is.NoErr(err)
	is.True(!event.Deleted)
	event, err = watcher.Next(ctx)
	is.NoErr(err)
	is.True(event.Deleted && event.Revision > revision)
	stop()
	_, err = watcher.Next(ctx)
	is.True(errors.Is(err, store.ErrWatchClosed))
}
