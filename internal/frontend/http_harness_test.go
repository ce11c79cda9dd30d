package frontend

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gofiber/fiber/v3"

	"clementineflow/internal/configuration"
	"clementineflow/internal/fleet"
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
