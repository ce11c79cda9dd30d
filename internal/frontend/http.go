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

// Routes of the HTTP interface for callers.
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
	// writeTimeout bounds how long a response that the caller doesn't read stays in memory.
	writeTimeout = 2 * time.Minute
	// readBodyBytes is the size up to which a body above MaxBodyBytes is still read, so that the caller gets
	// the typed error. On a larger body the server closes the connection, which resets it while the
	// caller still writes.
	readBodyBytes = 4 * MaxBodyBytes
	// readBufferBytes bounds the total size of a request's headers.
	readBufferBytes = 32 << 10
)

// App returns a new HTTP application that serves callers, probes and metrics.
func (f *Frontend) App() *fiber.App {
	app := fiber.New(fiber.Config{
		AppName:        "clementineflow",
		BodyLimit:      readBodyBytes,
		ReadBufferSize: readBufferBytes,
		ReadTimeout:    readTimeout,
		IdleTimeout:    idleTimeout,
		WriteTimeout:   writeTimeout,
		ErrorHandler:   f.errorHandler,
		// The body is forwarded without being parsed.
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

// closeWhenDraining closes the caller's connection after the response while the entry is draining.
// Otherwise the server would close keep-alive connections at its shutdown, and a request sent on one at
// that moment would be lost without an outcome.
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

// errorHandler converts errors of the HTTP layer to typed errors; none of these requests has run.
func (f *Frontend) errorHandler(c fiber.Ctx, err error) error {
	failed := invalidRequest("the request is malformed")
	var httpError *fiber.Error
	if errors.As(err, &httpError) {
		switch httpError.Code {
		case fiber.StatusRequestEntityTooLarge:
			failed = bodyTooLarge()
		case fiber.StatusNotFound, fiber.StatusMethodNotAllowed:
			failed = &failure{code: CodeNotFound, message: "no such path or method"}
		}
	}
	return writeFailure(c, "", "", failed)
}

func bodyTooLarge() *failure {
	return &failure{code: CodeTooLarge, message: "the body is above " + strconv.Itoa(MaxBodyBytes) + " bytes"}
}

// serveReady reports whether new requests are accepted.
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
	s, failed := f.parseSubmission(c, ctl)
	if failed != nil {
		return writeFailure(c, ctl.requestID, "", failed)
	}
	active, failed := f.submit(time.Now(), s)
	if failed != nil {
		return writeFailure(c, ctl.requestID, "", failed)
	}
	if !waitForResult(active.done, c.RequestCtx().Conn()) {
		f.removeCaller(time.Now(), active)
		return c.RequestCtx().Conn().Close()
	}
	return writeResult(c, ctl.requestID, active)
}

// parseSubmission copies the request out of the server's buffers, which are reused when the handler ends.
func (f *Frontend) parseSubmission(c fiber.Ctx, ctl controlHeaders) (*submission, *failure) {
	raw := c.Request()
	body := raw.Body()
	if len(body) > MaxBodyBytes {
		return nil, bodyTooLarge()
	}
	var headers []wire.Header
	for name, value := range raw.Header.All() {
		headers = append(headers, wire.Header{Name: string(name), Value: string(value)})
	}
	headers = endToEndHeaders(headers)
	if len(headers) > maxHeaders {
		return nil, invalidRequest("more than " + strconv.Itoa(maxHeaders) + " headers")
	}
	path := targetPath(string(raw.RequestURI()))
	if !isValidUTF8(path, headers) {
		return nil, invalidRequest("the path or a header is not valid UTF-8")
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

// targetPath returns the path and query for the target: the part of the caller's URI after "/request".
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

// isValidUTF8 reports whether the path and the headers are valid UTF-8. The decoder at the other end of a
// link rejects other text and closes the link, with all requests on it.
func isValidUTF8(path string, headers []wire.Header) bool {
	if !utf8.ValidString(path) {
		return false
	}
	return !slices.ContainsFunc(headers, func(header wire.Header) bool {
		return !utf8.ValidString(header.Name) || !utf8.ValidString(header.Value)
	})
}

// writeResult writes the target's answer, or the failure for a result without an answer.
func writeResult(c fiber.Ctx, requestID string, active *activeRequest) error {
	result := &active.result
	if result.Outcome != wire.OutcomeAnswered {
		return writeFailure(c, requestID, result.Worker, failureOf(result))
	}
	for _, header := range endToEndHeaders(result.Reply.Headers) {
		c.Response().Header.Add(header.Name, header.Value)
	}
	c.Set(headerRequestID, requestID)
	c.Set(headerOutcome, outcomeAnswered)
	c.Set(headerWorker, result.Worker)
	c.Status(result.Reply.Status)
	c.Response().SetBody(result.Reply.Body)
	return nil
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	Code             Code   `json:"code"`
	Outcome          string `json:"outcome"`
	Message          string `json:"message"`
	RetryAfterMillis int64  `json:"retry_after_ms"`
}

// body returns the JSON body of the error response.
func (f *failure) body() errorBody {
	return errorBody{
		Code: f.code, Outcome: f.outcome(), Message: f.message, RetryAfterMillis: f.retryAfter.Milliseconds(),
	}
}

// writeFailure writes an error response. Empty values of requestID and worker set no header.
func writeFailure(c fiber.Ctx, requestID, worker string, failed *failure) error {
	if requestID != "" {
		c.Set(headerRequestID, requestID)
	}
	if worker != "" {
		c.Set(headerWorker, worker)
	}
	c.Set(headerOutcome, failed.outcome())
	if failed.retryAfter > 0 {
		// The header has whole seconds; they are rounded up so that no caller retries too early.
		c.Set(headerRetryAfter, strconv.Itoa(int(math.Ceil(failed.retryAfter.Seconds()))))
	}
	return c.Status(failed.status()).JSON(failed.body())
}
