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
	initialRedialDelay = 100 * time.Millisecond
	maxRedialDelay     = 2 * time.Second
	// redialJitter is the randomization factor of the redial delay. It spreads the reconnects of the agents
	// after an entry has failed.
	redialJitter = 0.5
	// dialTimeout bounds one dial.
	dialTimeout = link.IdleTimeout
	// stableLinkDuration is how long a link must have been open for the redial delay to be reset.
	stableLinkDuration = link.IdleTimeout
	// discoveredEntryTimeout is how long a discovered entry is dialled without success before it is
	// abandoned. The next Welcome that lists it makes the agent dial it again.
	discoveredEntryTimeout = time.Minute
	// maxDialledEntries bounds the entries that are dialled at the same time.
	maxDialledEntries = 64
)

// linkManager maintains one link to each known entry. Only the agent's loop calls start, dialSeeds and
// dialDiscovered.
type linkManager struct {
	dialer     link.Dialer
	logger     *log.Logger
	post       func(context.Context, input) error
	lastLinkID atomic.Uint64

	ctx     context.Context
	workers *conc.WaitGroup
	// dialled holds the addresses with a maintainLink goroutine and is used only by the agent's loop;
	// abandoned receives the addresses whose goroutine has given up.
	dialled   map[string]bool
	abandoned chan string
}

// newLinkManager returns a linkManager; start must be called before entries are dialled.
func newLinkManager(dialer link.Dialer, logger *log.Logger, post func(context.Context, input) error) *linkManager {
	return &linkManager{
		dialer:    dialer,
		logger:    logger,
		post:      post,
		dialled:   map[string]bool{},
		abandoned: make(chan string, maxDialledEntries),
	}
}

// start sets the context and the wait group of the link goroutines.
func (d *linkManager) start(ctx context.Context, workers *conc.WaitGroup) {
	d.ctx, d.workers = ctx, workers
}

// dialSeeds dials the configured entries; they are never abandoned.
func (d *linkManager) dialSeeds(addresses []string) {
	for _, address := range addresses {
		d.startDialing(address, true)
	}
}

// dialDiscovered dials entries that another entry has listed, and removes abandoned addresses first.
func (d *linkManager) dialDiscovered(entries []wire.EntryAddress) {
	for {
		select {
		case address := <-d.abandoned:
			delete(d.dialled, address)
			continue
		default:
		}
		break
	}
	for _, entry := range entries {
		if entry.LinkAddress != "" {
			d.startDialing(entry.LinkAddress, false)
		}
	}
}

// startDialing starts the goroutine that maintains the link to an entry, unless it is running or too
// many entries are dialled.
func (d *linkManager) startDialing(address string, seed bool) {
	if d.dialled[address] || len(d.dialled) >= maxDialledEntries {
		return
	}
	d.dialled[address] = true
	d.workers.Go(func() { d.maintainLink(address, seed) })
}

// maintainLink dials an entry repeatedly, with exponential backoff, until the agent stops or a discovered
// entry is abandoned.
func (d *linkManager) maintainLink(address string, seed bool) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval, delay.RandomizationFactor = initialRedialDelay, maxRedialDelay, redialJitter
	lastUp := time.Now()
	for d.ctx.Err() == nil {
		began := time.Now()
		if d.serveLink(address) {
			lastUp = time.Now()
		}
		if time.Since(began) >= stableLinkDuration {
			delay.Reset()
		}
		if !seed && time.Since(lastUp) >= discoveredEntryTimeout {
			d.logger.Info("stopped dialling a discovered entry", "address", address)
			d.abandoned <- address
			return
		}
		d.waitBeforeRedial(delay.NextBackOff())
	}
}

// waitBeforeRedial waits for the duration or until the agent stops.
func (d *linkManager) waitBeforeRedial(duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.ctx.Done():
	}
}

// serveLink opens a link and passes its messages to the core until it ends. It reports whether the dial
// succeeded.
func (d *linkManager) serveLink(address string) bool {
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
	id := linkID(d.lastLinkID.Add(1))
	if d.post(d.ctx, input{event: linkOpened{link: id, address: address}, conn: conn}) != nil {
		return true
	}
	err = d.receiveMessages(id, conn)
	d.logger.Info("link ended", "address", address, "error", err)
	// An error means that the agent has stopped and does not need the event.
	_ = d.post(d.ctx, input{event: linkClosed{link: id}})
	return true
}

// receiveMessages passes messages to the core until the link or the agent ends, and returns the cause.
func (d *linkManager) receiveMessages(id linkID, conn link.Conn) error {
	for {
		message, err := conn.Receive()
		if err != nil {
			return err
		}
		if err := d.post(d.ctx, input{event: messageReceived{link: id, message: message}}); err != nil {
			return err
		}
	}
}
