package ingress

import (
	"bufio"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// TestPaceBoundsRates guards against callers that take all of the processor by requests one after the other, and against
// requests of conforming callers that are delayed.
func TestPaceBoundsRates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPace(0.1)
		const perSecond, seconds = requestsPerProcessor / 10, 3
		start := time.Now()
		for range perSecond {
			p.awaitRequest()
		}
		is.Equal(time.Since(start), time.Duration(0)) // a burst of one second is not delayed
		for range perSecond * seconds {
			p.awaitRequest()
		}
		is.Equal(time.Since(start).Round(time.Millisecond), seconds*time.Second)
	})
}

// TestPaceOfBodies guards against long bodies that take all of the processor, against short ones that wait for them, and
// against a single body at the limit that is refused in calm.
func TestPaceOfBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPace(0.01)
		is.NoErr(p.awaitBody(4 << 20)) // longer than the burst
		is.NoErr(p.awaitBody(minBodyBytesPerSecond / 2))
		start := time.Now()
		is.Equal(p.awaitBody(minBodyBytesPerSecond), ErrBusy)
		is.NoErr(p.awaitBody(smallBodyBytes))
		is.Equal(time.Since(start), time.Duration(0))
		time.Sleep(2 * time.Second)
		is.NoErr(p.awaitBody(minBodyBytesPerSecond))
	})
}

// TestUnlimitedPace guards against delays in a process whose share of a processor is not known.
func TestUnlimitedPace(t *testing.T) {
	is := is.New(t)
	p := newPace(0)
	p.awaitAccept()
	p.awaitRequest()
	is.NoErr(p.awaitBody(1 << 30))
}

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
