package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/link"
	"clementineflow/internal/wire"
)

// Errors of a call through another entry.
var (
	// errUnsent reports a call that certainly was not made.
	errUnsent = errors.New("relay: call not sent")
	// errUnanswered reports a call that may have been made.
	errUnanswered = errors.New("relay: no answer of the other entry")
)

func errNotSent(err error) bool { return errors.Is(err, errUnsent) }

// peer is a link to an entry that makes store calls for this one. It is safe for concurrent use.
type peer struct {
	address string
	conn    link.Conn

	mu      sync.Mutex
	last    uint64
	usedAt  time.Time
	pending map[uint64]chan *wire.StoreReply
}

func newPeer(address string, conn link.Conn) *peer {
	return &peer{address: address, conn: conn, usedAt: time.Now(), pending: map[uint64]chan *wire.StoreReply{}}
}

// run hands on replies until the link ends, and keeps it alive while it is used.
func (p *peer) run() {
	go p.ping()
	for {
		message, err := p.conn.Receive()
		if err != nil {
			p.end()
			return
		}
		reply, ok := message.(*wire.StoreReply)
		if !ok {
			continue
		}
		p.mu.Lock()
		waiting := p.pending[reply.Sequence]
		delete(p.pending, reply.Sequence)
		p.mu.Unlock()
		if waiting != nil {
			waiting <- reply
		}
	}
}

// ping keeps the link from falling silent and closes it when it is no longer used.
func (p *peer) ping() {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.conn.Done():
			return
		case <-ticker.C:
		}
		p.mu.Lock()
		idle := time.Since(p.usedAt) > idleTime
		p.mu.Unlock()
		if idle || p.conn.Send(&wire.PeerPing{}) != nil {
			p.close()
			return
		}
	}
}

// end answers all waiting calls: the link has ended.
func (p *peer) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for sequence, waiting := range p.pending {
		close(waiting)
		delete(p.pending, sequence)
	}
}

func (p *peer) close() { p.conn.Close() }

// open reports whether the link still stands.
func (p *peer) open() bool {
	select {
	case <-p.conn.Done():
		return false
	default:
		return true
	}
}

// ask makes a call and waits for its reply. It returns errUnsent or errUnanswered.
func (p *peer) ask(ctx context.Context, wait time.Duration, call *wire.StoreCall) (*wire.StoreReply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+relayTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	sent := *call
	sent.BudgetMillis = time.Until(deadline).Milliseconds()
	waiting := make(chan *wire.StoreReply, 1)
	p.mu.Lock()
	p.last++
	sent.Sequence = p.last
	p.usedAt = time.Now()
	p.pending[sent.Sequence] = waiting
	p.mu.Unlock()
	defer p.forget(sent.Sequence)
	if err := p.conn.Send(&sent); err != nil {
		return nil, errors.Wrap(errUnsent, err.Error())
	}
	select {
	case reply, ok := <-waiting:
		if !ok {
			return nil, errors.Wrap(errUnanswered, "link ended")
		}
		return reply, nil
	case <-ctx.Done():
		return nil, errors.Wrap(errUnanswered, ctx.Err().Error())
	}
}

func (p *peer) forget(sequence uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, sequence)
}

// candidates returns the addresses to try, the present one first.
func (r *Relay) candidates() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.restUntil) {
		return nil
	}
	addresses := sample(r.directory.others())
	if r.peer == nil || !r.peer.open() {
		return addresses
	}
	ordered := []string{r.peer.address}
	for _, address := range addresses {
		if address != r.peer.address {
			ordered = append(ordered, address)
		}
	}
	return ordered
}

// sample returns at most maxCandidates of the addresses at random. While the store is away for all, every
// entry looks for another one with a path; asking all of them would cost links that grow with the square of
// their number.
func sample(addresses []string) []string {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), maxCandidates)]
}

// peerAt returns a link to the entry at the address.
func (r *Relay) peerAt(ctx context.Context, address string) (*peer, error) {
	r.mu.Lock()
	known := r.peer
	r.mu.Unlock()
	if known != nil && known.address == address && known.open() {
		return known, nil
	}
	dial, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := r.config.Dialer.Dial(dial, address)
	if err != nil {
		return nil, err
	}
	fresh := newPeer(address, conn)
	r.mu.Lock()
	former := r.peer
	r.peer = fresh
	r.mu.Unlock()
	if former != nil {
		former.close()
	}
	go fresh.run()
	r.config.Logger.Info("store calls go through another entry", "address", address)
	return fresh, nil
}

// drop closes the link to an entry that was of no use.
func (r *Relay) drop(p *peer) {
	r.mu.Lock()
	if r.peer == p {
		r.peer = nil
	}
	r.mu.Unlock()
	p.close()
}

// rest lets the others alone for a while: none of them could reach the store.
func (r *Relay) rest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().After(r.restUntil) {
		r.restUntil = time.Now().Add(restTime)
	}
}
