package frontend

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/wire"
)

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
