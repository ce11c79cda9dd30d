package agent

import (
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"clementineflow/internal/wire"
)

// Limits of forwarded requests.
const (
	// maxResponseBytes bounds the body of a response. With its headers it must fit into one frame.
	maxResponseBytes = 3 << 20
	// maxResponseHeaderBytes bounds the headers of a response.
	maxResponseHeaderBytes = 16 << 10
	// targetIdleTime is how long an idle connection to a target is kept.
	targetIdleTime = 5 * time.Second
	// clientIdleTime is how long the client of an unused target is kept.
	clientIdleTime = time.Minute
	// requestIDHeader carries the request id to the target.
	requestIDHeader = "Clementine-Request-Id"
	// maxSendAttempts bounds the attempts to send a request. An attempt is repeated only if it certainly
	// sent nothing because the target had closed the pooled connection.
	maxSendAttempts = 3
)

// Special content lengths of fasthttp: a chunked body, and a body that ends with the connection.
const (
	lengthChunked  = -1
	lengthIdentity = -2
)

// ErrIncompleteResponse reports a response of a target that is incomplete, too large or cannot be
// verified to be complete.
var ErrIncompleteResponse = errors.New("agent: incomplete response of the target")

// forwarder holds an HTTP client with pooled connections for each target. It is used only by the agent's
// loop and is not safe for concurrent use; its clients are.
type forwarder struct {
	clients map[string]*targetClient
}

// targetClient is the client of one target.
type targetClient struct {
	http   *fasthttp.HostClient
	usedAt time.Time
}

// newForwarder returns a forwarder; clients are created on demand.
func newForwarder() *forwarder {
	return &forwarder{clients: map[string]*targetClient{}}
}

// client returns the client of a target and limits it to the given number of connections.
func (f *forwarder) client(address string, connections int) *fasthttp.HostClient {
	now := time.Now()
	known, ok := f.clients[address]
	if !ok {
		f.dropIdleClients(now)
		known = &targetClient{http: newTargetClient(address)}
		f.clients[address] = known
	}
	known.usedAt = now
	known.http.SetMaxConns(connections)
	return known.http
}

// dropIdleClients closes and drops the clients that were not used for clientIdleTime.
func (f *forwarder) dropIdleClients(now time.Time) {
	for address, known := range f.clients {
		if now.Sub(known.usedAt) >= clientIdleTime {
			known.http.CloseIdleConnections()
			delete(f.clients, address)
		}
	}
}

// newTargetClient returns an HTTP client that sends each request at most once.
func newTargetClient(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                          address,
		DialTimeout:                   dialTarget,
		MaxIdleConnDuration:           targetIdleTime,
		MaxIdemponentCallAttempts:     1,
		ReadBufferSize:                maxResponseHeaderBytes,
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: true,
		DisablePathNormalizing:        true,
	}
}

// forwardToTarget sends a request to a target and returns its outcome: the complete response, "not run"
// if certainly no byte was sent, or unknown.
func forwardToTarget(client *fasthttp.HostClient, next forwardRequest) forwardResult {
	began := time.Now()
	outcome, err := sendToTarget(client, next)
	elapsed := time.Since(began)
	outcome.ID, outcome.Attempt = next.request.ID, next.request.Attempt
	outcome.ServiceMicros = elapsed.Microseconds()
	if err != nil {
		outcome.Outcome, outcome.Reason = outcomeOfError(err)
	}
	return forwardResult{reply: outcome, elapsed: elapsed}
}

// outcomeOfError returns the outcome and reason of a request that failed without a complete response.
func outcomeOfError(err error) (wire.Outcome, wire.NotRunReason) {
	if isNotSent(err) {
		return wire.OutcomeNotRun, wire.NotRunConnect
	}
	return wire.OutcomeUnknown, wire.NotRunNone
}

// sendToTarget sends the request and reads the response. It retries only if certainly nothing was sent.
func sendToTarget(client *fasthttp.HostClient, next forwardRequest) (wire.RequestReply, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	buildRequest(request, next)
	var err error
	for range maxSendAttempts {
		// The body is streamed so that a response without a length can be recognized.
		response.StreamBody = true
		err = client.DoDeadline(request, response, next.deadline)
		var dialFailed *dialError
		if !isNotSent(err) || errors.As(err, &dialFailed) {
			break
		}
	}
	if err != nil {
		return wire.RequestReply{}, errors.WithStack(err)
	}
	body, err := readResponseBody(response, next.request.Method)
	if err != nil {
		return wire.RequestReply{}, err
	}
	return wire.RequestReply{
		Outcome: wire.OutcomeAnswered,
		Status:  response.StatusCode(),
		Headers: responseHeaders(response),
		Body:    body,
	}, nil
}

// buildRequest fills the HTTP request for the target, without hop-by-hop headers.
func buildRequest(request *fasthttp.Request, next forwardRequest) {
	request.Header.DisableNormalizing()
	request.SetRequestURI("http://" + next.target.Address + next.request.Path)
	request.Header.SetMethod(next.request.Method)
	for _, header := range next.request.Headers {
		if strings.EqualFold(header.Name, fasthttp.HeaderHost) {
			request.UseHostHeader = true
			request.Header.SetHost(header.Value)
			continue
		}
		if !isHopByHop(header.Name) && !strings.EqualFold(header.Name, requestIDHeader) {
			request.Header.Add(header.Name, header.Value)
		}
	}
	request.Header.Set(requestIDHeader, next.request.ID)
	request.SetBodyRaw(next.request.Body)
}

// readResponseBody returns the complete body, or ErrIncompleteResponse. A body that ends with the
// connection is refused because it cannot be distinguished from a truncated one.
func readResponseBody(response *fasthttp.Response, method string) ([]byte, error) {
	stream := response.BodyStream()
	if stream == nil {
		return nil, nil
	}
	length := response.Header.ContentLength()
	body, err := io.ReadAll(io.LimitReader(stream, maxResponseBytes+1))
	closeErr := response.CloseBodyStream()
	switch {
	case method == fasthttp.MethodHead || response.Header.StatusCode() == fasthttp.StatusNoContent ||
		response.Header.StatusCode() == fasthttp.StatusNotModified:
		return nil, nil
	case err != nil:
		return nil, errors.Wrap(ErrIncompleteResponse, err.Error())
	case closeErr != nil:
		return nil, errors.Wrap(ErrIncompleteResponse, closeErr.Error())
	case len(body) > maxResponseBytes:
		return nil, errors.Wrap(ErrIncompleteResponse, "too large")
	case length == lengthIdentity:
		return nil, errors.Wrap(ErrIncompleteResponse, "no length")
	case length != lengthChunked && length != len(body):
		return nil, errors.Wrapf(ErrIncompleteResponse, "%d of %d bytes", len(body), length)
	default:
		return body, nil
	}
}

// responseHeaders returns the end-to-end headers of a response.
func responseHeaders(response *fasthttp.Response) []wire.Header {
	var headers []wire.Header
	for name, value := range response.Header.All() {
		if !isHopByHop(string(name)) {
			headers = append(headers, wire.Header{Name: string(name), Value: string(value)})
		}
	}
	return headers
}

// isHopByHop reports whether a header must not be forwarded. Content-Length is included because the
// entry sets it again.
func isHopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "content-length":
		return true
	default:
		return false
	}
}
