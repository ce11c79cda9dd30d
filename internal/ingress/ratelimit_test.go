package ingress

import (
	"bufio"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// TestRequestRate guards against callers that take all of the processor by requests one after the other, and against
// requests of conforming callers that are delayed.
func TestRequestRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRateLimits(0.1)
		const perSecond, seconds = requestsPerProcessor / 10, 3
		start := time.Now()
		for range perSecond {
			r.awaitRequest()
		}
		is.Equal(time.Since(start), time.Duration(0)) // a burst of one second is not delayed
		for range perSecond * seconds {
			r.awaitRequest()
		}
		is.Equal(time.Since(start).Round(time.Millisecond), seconds*time.Second)
	})
}

// TestBodyRate guards against long bodies that take all of the processor, against short ones that wait for them, and
// against a single body at the limit that is refused in calm.
func TestBodyRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRateLimits(0.01)
		is.NoErr(r.awaitBody(4 << 20)) // longer than the burst
		is.NoErr(r.awaitBody(minBodyBytesPerSecond / 2))
		start := time.Now()
		is.Equal(r.awaitBody(minBodyBytesPerSecond), ErrBusy)
		is.NoErr(r.awaitBody(smallBodyBytes))
		is.Equal(time.Since(start), time.Duration(0))
		time.Sleep(2 * time.Second)
		is.NoErr(r.awaitBody(minBodyBytesPerSecond))
	})
}

// TestUnlimitedRates guards against delays in a process whose share of a processor is not known.
func TestUnlimitedRates(t *testing.T) {
	is := is.New(t)
	r := newRateLimits(0)
	r.awaitAccept()
	r.awaitRequest()
	is.NoErr(r.awaitBody(1 << 30))
}

// TestShortBodiesOfUnknownLength guards against short chunked bodies that are refused as if they were as long as the limit.
func TestShortBodiesOfUnknownLength(t *testing.T) {
	is := is.New(t)
	inner, listener := newTestListener(Limits{Bytes: 64 << 20, Processors: 0.01})
	server := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}}
	listener.Guard(server, func() int { return minBodyBytesPerSecond })
	go func() { _ = server.Serve(listener) }()
	conn, err := inner.Dial()
	is.NoErr(err)
	reader := bufio.NewReader(conn)
	for range 10 {
		_, err := conn.Write([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"))
		is.NoErr(err)
		response := fasthttp.Response{}
		is.NoErr(response.Read(reader))
		is.Equal(response.StatusCode(), fasthttp.StatusOK)
	}
}
