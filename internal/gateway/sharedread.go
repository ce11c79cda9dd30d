package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/store"
)

const (
	// maxReadTries bounds the calls of one shared read. A second one is made because the first can fail on a connection that
	// was cut while idle, be held up by a lost packet, or show that the call must go through another entry.
	maxReadTries = 2
	// readRetryDelay is the time from a call that has failed to the next one.
	readRetryDelay = 20 * time.Millisecond
)

// errNoAnswer reports a shared read without an answer within its time.
var errNoAnswer = errors.New("gateway: the store does not answer a read")

// sharedRead is a read of the configuration key for all submissions that come before its deadline. Its call goes on until
// callTimeout, so that one through another entry has time to open a link; a late answer ends the suspicion as well.
type sharedRead struct {
	deadline time.Time
	// done is closed when the read has ended; err is set before.
	done chan struct{}
	err  error
}

// sharedReads holds the current read. It is safe for concurrent use.
type sharedReads struct {
	mu      sync.Mutex
	current *sharedRead
}

// join returns the read in progress. Without one it returns a new one, with start set, that the caller has to run.
func (r *sharedReads) join(now time.Time, bound time.Duration) (read *sharedRead, start bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current != nil && now.Before(r.current.deadline) {
		select {
		case <-r.current.done:
		default:
			return r.current, false
		}
	}
	r.current = &sharedRead{deadline: now.Add(bound), done: make(chan struct{})}
	return r.current, true
}

// confirmStore returns nil if the store answers a read within the usual silence timeout and before the context ends. It
// returns early once outageStarted is closed.
func (g *Gateway) confirmStore(ctx context.Context, outageStarted <-chan struct{}) error {
	read, start := g.reads.join(time.Now(), g.outage.silence())
	if start {
		suspectReads.Inc()
		g.goBackground("read before a write", func() { g.runRead(read) })
	}
	timer := time.NewTimer(time.Until(read.deadline))
	defer timer.Stop()
	select {
	case <-read.done:
		return read.err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "gateway: read before a write")
	case <-outageStarted:
		return errNoAnswer
	case <-timer.C:
		return errNoAnswer
	}
}

// confirmSuspicion reads a suspect store in the background: an answer ends the suspicion, mostly before a submission comes.
// Without one, the other entries are told.
func (g *Gateway) confirmSuspicion() {
	g.goBackground("read of a suspect store", func() {
		if g.confirmStore(context.Background(), g.outage.nextStart()) != nil {
			g.config.Monitor.reportSilence()
		}
	})
}

// runRead makes the calls of a shared read. The second one starts when the first has failed, or without an answer at half
// of the time: a lost packet holds up one connection only.
func (g *Gateway) runRead(read *sharedRead) {
	defer close(read.done)
	read.err = errNoAnswer // the outcome if the read panics
	results := make(chan error, maxReadTries)
	start := func() { g.goBackground("read of a suspect store", func() { g.tryRead(results) }) }
	start()
	half := time.NewTimer(time.Until(read.deadline) / 2)
	defer half.Stop()
	// unanswered is the number of calls without a result.
	for tries, unanswered := 1, 1; unanswered > 0; {
		select {
		case read.err = <-results:
			unanswered--
			if read.err == nil || time.Now().Add(readRetryDelay).After(read.deadline) {
				return
			}
			if tries == maxReadTries {
				continue
			}
			time.Sleep(readRetryDelay)
		case <-half.C:
		}
		if tries < maxReadTries {
			start()
			tries, unanswered = tries+1, unanswered+1
		}
	}
}

// tryRead makes one call of a shared read.
func (g *Gateway) tryRead(results chan<- error) {
	err := errNoAnswer // the result if the call panics
	defer func() { results <- err }()
	if err = g.probe(callTimeout); errors.Is(err, store.ErrThrottled) {
		err = nil // no sign that the store is away
	}
}
