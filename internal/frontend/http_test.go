package frontend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gofiber/fiber/v3"
	"github.com/matryer/is"

	"clementineflow/internal/configuration"
	"clementineflow/internal/fleet"
	"clementineflow/internal/frontend/exchange"
	"clementineflow/internal/routing"
	"clementineflow/internal/wire"
)

// fakeHub records the messages to workers and lets a test answer requests.
type fakeHub struct {
	mutex    sync.Mutex
	views    []fleet.View
	messages []wire.Message
	// onRequest is called in a goroutine of its own for each request.
	onRequest func(worker string, request wire.Request)
}

func (h *fakeHub) Views() []fleet.View {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.views
}

func (h *fakeHub) SendIncarnation(worker, _ string, message wire.Message) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if request, ok := message.(*wire.Request); ok {
		copied := *request
		message = &copied
		if h.onRequest != nil {
			go h.onRequest(worker, *request)
		}
	}
	h.messages = append(h.messages, message)
	return nil
}

// count returns the number of messages of a kind.
func (h *fakeHub) count(kind wire.Kind) int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	count := 0
	for _, message := range h.messages {
		if message.Kind() == kind {
			count++
		}
	}
	return count
}

// testFrontend is a frontend with workers a and b, a service "check" with targets on both, and a service
// "idle" without targets.
type testFrontend struct {
	hub *fakeHub
	*Frontend
	app  *fiber.App
	logs *bytes.Buffer
}

func newTestFrontend(t *testing.T) *testFrontend {
	t.Helper()
	hub := &fakeHub{}
	for _, name := range []string{"a", "b"} {
		hub.views = append(hub.views, fleet.View{
			Name: name, Incarnation: "i", Zone: "z", Connected: true, LastMessageAt: time.Now().Add(time.Hour),
			Targets: []wire.TargetState{{Service: "check", Slots: 1, Connections: 4}},
		})
	}
	document := &configuration.Document{
		Revision: 1, Zones: []configuration.Zone{{Name: "z"}},
		Teams:    []configuration.Team{{Name: "depot", Weight: 1}, {Name: "slow", Weight: 1, RequestsPerSecond: 1}},
		Services: []configuration.Service{{Name: "check", Team: "depot", Timeout: time.Second}, {Name: "idle", Team: "depot"}},
	}
	logs := &bytes.Buffer{}
	f, err := New(Config{
		Zone: "z", Hub: hub, Logger: log.New(logs), Seed: 1,
		Document: func() *configuration.Document { return document },
	})
	if err != nil {
		t.Fatal(err)
	}
	f.refreshViews(time.Now())
	return &testFrontend{hub: hub, Frontend: f, app: f.App(), logs: logs}
}

// answer replies to a request as its worker, with the request's method, path and body as the body.
func (r *testFrontend) answer(worker string, request wire.Request) {
	r.RequestReply(worker, &wire.RequestReply{
		ID: request.ID, Attempt: request.Attempt, Outcome: wire.OutcomeAnswered, Status: 201,
		Headers: []wire.Header{{Name: "X-Kiln", Value: "7"}, {Name: "Connection", Value: "x-hop"}, {Name: "X-Hop", Value: "1"}},
		Body:    []byte(request.Method + " " + request.Path + " " + string(request.Body)),
	})
}

// answer is a response whose body was read and closed.
type answer struct {
	StatusCode int
	Header     http.Header
	// Close is set if the server closes the connection after the answer.
	Close bool
}

