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

// transportSlack is how much longer than the deadline the caller waits for the entry's statement.
const transportSlack = 2 * time.Second

// ErrConfig reports a run that cannot be carried out.
var ErrConfig = errors.New("caller: invalid configuration")

// Caller sends requests.
type Caller struct {
	config Config
	client *fasthttp.Client
	next   atomic.Uint64
}

// New returns a caller, or ErrConfig.
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

// Run sends requests for the configured duration and returns the report.
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

// runOpen sends requests at a fixed rate. Latency counts from the time at which a request was due,
// so a slow system cannot hide its delay by slowing the caller down.
func (c *Caller) runOpen(ctx context.Context, recorder *recorder) {
	var group conc.WaitGroup
	defer group.Wait()
	permits := make(chan struct{}, c.config.Concurrency)
	interval := time.Duration(float64(time.Second) / c.config.Rate)
	due := time.Now()
	for ctx.Err() == nil {
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
		select {
		case permits <- struct{}{}:
			scheduled := due
			group.Go(func() {
				defer func() { <-permits }()
				c.sendOne(recorder, scheduled)
			})
		default:
			recorder.skip()
		}
		due = due.Add(interval)
	}
}

// sendOne sends one request and records what came of it.
func (c *Caller) sendOne(recorder *recorder, scheduled time.Time) {
	result := c.Send()
	now := time.Now()
	recorder.record(result.Outcome, now.Sub(scheduled), now)
}

// Result is what came of one request.
type Result struct {
	RequestID string
	Outcome   Outcome
	Status    int
	Worker    string
	Body      []byte
	Err       error
}

// Send sends one request and waits for what comes of it.
func (c *Caller) Send() Result {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	id := uuid.NewString()
	c.prepare(request, id)
	err := c.client.DoTimeout(request, response, c.config.Timeout+transportSlack)
	if err != nil {
		return Result{RequestID: id, Outcome: OutcomeTransport, Err: err}
	}
	return Result{
		RequestID: id,
		Outcome:   classify(response, id),
		Status:    response.StatusCode(),
		Worker:    string(response.Header.Peek("Clementine-Worker")),
		Body:      bytes.Clone(response.Body()),
	}
}

// prepare fills in a request.
func (c *Caller) prepare(request *fasthttp.Request, id string) {
	index := c.next.Add(1) % uint64(len(c.config.URLs))
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

// classify reads the outcome of a response. A target that is called directly sets no outcome header.
func classify(response *fasthttp.Response, id string) Outcome {
	switch string(response.Header.Peek(headerOutcome)) {
	case "not-run":
		return OutcomeNotRun
	case "unknown":
		return OutcomeUnknown
	}
	if response.StatusCode() >= fasthttp.StatusInternalServerError {
		return OutcomeTransport
	}
	// The stand-in target echoes the request id, so that a mixed-up answer is noticed.
	if echo := response.Header.Peek("Target-Request-Id"); len(echo) > 0 && string(echo) != id {
		return OutcomeWrongAnswer
	}
	return OutcomeAnswered
}
