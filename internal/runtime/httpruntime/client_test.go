package httpruntime

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"clementineflow/internal/runtime"
	"clementineflow/internal/task"
)

// TestErrorMapping guards against an error code that is converted into the wrong error.
func TestErrorMapping(t *testing.T) {
	cases := []struct {
		body string
		want error
	}{
		{`{"code":"stale_session"}`, runtime.ErrStaleSession},
		{`{"code":"not_found"}`, runtime.ErrNotFound},
		{`{"code":"conflict"}`, runtime.ErrConflict},
		{`{"code":"too_late"}`, runtime.ErrTooLate},
		{`{"code":"unavailable"}`, runtime.ErrUnavailable},
		{`{"code":"new"}`, runtime.ErrOutcomeUnknown},
		{`<html>`, runtime.ErrOutcomeUnknown},
	}
	for _, c := range cases {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusConflict)
			_, _ = w.Write([]byte(c.body))
		}))
		err := New(server.Listener.Addr().String()).Stop(context.Background(), task.Session{}, "t", 1)
		server.Close()
		is.New(t).True(errors.Is(err, c.want))
	}
}

// TestSendErrors guards against reporting a call that may have taken effect as unavailable, and against
// the HTTP library sending such a call again.
func TestSendErrors(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	accepted := make(chan struct{}, 16)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- struct{}{}
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.Close()
		}
	}()
	client := New(listener.Addr().String())
	err = client.Start(context.Background(), runtime.StartRequest{TaskID: "t"})
	is.True(errors.Is(err, runtime.ErrOutcomeUnknown))
	is.Equal(len(accepted), 1)
	is.NoErr(listener.Close())
	err = client.Start(context.Background(), runtime.StartRequest{TaskID: "t"})
	is.True(errors.Is(err, runtime.ErrUnavailable))
}

// TestTimeoutIsUnknown guards against reporting a call that timed out as a call without effect.
func TestTimeoutIsUnknown(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer server.Close()
	defer close(release)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := New(server.Listener.Addr().String()).Evict(ctx, task.Session{}, "t", 1)
	is.True(errors.Is(err, runtime.ErrOutcomeUnknown))
}
