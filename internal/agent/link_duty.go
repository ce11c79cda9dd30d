package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"

	"clementineflow/internal/link"
	"clementineflow/internal/wire"
)

// Timing of dialling.
const (
	initialRedial = 100 * time.Millisecond
	maxRedial     = 2 * time.Second
	// redialJitter spreads the agents of a failed entry over time.
	redialJitter = 0.5
	// dialTimeout bounds one dial.
	dialTimeout = link.SilenceBound
	// stableLink is how long a link must have lived for the redial delay to begin anew.
	stableLink = link.SilenceBound
	// learnedTerm is how long a learned entry is dialled without success before it is given up; it is
	// learned again from the next Welcome that lists it.
	learnedTerm = time.Minute
	// maxEntries bounds the entries that are dialled.
	maxEntries = 64
)

// linkDuty keeps one link to each known entry. Its exported state is used by the agent's loop only.
type linkDuty struct {
	dialer link.Dialer
	logger *log.Logger
	post   func(context.Context, input) error
	lastID atomic.Uint64

	ctx     context.Context
	workers *conc.WaitGroup
	// running holds the addresses that are dialled; ended receives those that were given up.
	running map[string]bool
	ended   chan string
}

// newLinkDuty returns a duty that dials nothing yet.
func newLinkDuty(dialer link.Dialer, logger *log.Logger, post func(context.Context, input) error) *linkDuty {
	return &linkDuty{
		dialer:  dialer,
		logger:  logger,
		post:    post,
		running: map[string]bool{},
		ended:   make(chan string, maxEntries),
	}
}

// start sets the context and the group of the links' goroutines.
func (d *linkDuty) start(ctx context.Context, workers *conc.WaitGroup) {
	d.ctx, d.workers = ctx, workers
}

// connectSeeds dials configured entries for as long as the agent runs.
func (d *linkDuty) connectSeeds(addresses []string) {
	for _, address := range addresses {
		d.connect(address, true)
	}
}

// connectLearned dials entries that another entry has named.
func (d *linkDuty) connectLearned(entries []wire.EntryAddress) {
	for {
		select {
		case address := <-d.ended:
			delete(d.running, address)
			continue
		default:
		}
		break
	}
	for _, entry := range entries {
		if entry.LinkAddress != "" {
			d.connect(entry.LinkAddress, false)
		}
	}
}

// connect starts the goroutine of an entry unless there is one.
func (d *linkDuty) connect(address string, seed bool) {
	if d.running[address] || len(d.running) >= maxEntries {
		return
	}
	d.running[address] = true
	d.workers.Go(func() { d.keep(address, seed) })
}

// keep dials an entry again and again until the agent ends or a learned entry is given up.
func (d *linkDuty) keep(address string, seed bool) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval, delay.RandomizationFactor = initialRedial, maxRedial, redialJitter
	lastUp := time.Now()
	for d.ctx.Err() == nil {
		began := time.Now()
		if d.serve(address) {
			lastUp = time.Now()
		}
		if time.Since(began) >= stableLink {
			delay.Reset()
		}
		if !seed && time.Since(lastUp) >= learnedTerm {
			d.logger.Info("no longer dialling an entry", "address", address)
			d.ended <- address
			return
		}
		d.sleep(delay.NextBackOff())
	}
}

// sleep waits for the duration or the end of the agent.
func (d *linkDuty) sleep(duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.ctx.Done():
	}
}

// serve opens one link and passes its messages to the core until it ends. It reports whether the link
// could be opened.
func (d *linkDuty) serve(address string) bool {
	dialContext, cancel := context.WithTimeout(d.ctx, dialTimeout)
	defer cancel()
	conn, err := d.dialer.Dial(dialContext, address)
	if err != nil {
		d.logger.Debug("could not dial an entry", "address", address, "error", err)
		return false
	}
	defer conn.Close()
	stop := context.AfterFunc(d.ctx, conn.Close)
	defer stop()
	id := linkID(d.lastID.Add(1))
	if d.post(d.ctx, input{event: linkOpened{link: id, address: address}, conn: conn}) != nil {
		return true
	}
	err = d.receive(id, conn)
	d.logger.Info("link ended", "address", address, "error", err)
	// An error means that the agent has ended.
	_ = d.post(d.ctx, input{event: linkClosed{link: id}})
	return true
}

// receive passes messages to the core until the link ends.
func (d *linkDuty) receive(id linkID, conn link.Conn) error {
	for {
		message, err := conn.Receive()
		if err != nil {
			return err
		}
		if err := d.post(d.ctx, input{event: received{link: id, message: message}}); err != nil {
			return err
		}
	}
}
