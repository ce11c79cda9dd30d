package coordinator

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"clementineflow/internal/contain"
	"clementineflow/internal/job"
	"clementineflow/internal/store"
	"clementineflow/internal/wait"
	"clementineflow/internal/wire"
)

// Coordinator takes part in the election and does the coordinator's work while elected. Create it with
// New; its methods are safe for concurrent use.
type Coordinator struct {
	config Config
	token  string

	mu      sync.Mutex
	leader  leaderRecord
	known   bool
	changed chan struct{}
	term    *term
	// yieldFrom is from when on this entry may hand over to a stronger one again.
	yieldFrom time.Duration
}

// New returns a coordinator that takes part in no election yet.
func New(config Config) *Coordinator {
	return &Coordinator{config: config, token: uuid.NewString(), changed: make(chan struct{})}
}

// Run takes part in elections until the context ends, then hands over.
func (c *Coordinator) Run(ctx context.Context) {
	var group conc.WaitGroup
	mirror := store.NewMirror(store.MirrorConfig{
		Feed: c.config.Store, Prefix: leaderKey, Wait: watchWait, Handle: c.observe, Logger: c.config.Logger,
	})
	group.Go(func() { contain.Duty(ctx, c.config.Logger, "follow leader", mirror.Run) })
	group.Go(func() { contain.Duty(ctx, c.config.Logger, "campaign", c.campaign) })
	group.Wait()
}

// observe takes in changes of the leadership.
func (c *Coordinator) observe(events []store.Event, _ time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := !c.known
	c.known = true
	for _, event := range events {
		if event.Key != leaderKey {
			continue
		}
		record := &leaderRecord{}
		if !event.Deleted {
			var err error
			if record, err = wire.Unmarshal[leaderRecord](event.Value); err != nil {
				c.config.Logger.Error("leader record can't be read", "error", err)
				continue
			}
		}
		c.leader = *record
		c.config.Logger.Info("coordinator changed", "name", record.Name, "address", record.Address, "revision", event.Revision)
	}
	if first || len(events) > 0 {
		close(c.changed)
		c.changed = make(chan struct{})
	}
}

// Leader returns the address of the coordinator, or "" if none is known, and a channel that is closed
// at the next change.
func (c *Coordinator) Leader() (string, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader.Address, c.changed
}

// vacant reports whether the leadership is known to be free, and returns the next change.
func (c *Coordinator) vacant() (bool, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known && c.leader.Address == "", c.changed
}

// campaign tries to take the leadership whenever it is free.
func (c *Coordinator) campaign(ctx context.Context) {
	for ctx.Err() == nil {
		free, changed := c.vacant()
		if !free {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		wait.Sleep(ctx, rand.N(electionJitter)+standDelay(c.config.Strength, c.config.Peers.Strongest()))
		if free, _ := c.vacant(); !free {
			continue
		}
		if err := c.stand(ctx); err != nil && ctx.Err() == nil {
			c.config.Logger.Info("not elected", "error", err)
			wait.Sleep(ctx, electionJitter+rand.N(4*electionJitter))
		}
	}
}

// stand takes the leadership and serves the term, or returns why it was not elected.
func (c *Coordinator) stand(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := c.config.Now()
	lease, err := c.config.Store.GrantLease(call, leaseTTL)
	if err != nil {
		return err
	}
	record := leaderRecord{Name: c.config.Name, Address: c.config.Address, Token: c.token}
	value, err := wire.Marshal(&record)
	if err != nil {
		return err
	}
	revision, err := c.config.Store.CompareAndSwap(call, leaderKey, 0, value, lease)
	if err != nil {
		c.release(lease)
		return err
	}
	t := newTerm(c.config, uint64(revision), lease, sent+leaseTTL-leaseSafety)
	t.yieldFrom = c.yieldFrom
	c.enter(t, record)
	err = t.run(ctx)
	c.leave()
	if errors.Is(err, errYielded) {
		c.yieldFrom = c.config.Now() + yieldPause
	}
	c.config.Logger.Warn("term ended", "term", revision, "error", err)
	c.release(lease)
	return nil
}

// enter makes the term the current one.
func (c *Coordinator) enter(t *term, record leaderRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.term, c.leader = t, record
	close(c.changed)
	c.changed = make(chan struct{})
}

// leave ends the current term. The leadership counts as taken until the mirror says otherwise.
func (c *Coordinator) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.term = nil
}

// release ends a lease, so that another entry can take over at once.
func (c *Coordinator) release(lease store.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := c.config.Store.RevokeLease(ctx, lease); err != nil && !errors.Is(err, store.ErrLeaseNotFound) {
		c.config.Logger.Info("lease is left to expire", "lease", lease, "error", err)
	}
}

// current returns the current term, or nil.
func (c *Coordinator) current() *term {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term
}

// State returns the state of a job. known is false if this entry, though the coordinator, has not
// learned of the job. It returns ErrNotCoordinator on any other entry.
func (c *Coordinator) State(ctx context.Context, id string) (state job.State, known bool, err error) {
	t := c.current()
	if t == nil {
		return 0, false, ErrNotCoordinator
	}
	answer, err := t.ask(ctx, question{job: id})
	return answer.state, answer.known, err
}

// Notice takes in a job or a cancellation that has just been stored, ahead of the store's watch, and reports
// whether this entry is the coordinator. A notice that finds the queue of events full is left to the watch.
func (c *Coordinator) Notice(key string, value []byte) bool {
	t := c.current()
	if t == nil {
		return false
	}
	if !strings.HasPrefix(key, jobPrefix) && !strings.HasPrefix(key, cancelPrefix) {
		c.config.Logger.Warn("notice of a key that is not a hand-in", "key", key)
		return true
	}
	select {
	case t.events <- event{input: []store.Event{{KeyValue: store.KeyValue{Key: key, Value: value}}}}:
	default:
	}
	return true
}

// Waiting returns the number of jobs of the queue of which no task has started.
func (c *Coordinator) Waiting(ctx context.Context, queue string) (int, error) {
	t := c.current()
	if t == nil {
		return 0, ErrNotCoordinator
	}
	answer, err := t.ask(ctx, question{queue: queue})
	if err == nil && !answer.known {
		return 0, ErrNotCoordinator
	}
	return answer.waiting, err
}
