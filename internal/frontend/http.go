package frontend

import (
	"bytes"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"

	"clementineflow/internal/wire"
)

// Routes of the callers' HTTP.
const (
	routeRequest = "/v1/services/:service/request"
	routeLive    = "/livez"
	routeReady   = "/readyz"
	routeMetrics = "/metrics"
)

// Limits of the HTTP server.
const (
	readTimeout = 30 * time.Second
	idleTimeout = 2 * time.Minute
	// readBodyBytes is how much of a body above MaxBodyBytes is read. The server closes the connection
	// on a larger one, which resets it while the caller still writes; reading on lets the caller see the
	// typed error.
	readBodyBytes = 4 * MaxBodyBytes
	// readBufferBytes bounds the size of a request's header.
	readBufferBytes = 32 << 10
)

// App returns the HTTP application for callers.
func (f *Frontend) App() *fiber.App {
	app := fiber.New(fiber.Config{
		AppName:        "clementineflow",
		BodyLimit:      readBodyBytes,
		ReadBufferSize: readBufferBytes,
		ReadTimeout:    readTimeout,
		IdleTimeout:    idleTimeout,
		ErrorHandler:   f.errorHandler,
		// The body is passed on unread.
		DisablePreParseMultipartForm: true,
	})
	app.Use(f.closeWhenDraining)
	app.Get(routeLive, func(c fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get(routeReady, f.serveReady)
	app.Get(routeMetrics, serveMetrics)
	app.All(routeRequest, f.serveRequest)
	app.All(routeRequest+"/*", f.serveRequest)
	return app
}

// closeWhenDraining ends the caller's connection with the answer while the entry stops. Otherwise the
// server would close kept connections at its shutdown, and a request that is sent on one at that
// moment is lost without an outcome.
func (f *Frontend) closeWhenDraining(c fiber.Ctx) error {
	err := c.Next()
	if f.isDraining() {
		c.Response().SetConnectionClose()
	}
	return err
}

func (f *Frontend) isDraining() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.draining
}

// errorHandler turns errors of the HTTP layer into typed errors; none of these requests has run.
func (f *Frontend) errorHandler(c fiber.Ctx, err error) error {
	failed := invalid("the request is malformed")
	var httpError *fiber.Error
	if errors.As(err, &httpError) {
		switch httpError.Code {
		case fiber.StatusRequestEntityTooLarge:
			failed = tooLarge()
		case fiber.StatusNotFound, fiber.StatusMethodNotAllowed:
			failed = &failure{code: CodeNotFound, message: "no such path or method"}
		}
	}
	return writeFailure(c, "", "", failed)
}

func tooLarge() *failure {
	return &failure{code: CodeTooLarge, message: "the body is above " + strconv.Itoa(MaxBodyBytes) + " bytes"}
}

// serveReady reports whether new requests are taken on.
func (f *Frontend) serveReady(c fiber.Ctx) error {
	switch {
	case f.isDraining():
		return c.Status(fiber.StatusServiceUnavailable).SendString("draining\n")
	case f.config.Document() == nil:
		return c.Status(fiber.StatusServiceUnavailable).SendString("configuration not known\n")
	default:
		return c.SendString("ok\n")
	}
}

func serveMetrics(c fiber.Ctx) error {
	c.Set(fiber.HeaderContentType, "text/plain; version=0.0.4; charset=utf-8")
	metrics.WritePrometheus(c.Response().BodyWriter(), true)
	return nil
}

// serveRequest handles one request of a caller.
func (f *Frontend) serveRequest(c fiber.Ctx) error {
	ctl, failed := parseControl(c.Method(), func(name string) string { return strings.Clone(c.Get(name)) })
	if failed != nil {
		return writeFailure(c, "", "", failed)
	}
	s, failed := f.submission(c, ctl)
	if failed != nil {
		return writeFailure(c, ctl.requestID, "", failed)
	}
	fl, failed := f.begin(time.Now(), s)
	if failed != nil {
		return writeFailure(c, ctl.requestID, "", failed)
	}
	if !await(fl.done, c.RequestCtx().Conn()) {
		f.leave(time.Now(), fl)
		return c.RequestCtx().Conn().Close()
	}
	return writeResult(c, ctl.requestID, fl)
}

// submission copies the request out of the server's buffers, which are reused when the handler ends.
func (f *Frontend) submission(c fiber.Ctx, ctl control) (*submission, *failure) {
	raw := c.Request()
	body := raw.Body()
	if len(body) > MaxBodyBytes {
		return nil, tooLarge()
	}
	var headers []wire.Header
	for name, value := range raw.Header.All() {
		headers = append(headers, wire.Header{Name: string(name), Value: string(value)})
	}
	headers = endToEnd(headers)
	if len(headers) > maxHeaders {
		return nil, invalid("more than " + strconv.Itoa(maxHeaders) + " headers")
	}
	path := targetPath(string(raw.RequestURI()))
	if !encodable(path, headers) {
		return nil, invalid("the path or a header is not valid UTF-8")
	}
	return &submission{
		control: ctl,
		caller:  c.RequestCtx().RemoteIP().String(),
		request: wire.Request{
			Service: strings.Clone(c.Params("service")),
			Method:  strings.Clone(c.Method()),
			Path:    path,
			Headers: headers,
			Body:    bytes.Clone(body),
		},
	}, nil
}

// targetPath returns the path and query for the target: what follows "/request" in the caller's URI.
func targetPath(uri string) string {
	path, query, hasQuery := strings.Cut(uri, "?")
	parts := strings.SplitN(path, "/", 6) // "", v1, services, {service}, request, {path...}
	target := "/"
	if len(parts) == 6 {
		target += parts[5]
	}
	if hasQuery {
		target += "?" + query
	}
	return target
}

// encodable reports whether the path and the headers can travel on a link. The decoder at the other
// side refuses text that is not UTF-8 and ends the link, with all requests on it.
func encodable(path string, headers []wire.Header) bool {
	if !utf8.ValidString(path) {
		return false
	}
	return !slices.ContainsFunc(headers, func(header wire.Header) bool {
		return !utf8.ValidString(header.Name) || !utf8.ValidString(header.Value)
	})
}

// writeResult writes the result of a request.
func writeResult(c fiber.Ctx, requestID string, fl *flight) error {
	result := &fl.result
	if result.Outcome != wire.OutcomeAnswered {
		return writeFailure(c, requestID, result.Worker, failureOf(result))
	}
	for _, header := range endToEnd(result.Reply.Headers) {
		c.Response().Header.Add(header.Name, header.Value)
	}
	c.Set(headerRequestID, requestID)
	c.Set(headerOutcome, outcomeAnswered)
	c.Set(headerWorker, result.Worker)
	c.Status(result.Reply.Status)
	c.Response().SetBody(result.Reply.Body)
	return nil
}

// errorBody is the JSON of an error.
type errorBody struct {
	Code             Code   `json:"code"`
	Outcome          string `json:"outcome"`
	Message          string `json:"message"`
	RetryAfterMillis int64  `json:"retry_after_ms"`
}

// writeFailure writes an error.
func writeFailure(c fiber.Ctx, requestID, worker string, failed *failure) error {
	if requestID != "" {
		c.Set(headerRequestID, requestID)
	}
	if worker != "" {
		c.Set(headerWorker, worker)
	}
	c.Set(headerOutcome, failed.outcome())
	if failed.retryAfter > 0 {
		// The header has whole seconds; they are rounded up so that no caller comes back too early.
		c.Set(headerRetryAfter, strconv.Itoa(int(math.Ceil(failed.retryAfter.Seconds()))))
	}
	return c.Status(failed.status()).JSON(errorBody{
		Code: failed.code, Outcome: failed.outcome(), Message: failed.message,
		RetryAfterMillis: failed.retryAfter.Milliseconds(),
	})
}
