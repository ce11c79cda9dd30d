package ingress

import (
	"bytes"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"clementineflow/internal/contain"
)

const (
	// readTimeout bounds the time from the first byte of a request to its last one, if the server sets no bound.
	readTimeout = 5 * time.Second
	// writeTimeout bounds the time to write a response, if the server sets no bound.
	writeTimeout = 5 * time.Second
	// retryAfterSeconds is the Retry-After of a request that is refused for lack of memory. Requests in progress end
	// within a few seconds.
	retryAfterSeconds = 1
	// decodedFactor and objectBytes estimate the memory of a decoded body: its strings and lists take a few times
	// their length, and each object takes at least that of the structure that it is decoded into.
	decodedFactor = 3
	objectBytes   = 512
)

// Guard changes the settings of a server, so that it serves the connections of the listener within the limits. The
// handler gets the whole body, at most bodyLimit() bytes. A longer one is refused with 413 and one without memory with
// 503, before the handler is called. Both close the connection without reading on. A panic is answered with 504.
func (l *Listener) Guard(server *fasthttp.Server, bodyLimit func() int) {
	server.StreamRequestBody = true
	// Buffers of idle connections are released, and bodies are not kept in pools.
	server.ReduceMemoryUsage = true
	// Otherwise the server buffers bodies of multipart forms before it calls the handler.
	server.DisablePreParseMultipartForm = true
	if server.ReadTimeout == 0 {
		server.ReadTimeout = readTimeout
	}
	if server.WriteTimeout == 0 {
		server.WriteTimeout = writeTimeout
	}
	next := server.Handler
	server.Handler = func(request *fasthttp.RequestCtx) {
		if !contain.Call(l.meter.logger, "request", func() { l.handle(request, bodyLimit(), next) }) {
			request.Error("", fasthttp.StatusGatewayTimeout)
		}
	}
	server.HeaderReceived = func(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
		if header.ContentLength() > bodyLimit() {
			// The server reads up to 8 KiB of a body before it calls the handler, but not more than its limit.
			return fasthttp.RequestConfig{MaxRequestBodySize: 1}
		}
		return fasthttp.RequestConfig{}
	}
	server.ExpectHandler = func(request *fasthttp.RequestCtx) int {
		if request.Request.Header.ContentLength() > bodyLimit() {
			l.meter.refuse(reasonBody)
			request.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
			l.explain(request)
			return fasthttp.StatusRequestEntityTooLarge
		}
		return fasthttp.StatusContinue
	}
	server.ErrorHandler = l.handleReadError
	server.ConnState = l.trackState
}

// trackState reserves memory when the first byte of a request has arrived and releases it after the response.
func (l *Listener) trackState(c net.Conn, state fasthttp.ConnState) {
	accepted := connOf(c)
	if accepted == nil {
		return
	}
	switch state {
	case fasthttp.StateActive:
		if !accepted.activate(c) {
			accepted.refuse(c)
		}
	case fasthttp.StateIdle:
		accepted.deactivate()
		accepted.awaitNext()
	}
}

// handle reads the body and calls the handler with it.
func (l *Listener) handle(request *fasthttp.RequestCtx, limit int, next fasthttp.RequestHandler) {
	account := l.NewAccount()
	defer account.Close()
	if err := l.readBody(account, request, limit); err != nil {
		l.rejectBody(request, err)
		return
	}
	if accepted := connOf(request.Conn()); accepted != nil && !accepted.admitRequest() {
		request.SetConnectionClose()
		return
	}
	// The body is dropped before its reservation ends, since a slow reader of the response can delay the end of the request.
	defer request.Request.ResetBody()
	next(request)
}

// readBody replaces the stream of the body by its bytes, which stay reserved in the account.
func (l *Listener) readBody(account *Account, request *fasthttp.RequestCtx, limit int) error {
	stream := request.RequestBodyStream()
	if stream == nil {
		return nil
	}
	body, err := l.readLimited(account, stream, request.Request.Header.ContentLength(), limit)
	if err != nil {
		return err
	}
	// A body that is passed on takes its length in the request, in the encoded message and in a queue.
	decoded := int64(decodedFactor * len(body))
	if !l.config.OpaqueBodies {
		decoded += int64(objectBytes * bytes.Count(body, []byte("{")))
	}
	if decoded > account.budget.limit {
		// A retry would be refused as well.
		return ErrTooLong
	}
	if !account.Reserve(decoded) {
		return ErrNoMemory
	}
	request.Request.SetBodyRaw(body)
	return nil
}

// readLimited reads a body within the rate of the listener. A negative length is that of a chunked body, which is not known.
func (l *Listener) readLimited(account *Account, stream io.Reader, length, limit int) (body []byte, err error) {
	if length < 0 {
		body, _, err = account.Read(&chunkedReader{stream: stream, rates: l.rates, limit: limit}, limit)
		return body, err
	}
	if err := l.rates.awaitBody(min(length, limit)); err != nil {
		return nil, err
	}
	body, _, err = account.ReadAnnounced(stream, length, limit)
	return body, err
}

// rejectBody answers a request whose body was not read.
func (l *Listener) rejectBody(request *fasthttp.RequestCtx, err error) {
	request.SetConnectionClose()
	defer l.explain(request)
	switch {
	case errors.Is(err, ErrTooLong):
		l.meter.refuse(reasonBody)
		request.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
	case errors.Is(err, ErrBusy):
		l.meter.refuse(reasonBusy)
		fallthrough
	case errors.Is(err, ErrNoMemory):
		request.SetStatusCode(fasthttp.StatusServiceUnavailable)
		request.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(retryAfterSeconds))
	case isTimeout(err):
		l.meter.refuse(reasonSlow)
		request.SetStatusCode(fasthttp.StatusRequestTimeout)
	default:
		request.SetStatusCode(fasthttp.StatusBadRequest)
	}
}

// handleReadError answers a request whose headers or prefetched body can't be read. The server closes the connection.
func (l *Listener) handleReadError(request *fasthttp.RequestCtx, err error) {
	defer l.explain(request)
	var tooLong *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &tooLong):
		l.meter.refuse(reasonHeader)
		request.Error("Too big request header", fasthttp.StatusRequestHeaderFieldsTooLarge)
	case isTimeout(err):
		l.meter.refuse(reasonSlow)
		request.Error("Request timeout", fasthttp.StatusRequestTimeout)
	default:
		request.Error("Error when parsing request", fasthttp.StatusBadRequest)
	}
}

func isTimeout(err error) bool {
	var failed interface{ Timeout() bool }
	return errors.As(err, &failed) && failed.Timeout()
}

// explain adds the explanation of the listener to a refusal.
func (l *Listener) explain(request *fasthttp.RequestCtx) {
	if l.config.Explain != nil {
		l.config.Explain(&request.Response)
	}
}