// do sends a request; headers are name and value pairs.
func (r *testFrontend) do(t *testing.T, method, path, body string, headers ...string) (answer, string) {
	t.Helper()
	request, err := http.NewRequest(method, "http://entry"+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for index := 0; index < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}
	response, err := r.app.Test(request, fiber.TestConfig{Timeout: 5 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return answer{response.StatusCode, response.Header, response.Close}, string(data)
}

const checkPath = "/v1/services/check/request"

// TestAnswer guards against an incomplete answer, and against hop-by-hop and Clementine headers being
// forwarded.
func TestAnswer(t *testing.T) {
	is := is.New(t)
	r := newTestFrontend(t)
	r.hub.onRequest = r.answer
	response, body := r.do(t, "POST", checkPath+"/trucks/9?gate=2", "load", "Clementine-Request-Id", "r1",
		"X-Depot", "north", "Connection", "x-once", "X-Once", "1")
	is.Equal(response.StatusCode, 201)
	is.Equal(body, "POST /trucks/9?gate=2 load")
	is.Equal(response.Header.Get("Clementine-Request-Id"), "r1")
	is.Equal(response.Header.Get("Clementine-Outcome"), "answered")
	is.True(response.Header.Get("Clementine-Worker") != "")
	is.Equal(response.Header.Get("X-Kiln"), "7")
	is.Equal(response.Header.Get("X-Hop"), "")
	request := r.hub.messages[0].(*wire.Request)
	is.Equal(request.ID, "depot/r1")
	is.True(!request.Idempotent && request.RemainingMillis > 900 && request.RemainingMillis <= 1000)
	names := ""
	for _, header := range request.Headers {
		names += header.Name + " "
	}
	is.True(strings.Contains(names, "X-Depot"))
	is.True(!strings.Contains(names, "Once") && !strings.Contains(names, "Clementine"))
	is.True(strings.Contains(r.logs.String(), "route"))
	is.True(strings.Contains(r.logs.String(), "candidates=2"))

	again, body := r.do(t, "POST", checkPath+"/trucks/9?gate=2", "load", "Clementine-Request-Id", "r1")
	is.Equal(again.StatusCode, 201)
	is.Equal(body, "POST /trucks/9?gate=2 load")
	reused, _ := r.do(t, "POST", checkPath+"/trucks/8", "load", "Clementine-Request-Id", "r1")
	is.Equal(reused.StatusCode, 400)
	is.Equal(r.hub.count(wire.KindRequest), 1)
}

// TestInvalid guards against an invalid request that gets an untyped error or an outcome other than "not
// run", or that is sent to a worker.
func TestInvalid(t *testing.T) {
	r := newTestFrontend(t)
	big := strings.Repeat("x", MaxBodyBytes)
	cases := []struct {
		name, path, body string
		headers          []string
		status           int
		code             Code
	}{
		{"bad timeout", checkPath, "", []string{"Clementine-Timeout", "soon"}, 400, CodeInvalid},
		{"timeout too long", checkPath, "", []string{"Clementine-Timeout", "11m"}, 400, CodeInvalid},
		{"deadline in the past", checkPath, "", []string{"Clementine-Timeout", "-1s"}, 504, CodeDeadline},
		{"bad priority", checkPath, "", []string{"Clementine-Priority", "high"}, 400, CodeInvalid},
		{"bad idempotent", checkPath, "", []string{"Clementine-Idempotent", "maybe"}, 400, CodeInvalid},
		{"bad id", checkPath, "", []string{"Clementine-Request-Id", "a b"}, 400, CodeInvalid},
		{"header is not UTF-8", checkPath, "", []string{"X-Name", "\xff"}, 400, CodeInvalid},
		{"unknown service", "/v1/services/none/request", "", nil, 400, CodeUnknownService},
		{"unknown team", checkPath, "", []string{"Clementine-Team", "none"}, 400, CodeUnknownTeam},
		{"no target", "/v1/services/idle/request", "", nil, 503, CodeUnavailable},
		{"no such path", "/v2", "", nil, 404, CodeNotFound},
		{"body too large", checkPath, big + "x", nil, 413, CodeTooLarge},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			request, err := http.NewRequest("POST", test.path, strings.NewReader(test.body))
			is.NoErr(err)
			for index := 0; index < len(test.headers); index += 2 {
				request.Header.Set(test.headers[index], test.headers[index+1])
			}
			response, body := r.send(t, request)
			is.Equal(response.StatusCode, test.status)
			var failed errorBody
			is.NoErr(json.Unmarshal([]byte(body), &failed))
			is.Equal(failed.Code, test.code)
			is.Equal(failed.Outcome, "not-run")
			is.Equal(response.Header.Get("Clementine-Outcome"), "not-run")
		})
	}
	is := is.New(t)
	is.Equal(r.hub.count(wire.KindRequest), 0)
	is.Equal(len(r.active), 0)
	r.hub.onRequest = r.answer
	response, _ := r.do(t, "POST", checkPath, big)
	is.Equal(response.StatusCode, 201) // exactly the limit
}

// send sends a request over TCP, since the in-memory connection of app.Test hides connection resets after
// an early answer.
func (r *testFrontend) send(t *testing.T, request *http.Request) (answer, string) {
	t.Helper()
	address := r.listen(t)
	request.URL.Scheme, request.URL.Host = "http", address
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header, response.Close}, string(data)
}

