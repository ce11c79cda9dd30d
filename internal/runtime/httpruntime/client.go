// Package httpruntime is the HTTP client of the worker runtime and the definition of its protocol:
// POST requests with JSON bodies on a loopback address.
package httpruntime

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"clementineflow/internal/runtime"
	"clementineflow/internal/task"
)

// Limits of the client.
const (
	// defaultTimeout bounds a call whose context has no deadline.
	defaultTimeout = 5 * time.Second
	// dialTimeout bounds the opening of a connection on the loopback interface.
	dialTimeout = time.Second
	// maxConnections bounds the concurrent calls; further calls wait for a connection.
	maxConnections = 32
	// maxResponseBytes bounds an answer; a list of 1,024 attempts takes about 1 MB.
	maxResponseBytes = 16 << 20
	// idleTimeout closes idle connections before the runtime does. A call on a connection that the
	// peer is closing has an unknown outcome.
	idleTimeout = 5 * time.Second
)

// Client calls the worker runtime at one address. It is safe for concurrent use.
type Client struct {
	address string
	http    *fasthttp.HostClient
}

var _ runtime.Runtime = (*Client)(nil)

// dialError marks a connection that could not be opened: nothing was sent.
type dialError struct{ cause error }

// Error implements error.
func (e *dialError) Error() string { return e.cause.Error() }

// New returns a client of the runtime at the IP address and port.
func New(address string) *Client {
	return &Client{
		address: address,
		http: &fasthttp.HostClient{
			Addr:                      address,
			DialTimeout:               dial,
			MaxConns:                  maxConnections,
			MaxConnWaitTimeout:        defaultTimeout,
			MaxIdleConnDuration:       idleTimeout,
			MaxResponseBodySize:       maxResponseBytes,
			MaxIdemponentCallAttempts: 1,
			NoDefaultUserAgentHeader:  true,
		},
	}
}

// dial opens a connection and marks a failure as certain.
func dial(address string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 || timeout > dialTimeout {
		timeout = dialTimeout
	}
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return conn, nil
}

// Attach implements runtime.Runtime.
func (c *Client) Attach(ctx context.Context) (runtime.Attachment, error) {
	return call[runtime.Attachment](ctx, c, CallAttach, SessionRequest{})
}

// Start implements runtime.Runtime.
func (c *Client) Start(ctx context.Context, request runtime.StartRequest) error {
	_, err := call[EmptyResponse](ctx, c, CallStart, request)
	return err
}

// Renew implements runtime.Runtime.
func (c *Client) Renew(ctx context.Context, session task.Session, lease time.Duration, notAfter time.Time) error {
	_, err := call[EmptyResponse](ctx, c, CallRenew, RenewRequest{Session: session, Lease: lease, NotAfter: notAfter})
	return err
}

// Evict implements runtime.Runtime.
func (c *Client) Evict(ctx context.Context, session task.Session, taskID string, attempt uint32) (string, error) {
	response, err := call[EvictResponse](ctx, c, CallEvict, AttemptRequest{Session: session, TaskID: taskID, Attempt: attempt})
	return response.Checkpoint, err
}

// Stop implements runtime.Runtime.
func (c *Client) Stop(ctx context.Context, session task.Session, taskID string, attempt uint32) error {
	_, err := call[EmptyResponse](ctx, c, CallStop, AttemptRequest{Session: session, TaskID: taskID, Attempt: attempt})
	return err
}

// Throttle implements runtime.Runtime.
func (c *Client) Throttle(ctx context.Context, session task.Session, taskID string, permille int) error {
	_, err := call[EmptyResponse](ctx, c, CallThrottle, ThrottleRequest{Session: session, TaskID: taskID, Permille: permille})
	return err
}

// List implements runtime.Runtime.
func (c *Client) List(ctx context.Context, session task.Session) ([]runtime.Status, error) {
	response, err := call[ListResponse](ctx, c, CallList, SessionRequest{Session: session})
	return response.Tasks, err
}

// Forget implements runtime.Runtime.
func (c *Client) Forget(ctx context.Context, session task.Session, taskID string, attempt uint32) error {
	_, err := call[EmptyResponse](ctx, c, CallForget, AttemptRequest{Session: session, TaskID: taskID, Attempt: attempt})
	return err
}

// call sends one request and decodes the answer into Answer.
func call[Answer, Question any](ctx context.Context, c *Client, name string, question Question) (Answer, error) {
	var answer Answer
	body, err := json.Marshal(question)
	if err != nil {
		return answer, errors.Wrapf(runtime.ErrUnavailable, "%s: encode: %v", name, err)
	}
	if ctx.Err() != nil {
		return answer, errors.Wrapf(runtime.ErrUnavailable, "%s: %v", name, ctx.Err())
	}
	status, response, err := c.post(ctx, name, body)
	if err != nil {
		return answer, err
	}
	if status != fasthttp.StatusOK {
		return answer, errors.Wrap(decodeError(response), name)
	}
	if err := json.Unmarshal(response, &answer); err != nil {
		return answer, errors.Wrapf(runtime.ErrOutcomeUnknown, "%s: decode: %v", name, err)
	}
	return answer, nil
}

// post sends one request and returns the status and a copy of the body.
func (c *Client) post(ctx context.Context, name string, body []byte) (int, []byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + c.address + PathPrefix + name)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.SetBodyRaw(body)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}
	if err := c.http.DoDeadline(request, response, deadline); err != nil {
		return 0, nil, errors.Wrap(sendError(err), name+": "+err.Error())
	}
	return response.StatusCode(), append([]byte(nil), response.Body()...), nil
}

// sendError says whether a call that failed without an answer may have taken effect.
func sendError(err error) error {
	var notOpened *dialError
	if errors.As(err, &notOpened) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return runtime.ErrUnavailable
	}
	return runtime.ErrOutcomeUnknown
}

// decodeError translates an error body. An answer that is not one of the protocol's leaves the outcome
// unknown.
func decodeError(body []byte) error {
	var decoded ErrorBody
	if err := json.Unmarshal(body, &decoded); err != nil {
		return errors.Wrap(runtime.ErrOutcomeUnknown, "malformed error body")
	}
	switch decoded.Code {
	case CodeStaleSession:
		return errors.Wrap(runtime.ErrStaleSession, decoded.Message)
	case CodeNotFound:
		return errors.Wrap(runtime.ErrNotFound, decoded.Message)
	case CodeConflict:
		return errors.Wrap(runtime.ErrConflict, decoded.Message)
	case CodeTooLate:
		return errors.Wrap(runtime.ErrTooLate, decoded.Message)
	case CodeUnavailable:
		return errors.Wrap(runtime.ErrUnavailable, decoded.Message)
	default:
		return errors.Wrapf(runtime.ErrOutcomeUnknown, "error code %q", decoded.Code)
	}
}
