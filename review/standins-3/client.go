package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// step is a step of a submission, in the words of the wire.
type step struct {
	Count          int    `json:"count"`
	CPU            int64  `json:"cpu"`
	Memory         int64  `json:"$memory"`
	Estimate       int64  `json:"estimateMs,omitempty"`
	After          []int  `json:"after,omitempty"`
	Requires       string `json:"requires,omitempty"`
	Perpetual      bool   `json:"perpetual,omitempty"`
	MaxPerServer   int    `json:"maxPerServer,omitempty"`
	MaxUnavailable int    `json:"maxUnavailable,omitempty"`
	Image          string `json:"image,omitempty"`
	Target         int64  `json:"targetMs,omitempty"`
	Fills          bool   `json:"$fills,omitempty"`
}

// submission is what a client has sent, and how it was answered.
type submission struct {
	id    string
	queue queue
	spec  string
	steps []step

	mu       sync.Mutex
	accepted time.Duration
	rejected int
	attempts int
	states   []string
}

// jobTable holds the submissions by their id.
type jobTable struct {
	mu   sync.Mutex
	jobs map[string]*submission
}

func newJobTable() *jobTable { return &jobTable{jobs: map[string]*submission{}} }

// find returns the submission and the step of a task.
func (t *jobTable) find(task string) (*submission, int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.jobs[parts[0]]
	number, err := strconv.Atoi(parts[2])
	if s == nil || err != nil || number >= len(s.steps) {
		return nil, 0
	}
	return s, number
}

// cpuOf returns what a task takes of its worker's processors.
func (t *jobTable) cpuOf(task string) int64 {
	if s, number := t.find(task); s != nil {
		return s.steps[number].CPU
	}
	return 0
}

func (t *jobTable) all() []*submission {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*submission, 0, len(t.jobs))
	for _, s := range t.jobs {
		all = append(all, s)
	}
	return all
}

// call makes a call of a client at an entry. It returns 0 without an answer.
func (d *deployment) call(p *process, method string, q queue, path string, body []byte) (int, []byte) {
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s%s", p.ip, frontPort, q.Prefix, path), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = q.Host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Clementineflow-Deadline-Ms", "3000")
	response, err := d.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// submit hands a submission in, at another entry after each attempt that was not accepted, at most four times.
func (d *deployment) submit(q queue, spec string, steps ...step) *submission {
	s := &submission{id: fmt.Sprintf("%016x", rand.Uint64()), queue: q, spec: spec, steps: steps}
	d.jobs.mu.Lock()
	d.jobs.jobs[s.id] = s
	d.jobs.mu.Unlock()
	if spec == "last" {
		d.journal.keep(s.id)
	}
	body := encode(map[string]any{"spec": spec, "steps": steps})
	first := rand.IntN(len(d.entries))
	for attempt := range 4 {
		p := d.entries[(first+attempt)%len(d.entries)]
		status, _ := d.call(p, http.MethodPost, q, s.id, body)
		d.journal.add("client hands in %s at %s: %d", s.id, p.name, status)
		s.mu.Lock()
		s.attempts++
		switch {
		case status/100 == 2:
			s.accepted = d.journal.now()
		case status == 429 || status == 503:
			s.rejected++
		}
		done := status/100 == 2 || status == 404
		s.mu.Unlock()
		if done {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	return s
}

// submitAt hands a submission in at one entry, once.
func (d *deployment) submitAt(p *process, q queue, spec string, steps ...step) *submission {
	s := &submission{id: fmt.Sprintf("%016x", rand.Uint64()), queue: q, spec: spec, steps: steps}
	d.jobs.mu.Lock()
	d.jobs.jobs[s.id] = s
	d.jobs.mu.Unlock()
	body := encode(map[string]any{"spec": spec, "steps": steps})
	status, _ := d.call(p, http.MethodPost, q, s.id, body)
	d.journal.add("client hands in %s at %s: %d", s.id, p.name, status)
	if status/100 == 2 {
		s.accepted = d.journal.now()
	}
	return s
}

// state asks an entry for the state of a submission.
func (d *deployment) state(s *submission, p *process) (int, string) {
	status, body := d.call(p, http.MethodGet, s.queue, s.id, nil)
	var answer struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(body, &answer)
	s.mu.Lock()
	if n := len(s.states); n == 0 || s.states[n-1] != answer.State {
		d.journal.add("client asks %s for %s: %d %s", p.name, s.id, status, answer.State)
		s.states = append(s.states, answer.State)
	}
	s.mu.Unlock()
	return status, answer.State
}

// cancel cancels a submission.
func (d *deployment) cancel(s *submission, p *process) int {
	status, _ := d.call(p, http.MethodDelete, s.queue, s.id, nil)
	d.journal.add("client cancels %s at %s: %d", s.id, p.name, status)
	return status
}

// waiting asks an entry for the length of a queue.
func (d *deployment) waiting(q queue, p *process) (int, int) {
	status, body := d.call(p, http.MethodGet, q, "", nil)
	var answer struct {
		Waiting int `json:"waiting"`
	}
	_ = json.Unmarshal(body, &answer)
	d.journal.add("client asks %s for the length of %s: %d waiting %d", p.name, q.Prefix, status, answer.Waiting)
	return status, answer.Waiting
}
