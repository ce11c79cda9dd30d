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

// Coordinator takes part in the leader election and runs a term while elected. Create it with New; its
// methods are safe for concurrent use.
type Coordinator struct {
	config Config
	token  string
	// answers observes the store calls. vacantAt is when the campaign found that there is no coordinator, or zero.
	answers  *answerTracker
	vacantAt time.Duration

	mu     sync.Mutex
	leader leaderRecord
	// latestTerm is the number of the latest term of any entry that this one has heard of.
	latestTerm uint64
	known      bool
	changed    chan struct{}
	term       *term
	// yieldNotBefore is the earliest time at which this entry may hand over to a stronger one again.
	yieldNotBefore time.Duration
}

// New returns a coordinator. It takes part in elections once Run is called.
func New(config Config) *Coordinator {
	tracker := &answerTracker{now: config.Now}
	config.Store = store.Observe(config.Store, "", tracker)
	return &Coordinator{config: config, token: uuid.NewString(), answers: tracker, changed: make(chan struct{})}
}

// Run takes part in elections until the context ends, then ends a current term and revokes its lease.
func (c *Coordinator) Run(ctx context.Context) {
	var group conc.WaitGroup
	mirror := store.NewMirror(store.MirrorConfig{
		Feed: c.config.Store, Prefix: leaderKey, Wait: watchWait, Handle: c.handleLeaderEvents, Logger: c.config.Logger,
	})
	group.Go(func() { contain.RunWithRestart(ctx, c.config.Logger, "follow leader", mirror.Run) })
	group.Go(func() { contain.RunWithRestart(ctx, c.config.Logger, "campaign", c.campaign) })
	group.Wait()
}

// handleLeaderEvents updates the known leader from events of the store.
func (c *Coordinator) handleLeaderEvents(events []store.Event, _ time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := !c.known
	c.known = true
	c.config.Admission.Confirm()
	for _, event := range events {
		if event.Key == backlogKey {
			c.applyBacklogState(event)
		}
		if event.Key != leaderKey {
			continue
		}
		record := &leaderRecord{}
		if !event.Deleted {
			var err error
			if record, err = wire.Unmarshal[leaderRecord](event.Value); err != nil {
				c.config.Logger.Error("leader record can't be decoded", "error", err)
				continue
			}
			c.latestTerm = uint64(event.Revision)
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

// vacant reports whether it is known that there is no coordinator. The channel is closed at the next change.
func (c *Coordinator) vacant() (bool, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known && c.leader.Address == "", c.changed
}

// campaign tries to become the coordinator whenever there is none, until the context ends.
func (c *Coordinator) campaign(ctx context.Context) {
	for ctx.Err() == nil {
		free, changed := c.vacant()
		if !free {
			c.vacantAt = 0
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		if c.vacantAt == 0 {
			c.vacantAt = c.config.Now()
		}
		wait.Sleep(ctx, rand.N(electionJitter)+candidacyDelay(c.config.Strength, c.config.Peers.MaxStrength()))
		if free, _ := c.vacant(); !free {
			continue
		}
		if err := c.runTerm(ctx); err != nil && ctx.Err() == nil {
			c.config.Logger.Info("not elected", "error", err)
			wait.Sleep(ctx, electionJitter+rand.N(4*electionJitter))
		}
	}
}

// runTerm tries to become the coordinator and then runs the term to its end. It returns an error only if this
// entry was not elected.
func (c *Coordinator) runTerm(ctx context.Context) error {
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
	former := c.formerTerm()
	revision, err := c.config.Store.CompareAndSwap(call, leaderKey, 0, value, lease)
	if err != nil {
		c.revokeLease(lease)
		return err
	}
	t := newTerm(c.config, uint64(revision), lease, sent+leaseTTL-leaseSafetyMargin)
	t.yieldNotBefore, t.former = c.yieldNotBefore, former
	t.phases = newPhases(c.answers.answeredSince(), c.vacantAt, c.config.Now())
	c.vacantAt = 0
	c.setTerm(t, record)
	err = t.run(ctx)
	c.clearTerm()
	if errors.Is(err, errYielded) {
		c.yieldNotBefore = c.config.Now() + yieldCooldown
	}
	if errors.Is(err, errYielded) || errors.Is(err, context.Canceled) {
		c.leaveHandover(t)
	}
	c.config.Logger.Warn("term ended", "term", revision, "error", err)
	c.revokeLease(lease)
	return nil
}

// formerTerm returns the number of the latest term that this entry has heard of, or zero.
func (c *Coordinator) formerTerm() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latestTerm
}

// setTerm makes the term the current one, with this entry as the leader.
func (c *Coordinator) setTerm(t *term, record leaderRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.term, c.leader = t, record
	close(c.changed)
	c.changed = make(chan struct{})
}

// clearTerm clears the current term. The leader record stays as it is until the mirror reports a change.
func (c *Coordinator) clearTerm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.term = nil
}

// revokeLease revokes a lease, so that another entry can take over at once.
func (c *Coordinator) revokeLease(lease store.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := c.config.Store.RevokeLease(ctx, lease); err != nil && !errors.Is(err, store.ErrLeaseNotFound) {
		c.config.Logger.Info("lease not revoked; it will expire", "lease", lease, "error", err)
	}
}

// currentTerm returns the current term, or nil if this entry is not the coordinator.
func (c *Coordinator) currentTerm() *term {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term
}

// State returns the state of a job. known is false if the coordinator has not loaded the job, or if its term
// may have ended. It returns ErrNotCoordinator if this entry is not the coordinator.
func (c *Coordinator) State(ctx context.Context, id string) (state job.State, known bool, err error) {
	t := c.currentTerm()
	if t == nil {
		return 0, false, ErrNotCoordinator
	}
	reply, err := t.sendQuery(ctx, query{job: id})
	return reply.state, reply.known, err
}

// NotifyStored queues a job or a cancellation that has just been stored, without waiting for the store's watch,
// and reports whether this entry is the coordinator. If the event queue is full, the notification is dropped
// and the watch delivers the record.
func (c *Coordinator) NotifyStored(key string, value []byte) bool {
	t := c.currentTerm()
	if t == nil {
		return false
	}
	if !strings.HasPrefix(key, jobPrefix) && !strings.HasPrefix(key, cancelPrefix) {
		c.config.Logger.Warn("notification ignored: the key is neither a job nor a cancellation", "key", key)
		return true
	}
	select {
	case t.events <- event{input: []store.Event{{KeyValue: store.KeyValue{Key: key, Value: value}}}}:
	default:
	}
	return true
}

// Waiting returns the number of jobs in the queue with no started task. It returns ErrNotCoordinator if this
// entry is not the coordinator or its term may have ended.
func (c *Coordinator) Waiting(ctx context.Context, queue string) (int, error) {
	t := c.currentTerm()
	if t == nil {
		return 0, ErrNotCoordinator
	}
	reply, err := t.sendQuery(ctx, query{queue: queue})
	if err == nil && !reply.known {
		return 0, ErrNotCoordinator
	}
	return reply.waiting, err
}
