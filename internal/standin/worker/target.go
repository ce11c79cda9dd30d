package worker

import (
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Names of headers that the target reads or sets.
const (
	requestIDHeader = "Clementine-Request-Id"
	workerHeader    = "Standin-Worker"
)

// Intervals, timeouts and limits of the target.
const (
	announceInterval = time.Second
	announceTimeout  = time.Second
	// maxTrackedRequestIDs limits the number of request IDs that are counted separately. Further ones
	// are counted together under the empty ID.
	maxTrackedRequestIDs = 1 << 20
)

// TargetConfig holds the settings of a Target.
type TargetConfig struct {
	Name        string
	Service     string
	Slots       int
	Connections int
	// Agent is the address of the agent that receives announcements; empty disables them.
	Agent string
	// CapacityMilliCPU is the CPU capacity of the worker, used to compute the slowdown by neighbours.
	CapacityMilliCPU int64
}

// TargetSettings are the settings that a test can change while the target runs.
type TargetSettings struct {
	// ServiceMillis is the service time of a request on an idle worker, in milliseconds.
	ServiceMillis int64 `json:"service_ms"`
	// AnswerBytes is the size of the padding of a response, in bytes.
	AnswerBytes int `json:"answer_bytes"`
	// Hang makes requests block until the target stops.
	Hang bool `json:"hang"`
	// BreakAfterRun makes the target close the connection without a response after it has run a request.
	BreakAfterRun bool `json:"break_after_run"`
	// TruncateAnswers makes the target close the connection in the middle of a response.
	TruncateAnswers bool `json:"truncate_answers"`
}

// announcement is the JSON body that registers the target with the agent.
type announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Leaving     bool   `json:"leaving"`
}