// listen serves the application on a loopback port until the test ends.
func (r *testFrontend) listen(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	app := r.App()
	go func() { _ = app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true}) }()
	t.Cleanup(func() { _ = app.ShutdownWithTimeout(time.Second) })
	return listener.Addr().String()
}

// TestRetry guards against a certain "not run" that is not retried at another worker, and against a retry
// of a non-idempotent request whose outcome is unknown.
func TestRetry(t *testing.T) {
	is := is.New(t)
	r := newTestFrontend(t)
	reply := func(outcome wire.Outcome) func(string, wire.Request) {
		return func(worker string, request wire.Request) {
			if request.Attempt > 1 {
				r.answer(worker, request)
				return
			}
			r.RequestReply(worker, &wire.RequestReply{ID: request.ID, Attempt: 1, Outcome: outcome, Reason: wire.NotRunBusy})
		}
	}
	r.hub.onRequest = reply(wire.OutcomeNotRun)
	response, _ := r.do(t, "POST", checkPath, "")
	is.Equal(response.StatusCode, 201)
	is.Equal(r.hub.count(wire.KindRequest), 2)
	r.hub.onRequest = reply(wire.OutcomeUnknown)
	response, body := r.do(t, "POST", checkPath, "")
	is.Equal(response.StatusCode, 502)
	is.True(strings.Contains(body, `"outcome":"unknown"`))
	is.Equal(r.hub.count(wire.KindRequest), 3)
	response, _ = r.do(t, "GET", checkPath, "")
	is.Equal(response.StatusCode, 201)
	is.Equal(r.hub.count(wire.KindRequest), 5)
}

// TestJoin guards against a second run of a request whose id is repeated while the first is in progress,
// and against an answer that is delivered to another id or attempt.
func TestJoin(t *testing.T) {
	is := is.New(t)
	r := newTestFrontend(t)
	started := make(chan wire.Request, 4)
	r.hub.onRequest = func(_ string, request wire.Request) { started <- request }
	bodies := make(chan string, 2)
	for range 2 {
		go func() {
			_, body := r.do(t, "POST", checkPath+"/x", "", "Clementine-Request-Id", "same")
			bodies <- body
		}()
	}
	request := <-started
	for {
		r.mutex.Lock()
		waiters := r.byID[request.ID].waiters
		r.mutex.Unlock()
		if waiters == 2 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	wrong := request
	wrong.Attempt, wrong.Path = 9, "/wrong"
	for _, worker := range []string{"a", "b"} {
		r.answer(worker, wrong)
	}
	for _, worker := range []string{"a", "b"} {
		r.answer(worker, request)
	}
	is.Equal(<-bodies, "POST /x ")
	is.Equal(<-bodies, "POST /x ")
	is.Equal(r.hub.count(wire.KindRequest), 1)
}

// TestDeadline guards against a caller that waits longer than the grace period after its deadline, and
// against "not run" for a request that is still at a worker.
func TestDeadline(t *testing.T) {
	is := is.New(t)
	r := newTestFrontend(t)
	began := time.Now()
	response, _ := r.do(t, "POST", checkPath, "", "Clementine-Timeout", "100ms")
	is.Equal(response.StatusCode, 502)
	is.Equal(response.Header.Get("Clementine-Outcome"), "unknown")
	is.True(time.Since(began) >= 350*time.Millisecond && time.Since(began) < time.Second)
	is.Equal(r.hub.count(wire.KindCancel), 1)
	is.Equal(r.hub.count(wire.KindQuery), 1)
}

// TestQueueing guards against a request that is lost while all workers are full, and against one that is
// sent to a full worker.
func TestQueueing(t *testing.T) {
	is := is.New(t)
	r := newTestFrontend(t)
	started := make(chan func(), 8)
	r.hub.onRequest = func(worker string, request wire.Request) { started <- func() { r.answer(worker, request) } }
	statuses := make(chan int, 3)
	for range 3 {
		go func() {
			response, _ := r.do(t, "POST", checkPath, "", "Clementine-Timeout", "4s")
			statuses <- response.StatusCode
		}()
	}
	first, second := <-started, <-started
	time.Sleep(50 * time.Millisecond)
	is.Equal(r.hub.count(wire.KindRequest), 2) // one slot at each worker
	first()
	third := <-started
	second()
	third()
	for range 3 {
		is.Equal(<-statuses, 201)
	}
}

// TestCallerGone guards against a request that is not cancelled after its caller closed the connection.
func TestCallerGone(t *testing.T) {
	is := is.New(t)
	r := newTestFrontend(t)
	started := make(chan struct{}, 1)
	r.hub.onRequest = func(string, wire.Request) { started <- struct{}{} }
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, "POST", "http://"+r.listen(t)+checkPath, nil)
	is.NoErr(err)
	request.Header.Set("Clementine-Timeout", "1m") // longer than the test, since the deadline cancels too
	go func() {
		<-started
		cancel()
	}()
	response, err := http.DefaultClient.Do(request)
	is.True(err != nil)
	if response != nil {
		_ = response.Body.Close()
	}
	for waited := 0; r.hub.count(wire.KindCancel) == 0; waited++ {
		is.True(waited < 100)
		time.Sleep(10 * time.Millisecond)
	}
}

