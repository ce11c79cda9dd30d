package coordinator

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/store"
	"clementineflow/internal/wait"
	"clementineflow/internal/wire"
)

const (
	// recordInterval is the time between two looks for lost links. A link that returns before costs no write.
	recordInterval = 500 * time.Millisecond
	// recordRetryDelay is the delay after a write of the record that was not confirmed.
	recordRetryDelay = 50 * time.Millisecond
	// recordedSilence is the longest silence that is recorded. It exceeds the authority of an agent.
	recordedSilence = 30 * time.Second
	// refreshInterval is the time between two writes while a listed agent has authority: an entry that starts later
	// knows how long the silence lasted from the record only.
	refreshInterval = time.Second
)

// reachability decides which pings may be acknowledged and keeps the record of the agents without a link, so that the
// next coordinator need not count their authority from the start of its own term.
type reachability struct {
	term    *term
	changed chan struct{}

	mu       sync.Mutex
	agents   map[string]*reach
	revision store.Revision
	// writtenAt is when the record was last built.
	writtenAt time.Duration
}

// reach is the state of one agent.
type reach struct {
	linked bool
	loss   uint64
	// lastAck is when the last ping was acknowledged at the latest, by any term.
	lastAck time.Duration
	// recorded is set while the stored record may list the agent. Its pings wait until it does not; reply
	// acknowledges the latest one.
	recorded bool
	reply    func()
}

func newReachability(t *term) *reachability {
	return &reachability{term: t, changed: make(chan struct{}, 1), agents: map[string]*reach{}}
}

// inherit takes the record over from the former term and returns when its agents were last acknowledged. It returns
// after the record was written in this term, so no other term can change it any more.
func (r *reachability) inherit(ctx context.Context, seen *sightings, former uint64) map[string]time.Duration {
	seen.mu.Lock()
	item := seen.latest
	seen.mu.Unlock()
	for ctx.Err() == nil {
		record, err := seen.observe(item, r.term.config.Now())
		if err != nil {
			store.ReportMalformed(r.term.config.Logger, "unreachable agents", item.Key, err)
		}
		if record.Term != r.term.number {
			r.adopt(record, seen, record.Term == former)
		}
		r.revision = item.Revision
		err = r.write(ctx)
		if err == nil {
			break
		}
		var failed *store.ConditionError
		if errors.As(err, &failed) {
			item = failed.Find(unreachableKey)
			continue
		}
		wait.Sleep(ctx, recordRetryDelay)
	}
	lastAcks := map[string]time.Duration{}
	for name, a := range r.agents {
		lastAcks[name] = a.lastAck
	}
	return lastAcks
}

// adopt replaces all agents by those of the former term's record. A record of any other term can be out of date.
func (r *reachability) adopt(record *unreachableRecord, seen *sightings, current bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.agents)
	for _, a := range record.Agents {
		if current {
			r.agents[a.Name] = &reach{loss: a.Loss, lastAck: seen.lastAck(a), recorded: true}
		}
	}
}

// add adds an agent that has a record, if it is unknown. This term has acknowledged no ping of it.
func (r *reachability) add(name string, termStart time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.agents[name] == nil {
		r.agents[name] = &reach{loss: r.term.number << fenceShift, lastAck: termStart}
	}
}

func (r *reachability) linkOpened(name string, fence uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.agents[name]
	a.linked, a.loss, a.reply = true, fence, nil
}

// linkEnded returns when the last ping of the agent was acknowledged at the latest.
func (r *reachability) linkEnded(name string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.agents[name]
	a.linked, a.reply = false, nil
	return a.lastAck
}

// acknowledge acknowledges a ping by calling reply, at once or when the record no longer lists the agent.
func (r *reachability) acknowledge(name string, reply func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.agents[name]
	a.reply = reply
	if a.recorded {
		select {
		case r.changed <- struct{}{}:
		default:
		}
		return
	}
	r.replyLocked(a)
}

func (r *reachability) replyLocked(a *reach) {
	if a.reply != nil && r.term.valid() {
		a.lastAck = r.term.config.Now()
		a.reply()
	}
	a.reply = nil
}

// run keeps the record up to date until the context ends.
func (r *reachability) run(ctx context.Context) {
	tick := time.NewTicker(recordInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		lost := false
		select {
		case <-ctx.Done():
		case <-r.changed:
		case <-tick.C:
			lost = true
		}
		for r.due(lost) && ctx.Err() == nil && r.write(ctx) != nil {
			wait.Sleep(ctx, recordRetryDelay)
		}
	}
}

// due reports whether a ping waits for the record or, if lost is set, whether an agent without a link is not listed.
func (r *reachability) due(lost bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.agents {
		if a.recorded && a.reply != nil || lost && !a.linked && !a.recorded && r.recentLocked(a) {
			return true
		}
		timing, now := r.term.config.Timing, r.term.config.Now()
		if lost && a.recorded && now < a.lastAck+timing.Authority+timing.Margin && now >= r.writtenAt+refreshInterval {
			return true
		}
	}
	return false
}

func (r *reachability) recentLocked(a *reach) bool {
	return r.term.config.Now()-a.lastAck < recordedSilence
}

// write writes the record. An attempt without an answer can take effect until another one has: each requires the
// revision of the latest one that was confirmed.
func (r *reachability) write(ctx context.Context) error {
	record, listed := r.build()
	value, err := wire.Marshal(record)
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := r.term.config.Store.Commit(call, store.Transaction{
		Conditions: []store.Condition{
			{Key: leaderKey, Revision: store.Revision(r.term.number)}, {Key: unreachableKey, Revision: r.revision},
		},
		Writes: []store.Write{{Key: unreachableKey, Value: value}},
	})
	var failed *store.ConditionError
	if errors.As(err, &failed) && failed.Revision(leaderKey) == store.Revision(r.term.number) {
		r.revision = failed.Revision(unreachableKey)
	}
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision = revision
	for name, a := range r.agents {
		if a.recorded = slices.Contains(listed, name); !a.recorded {
			r.replyLocked(a)
		}
	}
	return nil
}

// build returns the record of the agents without a link and marks them as recorded.
func (r *reachability) build() (*unreachableRecord, []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writtenAt = r.term.config.Now()
	record := &unreachableRecord{Term: r.term.number}
	var listed []string
	for name, a := range r.agents {
		if a.linked || !r.recentLocked(a) {
			continue
		}
		a.recorded = true
		listed = append(listed, name)
		record.Agents = append(record.Agents, unreachableAgent{
			Name: name, Loss: a.loss, SilentMillis: (r.term.config.Now() - a.lastAck).Milliseconds(),
		})
	}
	slices.SortFunc(record.Agents, func(x, y unreachableAgent) int { return strings.Compare(x.Name, y.Name) })
	return record, listed
}
