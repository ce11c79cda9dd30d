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

// Limits of the target.
const (
	announceInterval = time.Second
	announceTimeout  = time.Second
	// maxCountedRequests bounds the counted request ids; later ones are counted as one.
	maxCountedRequests = 1 << 20
)

// TargetConfig holds the settings of a Target.
type TargetConfig struct {
	Name        string
	Service     string
	Slots       int
	Connections int
	// Agent is the announcement address of the agent; empty for none.
	Agent string
	// CapacityMilliCPU is the size of the worker, for the slowdown by neighbours.
	CapacityMilliCPU int64
}

// TargetSettings are the settings that a test changes while the target runs.
type TargetSettings struct {
	// ServiceMillis is the time to answer a request on an idle worker.
	ServiceMillis int64 `json:"service_ms"`
	// AnswerBytes is the size of the padding of an answer.
	AnswerBytes int `json:"answer_bytes"`
	// Hang makes the target answer nothing.
	Hang bool `json:"hang"`
	// BreakAfterRun makes the target close the connection after it has run a request.
	BreakAfterRun bool `json:"break_after_run"`
	// TruncateAnswers makes the target close the connection in the middle of an answer.
	TruncateAnswers bool `json:"truncate_answers"`
}

// announcement is the body of an announcement to the agent.
type announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Leaving     bool   `json:"leaving"`
}

// Answer is the body of an answer.
type Answer struct {
	RequestID string `json:"request_id"`
	Worker    string `json:"worker"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	// Body is the body of the request.
	Body string `json:"body"`
	// Executions is how often the target has run the request id, this run included.
	Executions int    `json:"executions"`
	Padding    string `json:"padding,omitempty"`
}

// Target is the stand-in for a target. It is safe for concurrent use.
type Target struct {
	config     TargetConfig
	neighbours func() []Neighbour
	client     *fasthttp.HostClient
	stop       chan struct{}

	mutex      sync.Mutex
	settings   TargetSettings
	executions map[string]int
	concurrent int
	peak       int
	completed  int
	leaving    bool
	address    string
}

// NewTarget returns a target that answers after the given settings. The function returns the tasks
// that run beside it.
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

// ServeRequest answers one request.
func (t *Target) ServeRequest(request *fasthttp.RequestCtx) {
	id := string(request.Request.Header.Peek(requestIDHeader))
	settings, executions := t.begin(id)
	defer t.end()
	if settings.Hang {
		<-t.stop
	}
	time.Sleep(t.serviceTime(settings))
	if settings.BreakAfterRun {
		_ = request.Conn().Close()
		return
	}
	answer := Answer{
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
		truncate(request, answer)
		return
	}
	writeJSON(request, fasthttp.StatusOK, answer)
}

// truncate sends the first half of an answer and closes the connection.
func truncate(request *fasthttp.RequestCtx, answer Answer) {
	writeJSON(request, fasthttp.StatusOK, answer)
	raw := []byte(request.Response.String())
	request.HijackSetNoResponse(true)
	request.Hijack(func(conn net.Conn) {
		_, _ = conn.Write(raw[:len(raw)-len(request.Response.Body())/2-1])
		_ = conn.Close()
	})
}

// begin counts a request and returns the settings and how often its id has been run.
func (t *Target) begin(id string) (TargetSettings, int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.concurrent++
	t.peak = max(t.peak, t.concurrent)
	if _, known := t.executions[id]; !known && len(t.executions) >= maxCountedRequests {
		id = ""
	}
	t.executions[id]++
	return t.settings, t.executions[id]
}

// end counts the end of a request.
func (t *Target) end() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.concurrent--
	t.completed++
}

// serviceTime returns the time to answer beside the present neighbours.
func (t *Target) serviceTime(settings TargetSettings) time.Duration {
	base := time.Duration(settings.ServiceMillis) * time.Millisecond
	return time.Duration(float64(base) * slowdown(t.config.Service, t.neighbours(), t.config.CapacityMilliCPU))
}

// Announce tells the agent every second that the target is there, until Leave.
func (t *Target) Announce(address string) {
	t.mutex.Lock()
	t.address = address
	t.mutex.Unlock()
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		// The agent may be away for a while; the next announcement follows.
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

// Leave announces that the target leaves and waits until the requests in progress have ended, at most
// for the given time.
func (t *Target) Leave(limit time.Duration) {
	t.mutex.Lock()
	t.leaving = true
	t.mutex.Unlock()
	_ = t.announce()
	deadline := time.Now().Add(limit)
	// Requests that the agent had sent before it learned of the leaving are still arriving.
	for quiet := 0; quiet < 10 && time.Now().Before(deadline); time.Sleep(stepInterval) {
		quiet++
		if t.State().Concurrent > 0 {
			quiet = 0
		}
	}
	close(t.stop)
}

// SetSettings changes the settings.
func (t *Target) SetSettings(settings TargetSettings) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.settings = settings
}

// TargetState is the ground truth of the target, for tests.
type TargetState struct {
	Settings TargetSettings `json:"settings"`
	// Executions counts the runs of each request id.
	Executions map[string]int `json:"executions"`
	Concurrent int            `json:"concurrent"`
	// PeakConcurrent is the largest number of requests at a time.
	PeakConcurrent int  `json:"peak_concurrent"`
	Completed      int  `json:"completed"`
	Leaving        bool `json:"leaving"`
}

// State returns a copy of the ground truth.
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
		PeakConcurrent: t.peak,
		Completed:      t.completed,
		Leaving:        t.leaving,
	}
}
