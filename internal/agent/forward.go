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
	// maxAnswerBytes bounds the body of an answer. With its headers it must fit into one frame.
	maxAnswerBytes = 3 << 20
	// maxAnswerHeaderBytes bounds the headers of an answer.
	maxAnswerHeaderBytes = 16 << 10
	// targetIdleTime is how long an idle connection to a target is kept.
	targetIdleTime = 5 * time.Second
	// clientIdleTime is how long the client of an unused target is kept.
	clientIdleTime = time.Minute
	// requestIDHeader carries the request id to the target.
	requestIDHeader = "Clementine-Request-Id"
	// maxSends bounds the tries to send a request. A try that certainly sent nothing, because a pooled
	// connection was closed by the target, is repeated.
	maxSends = 3
)

// Content lengths with a special meaning in fasthttp.
const (
	lengthChunked  = -1
	lengthIdentity = -2
)

// ErrAnswer reports an answer of a target that is not known to be whole.
var ErrAnswer = errors.New("agent: target's answer is not whole")

// forwarder holds one HTTP client with pooled connections for each target. It is used by the agent's
// loop only; the clients are safe for concurrent use.
type forwarder struct {
	clients map[string]*targetClient
}

// targetClient is the client of one target.
type targetClient struct {
	http   *fasthttp.HostClient
	usedAt time.Time
}

// newForwarder returns a forwarder without clients.
func newForwarder() *forwarder {
	return &forwarder{clients: map[string]*targetClient{}}
}

// client returns the client of a target, which opens at most the given number of connections.
func (f *forwarder) client(address string, connections int) *fasthttp.HostClient {
	now := time.Now()
	known, ok := f.clients[address]
	if !ok {
		f.dropIdle(now)
		known = &targetClient{http: newTargetClient(address)}
		f.clients[address] = known
	}
	known.usedAt = now
	known.http.SetMaxConns(connections)
	return known.http
}

// dropIdle drops the clients of targets that are not used any more.
func (f *forwarder) dropIdle(now time.Time) {
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
		ReadBufferSize:                maxAnswerHeaderBytes,
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: true,
		DisablePathNormalizing:        true,
	}
}

// forward runs a request at a target and returns its outcome: the whole answer, "not run" if certainly
// no byte was sent, or unknown.
func forward(client *fasthttp.HostClient, next forwardRequest) forwarded {
	began := time.Now()
	outcome, err := send(client, next)
	elapsed := time.Since(began)
	outcome.ID, outcome.Attempt = next.request.ID, next.request.Attempt
	outcome.ServiceMicros = elapsed.Microseconds()
	if err != nil {
		outcome.Outcome, outcome.Reason = failedOutcome(err)
	}
	return forwarded{reply: outcome, elapsed: elapsed}
}

// failedOutcome says what became of a request that was not answered.
func failedOutcome(err error) (wire.Outcome, wire.NotRunReason) {
	if isNotSent(err) {
		return wire.OutcomeNotRun, wire.NotRunConnect
	}
	return wire.OutcomeUnknown, wire.NotRunNone
}

// send makes the HTTP exchange. It is repeated only after a try that certainly sent nothing.
func send(client *fasthttp.HostClient, next forwardRequest) (wire.RequestReply, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	fillRequest(request, next)
	var err error
	for range maxSends {
		// The body is streamed so that an answer without a length can be told from a whole one.
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
	body, err := readBody(response, next.request.Method)
	if err != nil {
		return wire.RequestReply{}, err
	}
	return wire.RequestReply{
		Outcome: wire.OutcomeAnswered,
		Status:  response.StatusCode(),
		Headers: answerHeaders(response),
		Body:    body,
	}, nil
}

// fillRequest writes the request as it goes to the target.
func fillRequest(request *fasthttp.Request, next forwardRequest) {
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

// readBody returns the whole body, or ErrAnswer. A body that ends with the connection cannot be told
// from a truncated one and is refused.
func readBody(response *fasthttp.Response, method string) ([]byte, error) {
	stream := response.BodyStream()
	if stream == nil {
		return nil, nil
	}
	length := response.Header.ContentLength()
	body, err := io.ReadAll(io.LimitReader(stream, maxAnswerBytes+1))
	closeErr := response.CloseBodyStream()
	switch {
	case method == fasthttp.MethodHead || response.Header.StatusCode() == fasthttp.StatusNoContent ||
		response.Header.StatusCode() == fasthttp.StatusNotModified:
		return nil, nil
	case err != nil:
		return nil, errors.Wrap(ErrAnswer, err.Error())
	case closeErr != nil:
		return nil, errors.Wrap(ErrAnswer, closeErr.Error())
	case len(body) > maxAnswerBytes:
		return nil, errors.Wrap(ErrAnswer, "too large")
	case length == lengthIdentity:
		return nil, errors.Wrap(ErrAnswer, "no length")
	case length != lengthChunked && length != len(body):
		return nil, errors.Wrapf(ErrAnswer, "%d of %d bytes", len(body), length)
	default:
		return body, nil
	}
}

// answerHeaders returns the end-to-end headers of an answer.
func answerHeaders(response *fasthttp.Response) []wire.Header {
	var headers []wire.Header
	for name, value := range response.Header.All() {
		if !isHopByHop(string(name)) {
			headers = append(headers, wire.Header{Name: string(name), Value: string(value)})
		}
	}
	return headers
}

// isHopByHop reports whether a header concerns one connection only. The length is set anew by the entry.
func isHopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "content-length":
		return true
	default:
		return false
	}
}
