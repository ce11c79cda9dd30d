package process

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"clementineflow/internal/standin/caller"
	"clementineflow/internal/standin/worker"
)

// loadConfig describes request load.
type loadConfig struct {
	nonIdempotent bool
	timeout       time.Duration
	// balanced plays the platform's balancer: an entry that refuses as stopping gets no request until
	// it is ready again.
	balanced bool
}

// loadResult is one request with the entry that it was sent to and when.
type loadResult struct {
	caller.Result
	entry  *entryNode
	sentAt time.Time
	took   time.Duration
}

// load keeps requests in flight through some entries and keeps every result.
type load struct {
	cluster *cluster
	config  loadConfig
	entries []*entryNode
	callers []*caller.Caller
	stop    atomic.Bool
	group   sync.WaitGroup
	mutex   sync.Mutex
	results []loadResult
}

// concurrentRequests is the number of requests in flight through each entry.
const concurrentRequests = 3

func newLoad(c *cluster, entries []*entryNode, config loadConfig) *load {
	c.t.Helper()
	if config.timeout == 0 {
		config.timeout = 8 * time.Second
	}
	idempotent := !config.nonIdempotent
	l := &load{cluster: c, config: config, entries: entries}
	for _, e := range entries {
		sender, err := caller.New(caller.Config{
			URLs:   []string{fmt.Sprintf("http://%s/v1/services/%s/request/check", e.callers, service)},
			Method: http.MethodPost, Body: []byte("gauge 7"), Timeout: config.timeout, Idempotent: &idempotent,
			Team: team, Concurrency: concurrentRequests,
		})
		if err != nil {
			c.t.Fatal(err)
		}
		l.callers = append(l.callers, sender)
	}
	return l
}

// startLoad starts to send requests.
func startLoad(c *cluster, entries []*entryNode, config loadConfig) *load {
	c.t.Helper()
	l := newLoad(c, entries, config)
	for index := range entries {
		for range concurrentRequests {
			l.group.Go(func() { l.send(index) })
		}
	}
	c.t.Cleanup(func() {
		l.stop.Store(true)
		l.group.Wait()
	})
	return l
}

func (l *load) send(index int) {
	for !l.stop.Load() {
		sentAt := time.Now()
		result := l.callers[index].Send()
		l.mutex.Lock()
		l.results = append(l.results, loadResult{result, l.entries[index], sentAt, time.Since(sentAt)})
		l.mutex.Unlock()
		time.Sleep(50 * time.Millisecond)
		if l.config.balanced && result.Status == http.StatusServiceUnavailable {
			l.awaitReady(l.entries[index])
		}
	}
}

// awaitReady waits until the entry says that it takes requests, or the load ends.
func (l *load) awaitReady(e *entryNode) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for !l.stop.Load() {
		response, err := client.Get("http://" + e.callers + "/readyz")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// answeredSince counts the answers to requests sent after a time.
func (l *load) answeredSince(at time.Time) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	count := 0
	for _, r := range l.results {
		if r.Outcome == caller.OutcomeAnswered && r.sentAt.After(at) {
			count++
		}
	}
	return count
}

// finish ends the load, checks every outcome against the ground truth and returns the results.
func (l *load) finish() []loadResult {
	l.cluster.t.Helper()
	l.stop.Store(true)
	l.group.Wait()
	runs := l.cluster.requestRuns()
	var counts [5]int
	for _, r := range l.results {
		counts[r.Outcome]++
		l.check(r, runs[scoped(r.RequestID)])
	}
	l.cluster.t.Logf("requests: %d answered, %d not run, %d unknown, %d transport", counts[0], counts[1], counts[2], counts[3])
	if counts[caller.OutcomeAnswered] == 0 {
		l.cluster.t.Error("no request was answered")
	}
	return l.results
}

// scoped returns the id under which a target sees a request: ids are scoped by team.
func scoped(id string) string { return team + "/" + id }

// check compares what the caller was told with what the targets ran.
func (l *load) check(r loadResult, runs int) {
	t := l.cluster.t
	t.Helper()
	if l.config.nonIdempotent && runs > 1 {
		t.Errorf("non-idempotent request %s ran %d times", r.RequestID, runs)
	}
	switch r.Outcome {
	case caller.OutcomeAnswered:
		var answer worker.Answer
		if err := json.Unmarshal(r.Body, &answer); err != nil {
			t.Errorf("answer of %s is not whole: status %d, %v: %.200s", r.RequestID, r.Status, err, r.Body)
			return
		}
		if answer.RequestID != scoped(r.RequestID) || answer.Body != "gauge 7" {
			t.Errorf("request %s got the answer of %s", r.RequestID, answer.RequestID)
		}
		if runs == 0 {
			t.Errorf("request %s is answered and no target ran it", r.RequestID)
		}
	case caller.OutcomeNotRun:
		if runs != 0 {
			t.Errorf("request %s was reported as not run and ran %d times", r.RequestID, runs)
		}
	case caller.OutcomeWrongAnswer:
		t.Errorf("request %s got the answer of another one", r.RequestID)
	}
}

// maxShown bounds the results that one check prints.
const maxShown = 5

// requireOnly fails for each result whose outcome is not allowed.
func requireOnly(l *load, results []loadResult, why string, allowed func(loadResult) bool) {
	l.cluster.t.Helper()
	shown := 0
	for _, r := range results {
		if allowed(r) {
			continue
		}
		if shown++; shown <= maxShown {
			l.cluster.t.Errorf("%s: request %s through %s, sent %s, took %s: %s, status %d, %v: %.200s", why, r.RequestID,
				r.entry.name, r.sentAt.Format(time.StampMilli), r.took, r.Outcome, r.Status, r.Err, r.Body)
		}
	}
	if shown > maxShown {
		l.cluster.t.Errorf("%s: %d more requests like these", why, shown-maxShown)
	}
}

// told reports an outcome that a working entry may give: answered, or not run.
func told(r loadResult) bool {
	return r.Outcome == caller.OutcomeAnswered || r.Outcome == caller.OutcomeNotRun
}
