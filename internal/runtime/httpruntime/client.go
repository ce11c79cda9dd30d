// Package httpruntime defines the HTTP protocol of the worker runtime and implements its client. Calls
// are POST requests with JSON bodies to a loopback address.
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
	// defaultCallTimeout bounds a call whose context has no deadline.
	defaultCallTimeout = 5 * time.Second
	// dialTimeout bounds the dialling of a connection on the loopback interface.
	dialTimeout = time.Second
	// maxConnections bounds the concurrent calls; further calls wait for a connection.
	maxConnections = 32
	// maxResponseBytes bounds a response body; a list of 1,024 attempts takes about 1 MB.
	maxResponseBytes = 16 << 20
	// idleTimeout is the time after which idle connections are closed. It is shorter than the runtime's,
	// because a call on a connection that the peer is closing has an unknown outcome.
	idleTimeout = 5 * time.Second
)

// Client implements runtime.Runtime by HTTP calls to one address. Its errors are those of package
// runtime. It is safe for concurrent use.
type Client struct {
	address string
	http    *fasthttp.HostClient
}

var _ runtime.Runtime = (*Client)(nil)

// dialError reports a connection that could not be opened, so that certainly nothing was sent.
type dialError struct{ cause error }

// Error returns the text of the cause.
func (e *dialError) Error() string { return e.cause.Error() }

// New returns a client of the runtime at the IP address and port. It opens no connection.
func New(address string) *Client {
	return &Client{
		address: address,
		http: &fasthttp.HostClient{
			Addr:                      address,
			DialTimeout:               dialRuntime,
			MaxConns:                  maxConnections,
			MaxConnWaitTimeout:        defaultCallTimeout,
			MaxIdleConnDuration:       idleTimeout,
			MaxResponseBodySize:       maxResponseBytes,
			MaxIdemponentCallAttempts: 1,
			NoDefaultUserAgentHeader:  true,
		},
	}
}

// dialRuntime opens a connection within the timeout, at most dialTimeout. It fails with a dialError.
func dialRuntime(address string, timeout time.Duration) (net.Conn, error) {
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
	return doCall[runtime.Attachment](ctx, c, CallAttach, SessionRequest{})
}

// Start implements runtime.Runtime.
func (c *Client) Start(ctx context.Context, request runtime.StartRequest) error {
	_, err := doCall[EmptyResponse](ctx, c, CallStart, request)
	return err
}

// Renew implements runtime.Runtime.
func (c *Client) Renew(ctx context.Context, session task.Session, lease time.Duration, notAfter time.Time) error {
	_, err := doCall[EmptyResponse](ctx, c, CallRenew, RenewRequest{Session: session, Lease: lease, NotAfter: notAfter})
	return err
}

// Evict implements runtime.Runtime.
func (c *Client) Evict(ctx context.Context, session task.Session, taskID string, attempt uint32) (string, error) {
	response, err := doCall[EvictResponse](ctx, c, CallEvict, AttemptRequest{Session: session, TaskID: taskID, Attempt: attempt})
	return response.Checkpoint, err
}

// Stop implements runtime.Runtime.
func (c *Client) Stop(ctx context.Context, session task.Session, taskID string, attempt uint32) error {
	_, err := doCall[EmptyResponse](ctx, c, CallStop, AttemptRequest{Session: session, TaskID: taskID, Attempt: attempt})
	return err
}

// Throttle implements runtime.Runtime.
func (c *Client) Throttle(ctx context.Context, session task.Session, taskID string, permille int) error {
	_, err := doCall[EmptyResponse](ctx, c, CallThrottle, ThrottleRequest{Session: session, TaskID: taskID, Permille: permille})
	return err
}

// List implements runtime.Runtime.
func (c *Client) List(ctx context.Context, session task.Session) ([]runtime.Status, error) {
	response, err := doCall[ListResponse](ctx, c, CallList, SessionRequest{Session: session})
	return response.Tasks, err
}

// Forget implements runtime.Runtime.
func (c *Client) Forget(ctx context.Context, session task.Session, taskID string, attempt uint32) error {
	_, err := doCall[EmptyResponse](ctx, c, CallForget, AttemptRequest{Session: session, TaskID: taskID, Attempt: attempt})
	return err
}

// doCall sends one request and decodes the response into Answer. An error that is not ErrOutcomeUnknown
// means that the call had no effect.
func doCall[Answer, Question any](ctx context.Context, c *Client, name string, question Question) (Answer, error) {
	var answer Answer
	body, err := json.Marshal(question)
	if err != nil {
		return answer, errors.Wrapf(runtime.ErrUnavailable, "%s: encode: %v", name, err)
	}
	if ctx.Err() != nil {
		return answer, errors.Wrapf(runtime.ErrUnavailable, "%s: %v", name, ctx.Err())
	}
	status, response, err := c.sendRequest(ctx, name, body)
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

// sendRequest sends one request and returns the status and a copy of the response body.
func (c *Client) sendRequest(ctx context.Context, name string, body []byte) (int, []byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + c.address + PathPrefix + name)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.SetBodyRaw(body)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultCallTimeout)
	}
	if err := c.http.DoDeadline(request, response, deadline); err != nil {
		return 0, nil, errors.Wrap(classifySendError(err), name+": "+err.Error())
	}
	return response.StatusCode(), append([]byte(nil), response.Body()...), nil
}

// classifySendError returns ErrUnavailable for a call that was certainly not sent, and ErrOutcomeUnknown
// for any other call that failed without a response.
func classifySendError(err error) error {
	var notOpened *dialError
	if errors.As(err, &notOpened) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return runtime.ErrUnavailable
	}
	return runtime.ErrOutcomeUnknown
}

// decodeError converts an error body into an error of package runtime. The outcome is unknown if the body
// does not follow the protocol.
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