// Answer is the JSON body of a response of the target.
type Answer struct {
	RequestID string `json:"request_id"`
	Worker    string `json:"worker"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	// Body is the body of the request.
	Body string `json:"body"`
	// Executions is the number of times the target has run this request ID, including this run.
	Executions int    `json:"executions"`
	Padding    string `json:"padding,omitempty"`
}

// Target is the stand-in for a target. It is safe for concurrent use.
type Target struct {
	config     TargetConfig
	neighbours func() []Neighbour
	client     *fasthttp.HostClient
	stop       chan struct{}

	mutex          sync.Mutex
	settings       TargetSettings
	executions     map[string]int
	concurrent     int
	peakConcurrent int
	completed      int
	leaving        bool
	address        string
}

// NewTarget returns a target with the given initial settings. The neighbours function returns the tasks
// that run on the same worker.
func NewTarget(config TargetConfig, settings TargetSettings, neighbours func() []Neighbour) *Target {
	return &Target{
		config:     config,
		neighbours: neighbours,
		settings:   settings,
		executions: map[string]int{},
		stop:       make(chan struct{}),
		client:     &fasthttp.HostClient{Addr: config.Agent, MaxIdemponentCallAttempts: 1},
	}
}

// ServeRequest runs one request and writes the response, subject to the settings.
func (t *Target) ServeRequest(request *fasthttp.RequestCtx) {
	id := string(request.Request.Header.Peek(requestIDHeader))
	settings, executions := t.beginRequest(id)
	defer t.endRequest()
	if settings.Hang {
		<-t.stop
	}
	time.Sleep(t.serviceTime(settings))
	if settings.BreakAfterRun {
		_ = request.Conn().Close()
		return
	}
	response := Answer{
		RequestID:  id,
		Worker:     t.config.Name,
		Method:     string(request.Method()),
		Path:       string(request.RequestURI()),
		Body:       string(request.PostBody()),
		Executions: executions,
		Padding:    string(make([]byte, settings.AnswerBytes)),
	}
	request.Response.Header.Set(requestIDHeader, id)
	request.Response.Header.Set(workerHeader, t.config.Name)
	if settings.TruncateAnswers {
		sendTruncated(request, response)
		return
	}
	writeJSON(request, fasthttp.StatusOK, response)
}

// sendTruncated sends the response without the second half of its body and closes the connection.
func sendTruncated(request *fasthttp.RequestCtx, response Answer) {
	writeJSON(request, fasthttp.StatusOK, response)
	raw := []byte(request.Response.String())
	request.HijackSetNoResponse(true)
	request.Hijack(func(conn net.Conn) {
		_, _ = conn.Write(raw[:len(raw)-len(request.Response.Body())/2-1])
		_ = conn.Close()
	})
}

// beginRequest counts a request and returns the settings and the number of runs of its ID.
func (t *Target) beginRequest(id string) (TargetSettings, int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.concurrent++
	t.peakConcurrent = max(t.peakConcurrent, t.concurrent)
	if _, known := t.executions[id]; !known && len(t.executions) >= maxTrackedRequestIDs {
		id = ""
	}
	t.executions[id]++
	return t.settings, t.executions[id]
}

// endRequest counts a request as completed.
func (t *Target) endRequest() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.concurrent--
	t.completed++
}

// serviceTime returns the service time of a request, including the slowdown by the current neighbours.
func (t *Target) serviceTime(settings TargetSettings) time.Duration {
	base := time.Duration(settings.ServiceMillis) * time.Millisecond
	return time.Duration(float64(base) * slowdown(t.config.Service, t.neighbours(), t.config.CapacityMilliCPU))
}

// Announce registers the target with the agent every announceInterval, until Leave has finished.
func (t *Target) Announce(address string) {
	t.mutex.Lock()
	t.address = address
	t.mutex.Unlock()
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		// The agent may be temporarily unavailable, so ignore the error; the next announcement retries.
		_ = t.announce()
		select {
		case <-ticker.C:
		case <-t.stop:
			return
		}
	}
}

// announce sends one announcement.
func (t *Target) announce() error {
	if t.config.Agent == "" {
		return nil
	}
	t.mutex.Lock()
	body, err := json.Marshal(announcement{
		Service:     t.config.Service,
		Address:     t.address,
		Slots:       t.config.Slots,
		Connections: t.config.Connections,
		Leaving:     t.leaving,
	})
	t.mutex.Unlock()
	if err != nil {
		return errors.Wrap(err, "standin: encode announcement")
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + t.config.Agent + "/v1/targets")
	request.Header.SetMethod(fasthttp.MethodPut)
	request.SetBodyRaw(body)
	err = t.client.DoTimeout(request, response, announceTimeout)
	return errors.Wrap(err, "standin: announce")
}

// Leave announces that the target is leaving, waits for the requests in progress to end, at most until
// the limit, and stops the target.
func (t *Target) Leave(limit time.Duration) {
	t.mutex.Lock()
	t.leaving = true
	t.mutex.Unlock()
	_ = t.announce()
	deadline := time.Now().Add(limit)
	// Requests that the agent sent before it processed the announcement can still arrive, so wait for
	// 10 consecutive checks without a request in progress.
	for idleChecks := 0; idleChecks < 10 && time.Now().Before(deadline); time.Sleep(stepInterval) {
		idleChecks++
		if t.State().Concurrent > 0 {
			idleChecks = 0
		}
	}
	close(t.stop)
}

// SetSettings replaces the settings. Requests in progress keep the previous ones.
func (t *Target) SetSettings(settings TargetSettings) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.settings = settings
}

// TargetState is the actual state of the target, for tests.
type TargetState struct {
	Settings TargetSettings `json:"settings"`
	// Executions is the number of runs by request ID.
	Executions map[string]int `json:"executions"`
	Concurrent int            `json:"concurrent"`
	// PeakConcurrent is the largest number of concurrent requests so far.
	PeakConcurrent int  `json:"peak_concurrent"`
	Completed      int  `json:"completed"`
	Leaving        bool `json:"leaving"`
}

// State returns a copy of the actual state.
func (t *Target) State() TargetState {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	executions := make(map[string]int, len(t.executions))
	for id, count := range t.executions {
		executions[id] = count
	}
	return TargetState{
		Settings:       t.settings,
		Executions:     executions,
		Concurrent:     t.concurrent,
		PeakConcurrent: t.peakConcurrent,
		Completed:      t.completed,
		Leaving:        t.leaving,
	}
}