// TestDrain guards against a planned stop that interrupts a request in progress or accepts a new one.
func TestDrain(t *testing.T) {
	is := is.New(t)
	r := newTestFrontend(t)
	started := make(chan func(), 1)
	r.hub.onRequest = func(worker string, request wire.Request) { started <- func() { r.answer(worker, request) } }
	status := make(chan int, 1)
	go func() {
		response, _ := r.do(t, "POST", checkPath, "")
		status <- response.StatusCode
	}()
	finish := <-started
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	is.True(r.Drain(ctx) != nil)
	response, _ := r.do(t, "POST", checkPath, "")
	is.Equal(response.StatusCode, 503)
	is.Equal(response.Header.Get("Retry-After"), "1")
	is.True(response.Close) // the shutdown would close a keep-alive connection during the caller's next request
	response, _ = r.do(t, "GET", "/readyz", "")
	is.Equal(response.StatusCode, 503)
	finish()
	is.Equal(<-status, 201)
	is.NoErr(r.Drain(context.Background()))
}

// TestLimits guards against a team that exceeds its rate, and against missing metrics.
func TestLimits(t *testing.T) {
	is := is.New(t)
	r := newTestFrontend(t)
	r.hub.onRequest = r.answer
	response, _ := r.do(t, "GET", checkPath, "", "Clementine-Team", "slow")
	is.Equal(response.StatusCode, 201)
	response, body := r.do(t, "GET", checkPath, "", "Clementine-Team", "slow")
	is.Equal(response.StatusCode, 429)
	is.True(response.Header.Get("Retry-After") != "" && strings.Contains(body, "over_limit"))
	response, body = r.do(t, "GET", "/metrics", "")
	is.Equal(response.StatusCode, 200)
	is.True(strings.Contains(body, "clementine_request_duration_seconds"))
	response, _ = r.do(t, "GET", "/livez", "")
	is.Equal(response.StatusCode, 200)
}

// FuzzParseControl guards against headers that are accepted outside the stated limits.
func FuzzParseControl(f *testing.F) {
	f.Add("POST", "id", "1s", "true", "urgent", "team")
	f.Add("GET", "", "-1s", "", "", "")
	f.Add("PUT", "a\x00b", "9999h", "TRUE", "x", "\xff")
	f.Fuzz(func(t *testing.T, method, id, timeout, idempotent, priority, team string) {
		values := map[string]string{
			headerRequestID: id, headerTimeout: timeout, headerIdempotent: idempotent,
			headerPriority: priority, headerTeam: team,
		}
		ctl, failed := parseControl(method, func(name string) string { return values[name] })
		if failed != nil {
			if failed.unknown || failed.status() < 400 {
				t.Fatalf("failure is not typed: %+v", failed)
			}
			return
		}
		if !validToken(ctl.requestID, maxRequestIDBytes) || ctl.timeout < 0 || ctl.timeout > maxTimeout || ctl.priority == 0 {
			t.Fatalf("accepted %+v", ctl)
		}
	})
}

// discardWriter discards its input. It is used instead of io.Discard, for which the logger skips formatting.
type discardWriter struct{}

func (discardWriter) Write(data []byte) (int, error) { return len(data), nil }

func BenchmarkLogDecision(b *testing.B) {
	logger := log.New(discardWriter{})
	f := &Frontend{config: Config{Logger: logger}}
	active := &activeRequest{request: wire.Request{ID: "depot/r1", Service: "check"}}
	active.exchange, _ = exchange.New(exchange.Spec{})
	decision := routing.Decision{Worker: "a", Reason: routing.ReasonOwnZone, Candidates: 11}
	b.ReportAllocs()
	for b.Loop() {
		f.mutex.Lock()
		f.logDecision(active, decision)
		f.unlock()
	}
}
