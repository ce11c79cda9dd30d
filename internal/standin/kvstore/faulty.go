package kvstore

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"clementineflow/internal/store"
)

// Faulty is a store.Store that forwards calls to another store and injects faults. Several Faulty
// stores may share one Memory, so that each client of the store has its own faults.
type Faulty struct {
	inner store.Store

	mu       sync.Mutex
	faults   Faults
	counters Counters
	random   *rand.Rand
	watchers map[*faultyWatcher]struct{}
}

// NewFaulty returns a wrapper around inner that injects no faults until SetFaults is called. The seed
// makes the random faults reproducible.
func NewFaulty(inner store.Store, seed uint64) *Faulty {
	return &Faulty{
		inner:    inner,
		random:   rand.New(rand.NewPCG(seed, seed)),
		watchers: make(map[*faultyWatcher]struct{}),
	}
}

// SetFaults replaces all fault settings. If faults.Down is set, it also closes the open watches.
func (f *Faulty) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	if !faults.Down {
		return
	}
	for w := range f.watchers {
		w.inner.Close()
	}
}

// Faults returns the current fault settings.
func (f *Faulty) Faults() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// Counters returns the number of calls since the start or the last reset.
func (f *Faulty) Counters() Counters {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counters
}

// ResetCounters sets all counters to zero.
func (f *Faulty) ResetCounters() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counters = Counters{}
}

// countCall increments the counter and returns the current fault settings.
func (f *Faulty) countCall(counter *uint64) Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	*counter++
	return f.faults
}

func (f *Faulty) randomChanceLocked(percent int) bool { return f.random.IntN(100) < percent }

// read runs a call without side effects.
func (f *Faulty) read(ctx context.Context, counter *uint64, call func() error) error {
	faults := f.countCall(counter)
	if faults.Down || ctx.Err() != nil {
		return store.ErrUnavailable
	}
	if !sleep(ctx, faults.delay()) {
		return store.ErrUnavailable
	}
	return call()
}

// write runs a call with side effects. It returns store.ErrOutcomeUnknown if the injected faults hide
// the result or delay the effect.
func (f *Faulty) write(ctx context.Context, counter *uint64, call func() error) error {
	faults := f.countCall(counter)
	if faults.Down || ctx.Err() != nil {
		return store.ErrUnavailable
	}
	if f.consumeLateWrite() {
		time.AfterFunc(faults.lateWriteDelay(), func() { _ = call() })
		return store.ErrOutcomeUnknown
	}
	started := time.Now()
	if !sleep(ctx, faults.delay()) {
		time.AfterFunc(faults.delay()-time.Since(started), func() { _ = call() })
		return store.ErrOutcomeUnknown
	}
	err := call()
	if !sleep(ctx, faults.answerDelay()) || f.consumeLostAnswer() {
		return store.ErrOutcomeUnknown
	}
	return err
}

func (f *Faulty) consumeLateWrite() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.LateWrites == 0 {
		return false
	}
	f.faults.LateWrites--
	return true
}

func (f *Faulty) consumeLostAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.LoseAnswers > 0 {
		f.faults.LoseAnswers--
		return true
	}
	return f.randomChanceLocked(f.faults.LoseAnswerPercent)
}

// sleep waits for d and returns false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Get implements store.Store.
func (f *Faulty) Get(ctx context.Context, key string) (value store.KeyValue, err error) {
	err = f.read(ctx, &f.counters.Get, func() (err error) {
		value, err = f.inner.Get(ctx, key)
		return err
	})
	return value, err
}

// List implements store.Store.
func (f *Faulty) List(ctx context.Context, prefix string) (values []store.KeyValue, err error) {
	err = f.read(ctx, &f.counters.List, func() (err error) {
		values, err = f.inner.List(ctx, prefix)
		return err
	})
	return values, err
}

// CompareAndSwap implements store.Store.
func (f *Faulty) CompareAndSwap(
	ctx context.Context, key string, expected store.Revision, value []byte, lease store.LeaseID,
) (store.Revision, error) {
	result := make(chan store.Revision, 1)
	err := f.write(ctx, &f.counters.CompareAndSwap, func() error {
		revision, err := f.inner.CompareAndSwap(context.WithoutCancel(ctx), key, expected, value, lease)
		result <- revision
		return err
	})
	if err != nil {
		return 0, err
	}
	return <-result, nil
}

// Delete implements store.Store.
func (f *Faulty) Delete(ctx context.Context, key string, expected store.Revision) error {
	return f.write(ctx, &f.counters.Delete, func() error {
		return f.inner.Delete(context.WithoutCancel(ctx), key, expected)
	})
}

// GrantLease implements store.Store.
func (f *Faulty) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	result := make(chan store.LeaseID, 1)
	err := f.write(ctx, &f.counters.GrantLease, func() error {
		lease, err := f.inner.GrantLease(context.WithoutCancel(ctx), ttl)
		result <- lease
		return err
	})
	if err != nil {
		return 0, err
	}
	return <-result, nil
}

// RenewLease implements store.Store.
func (f *Faulty) RenewLease(ctx context.Context, lease store.LeaseID) error {
	return f.write(ctx, &f.counters.RenewLease, func() error {
		return f.inner.RenewLease(context.WithoutCancel(ctx), lease)
	})
}

// RevokeLease implements store.Store.
func (f *Faulty) RevokeLease(ctx context.Context, lease store.LeaseID) error {
	return f.write(ctx, &f.counters.RevokeLease, func() error {
		return f.inner.RevokeLease(context.WithoutCancel(ctx), lease)
	})
}

// Watch implements store.Store.
func (f *Faulty) Watch(ctx context.Context, prefix string, after store.Revision) (store.Watcher, error) {
	var inner store.Watcher
	err := f.read(ctx, &f.counters.Watch, func() (err error) {
		inner, err = f.inner.Watch(ctx, prefix, after)
		return err
	})
	if err != nil {
		return nil, err
	}
	w := &faultyWatcher{inner: inner, owner: f}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watchers[w] = struct{}{}
	return w, nil
}
