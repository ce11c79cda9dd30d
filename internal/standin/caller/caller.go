package caller

import (
	"bytes"
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// Names of the header fields of the entry's HTTP interface.
const (
	headerRequestID  = "Clementine-Request-Id"
	headerTimeout    = "Clementine-Timeout"
	headerIdempotent = "Clementine-Idempotent"
	headerPriority   = "Clementine-Priority"
	headerTeam       = "Clementine-Team"
	headerOutcome    = "Clementine-Outcome"
)

// responseGrace is how long after the request's deadline the caller still waits for the entry's response.
const responseGrace = 2 * time.Second

// ErrConfig reports a configuration without a URL, a positive concurrency or a positive timeout.
var ErrConfig = errors.New("caller: invalid configuration")

// Caller sends HTTP requests and spreads them over the configured URLs. It is safe for concurrent use.
type Caller struct {
	config  Config
	client  *fasthttp.Client
	nextURL atomic.Uint64
}

// New returns a caller. It returns ErrConfig if the configuration is invalid.
func New(config Config) (*Caller, error) {
	if len(config.URLs) == 0 || config.Concurrency < 1 || config.Timeout <= 0 {
		return nil, errors.Wrap(ErrConfig, "URL, concurrency and timeout are required")
	}
	client := &fasthttp.Client{
		MaxConnsPerHost:           config.Concurrency + 1,
		MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader:  true,
	}
	return &Caller{config: config, client: client}, nil
}

// Run sends requests for the configured duration or until the context ends, waits for those in flight,
// and returns the report. A rate above zero selects an open loop, otherwise the loop is closed.
func (c *Caller) Run(ctx context.Context) Report {
	ctx, cancel := context.WithTimeout(ctx, c.config.Duration)
	defer cancel()
	recorder := newRecorder(time.Now())
	if c.config.Rate > 0 {
		c.runOpen(ctx, recorder)
	} else {
		c.runClosed(ctx, recorder)
	}
	return recorder.report(time.Now())
}

// runClosed keeps a fixed number of requests in flight.
func (c *Caller) runClosed(ctx context.Context, recorder *recorder) {
	var group conc.WaitGroup
	for range c.config.Concurrency {
		group.Go(func() {
			for ctx.Err() == nil {
				c.sendOne(recorder, time.Now())
			}
		})
	}
	group.Wait()
}

// runOpen sends requests at a fixed rate. Latency is measured from the time at which a request was due
// to be sent, so that a slow system does not reduce the measured latency by slowing the caller down.
func (c *Caller) runOpen(ctx context.Context, recorder *recorder) {
	var group conc.WaitGroup
	defer group.Wait()
	slots := make(chan struct{}, c.config.Concurrency)
	interval := time.Duration(float64(time.Second) / c.config.Rate)
	due := time.Now()
	for ctx.Err() == nil {
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
		select {
		case slots <- struct{}{}:
			scheduled := due
			group.Go(func() {
				defer func() { <-slots }()
				c.sendOne(recorder, scheduled)
			})
		default:
			recorder.recordSkipped()
		}
		due = due.Add(interval)
	}
}

// sendOne sends one request and records its outcome and its latency since the scheduled time.
func (c *Caller) sendOne(recorder *recorder, scheduled time.Time) {
	result := c.Send()
	now := time.Now()
	recorder.record(result.Outcome, now.Sub(scheduled), now)
}

// Result is the outcome of one request. Err is set only for a failed connection or a timeout; Status,
// Worker and Body are then empty.
type Result struct {
	RequestID string
	Outcome   Outcome
	Status    int
	Worker    string
	Body      []byte
	Err       error
}

// Send sends one request and waits for its response or for the timeout.
func (c *Caller) Send() Result {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	id := uuid.NewString()
	c.prepareRequest(request, id)
	err := c.client.DoTimeout(request, response, c.config.Timeout+responseGrace)
	if err != nil {
		return Result{RequestID: id, Outcome: OutcomeTransport, Err: err}
	}
	return Result{
		RequestID: id,
		Outcome:   classifyResponse(response, id),
		Status:    response.StatusCode(),
		Worker:    string(response.Header.Peek("Clementine-Worker")),
		Body:      bytes.Clone(response.Body()),
	}
}

// prepareRequest sets the URL, the method, the headers and the body of a request.
func (c *Caller) prepareRequest(request *fasthttp.Request, id string) {
	index := c.nextURL.Add(1) % uint64(len(c.config.URLs))
	request.SetRequestURI(c.config.URLs[index])
	request.Header.SetMethod(c.config.Method)
	request.Header.Set(headerRequestID, id)
	request.Header.Set(headerTimeout, c.config.Timeout.String())
	if c.config.Idempotent != nil {
		request.Header.Set(headerIdempotent, strconv.FormatBool(*c.config.Idempotent))
	}
	if c.config.Priority != "" {
		request.Header.Set(headerPriority, c.config.Priority)
	}
	if c.config.Team != "" {
		request.Header.Set(headerTeam, c.config.Team)
	}
	request.SetBody(c.config.Body)
}

// classifyResponse returns the outcome of a response. The response of a target that is called directly
// has no outcome header.
func classifyResponse(response *fasthttp.Response, id string) Outcome {
	switch string(response.Header.Peek(headerOutcome)) {
	case "not-run":
		return OutcomeNotRun
	case "unknown":
		return OutcomeUnknown
	}
	if response.StatusCode() >= fasthttp.StatusInternalServerError {
		return OutcomeTransport
	}
	// The stand-in target echoes the request ID, so that the response to another request is detected.
	if echo := response.Header.Peek("Target-Request-Id"); len(echo) > 0 && string(echo) != id {
		return OutcomeWrongAnswer
	}
	return OutcomeAnswered
}
