package ingress

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// serveUntil serves requests whose responses wait for the channel.
func serveUntil(listener *Listener, respond <-chan struct{}) {
	server := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) { <-respond }}
	listener.Guard(server, func() int { return 0 })
	go func() { _ = server.Serve(listener) }()
}

// request sends a request and returns a channel with the status of its response, or 0 without one.
func request(conn net.Conn) <-chan int {
	status := make(chan int, 1)
	go func() {
		response := fasthttp.Response{}
		_, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		if err == nil {
			err = response.Read(bufio.NewReader(conn))
		}
		if err != nil {
			status <- 0
			return
		}
		status <- response.StatusCode()
	}()
	return status
}

// shortTime is less than roomWait, and long enough for a goroutine to run.
const shortTime = 50 * time.Millisecond

// TestRequestWaitsForMemory guards against an ordinary request that is refused for requests that end soon after it.
func TestRequestWaitsForMemory(t *testing.T) {
	is := is.New(t)
	inner, listener := newTestListener(Limits{Bytes: 2*idleConnBytes + activeConnBytes})
	respond := make(chan struct{})
	serveUntil(listener, respond)
	first, err := inner.Dial()
	is.NoErr(err)
	firstStatus := request(first)
	time.Sleep(shortTime)
	second, err := inner.Dial()
	is.NoErr(err)
	secondStatus := request(second)
	time.Sleep(shortTime)
	close(respond)
	is.Equal(<-firstStatus, fasthttp.StatusOK)
	is.Equal(<-secondStatus, fasthttp.StatusOK)
}

// TestConnectionWaitsForRoom guards against an ordinary caller whose connection is closed for others that end soon after it.
func TestConnectionWaitsForRoom(t *testing.T) {
	is := is.New(t)
	inner, listener := newTestListener(Limits{Bytes: 64 << 20})
	respond := make(chan struct{})
	close(respond)
	serveUntil(listener, respond)
	conns := make([]net.Conn, minListenerConns)
	for i := range conns {
		var err error
		conns[i], err = inner.Dial()
		is.NoErr(err)
	}
	last, err := inner.Dial()
	is.NoErr(err)
	status := request(last)
	time.Sleep(shortTime)
	is.NoErr(conns[0].Close())
	is.Equal(<-status, fasthttp.StatusOK)
}

// TestIdleConnectionMakesRoom guards against callers that keep connections open after a response and thus keep others out.
func TestIdleConnectionMakesRoom(t *testing.T) {
	is := is.New(t)
	inner, listener := newTestListener(Limits{Bytes: 64 << 20})
	respond := make(chan struct{})
	close(respond)
	serveUntil(listener, respond)
	for range minListenerConns {
		conn, err := inner.Dial()
		is.NoErr(err)
		is.Equal(<-request(conn), fasthttp.StatusOK)
	}
	time.Sleep(evictionAge + shortTime)
	last, err := inner.Dial()
	is.NoErr(err)
	is.Equal(<-request(last), fasthttp.StatusOK)
}
