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
	// errUnsent reports a call that was certainly not made.
	errUnsent = errors.New("relay: call not sent")
	// errUnanswered reports a call that may have been made.
	errUnanswered = errors.New("relay: no reply from the other entry")
)

func isUnsent(err error) bool { return errors.Is(err, errUnsent) }

// peer is a link to an entry that makes store calls for this one. It is safe for concurrent use.
type peer struct {
	address string
	conn    link.Conn
	token   *link.Token

	mu           sync.Mutex
	lastSequence uint64
	usedAt       time.Time
	pending      map[uint64]chan *wire.StoreReply
}

// newPeer returns a peer on a new link. Its first message is a ping: that one has to be short, a call may be long, and the
// other entry makes no call before it has the token.
func newPeer(address string, conn link.Conn, token *link.Token) *peer {
	p := &peer{address: address, conn: conn, token: token, usedAt: time.Now(), pending: map[uint64]chan *wire.StoreReply{}}
	// If the ping is not sent, the link has ended, and the calls fail as well.
	_ = p.sendPing()
	return p
}

func (p *peer) sendPing() error { return p.conn.Send(&wire.PeerPing{Token: p.token.Secret()}) }

// run delivers replies until the link ends, and keeps the link alive while it is used.
func (p *peer) run() {
	go p.sendPings()
	for {
		message, err := p.conn.Receive()
		if err != nil {
			p.failPending()
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

// sendPings keeps the link alive and closes it after idleTime without calls.
func (p *peer) sendPings() {
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
		if idle || p.sendPing() != nil {
			p.close()
			return
		}
	}
}

// failPending fails all pending calls after the link has ended.
func (p *peer) failPending() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for sequence, waiting := range p.pending {
		close(waiting)
		delete(p.pending, sequence)
	}
}

func (p *peer) close() { p.conn.Close() }

// isOpen reports whether the link is still open.
func (p *peer) isOpen() bool {
	select {
	case <-p.conn.Done():
		return false
	default:
		return true
	}
}

// sendCall sends a call and waits for its reply. Its errors wrap errUnsent or errUnanswered.
func (p *peer) sendCall(ctx context.Context, wait time.Duration, call *wire.StoreCall) (*wire.StoreReply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+relayTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	sent := *call
	sent.TimeoutMillis = time.Until(deadline).Milliseconds()
	waiting := make(chan *wire.StoreReply, 1)
	p.mu.Lock()
	p.lastSequence++
	sent.Sequence = p.lastSequence
	p.usedAt = time.Now()
	p.pending[sent.Sequence] = waiting
	p.mu.Unlock()
	defer p.removePending(sent.Sequence)
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

func (p *peer) removePending(sequence uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, sequence)
}

// candidateAddresses returns the addresses of the entries to try, that of the current peer first. It returns none
// while relaying is paused.
func (r *Relay) candidateAddresses() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.pausedUntil) {
		return nil
	}
	addresses := sampleAddresses(r.directory.others())
	if r.peer == nil || !r.peer.isOpen() {
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

// sampleAddresses returns at most maxCandidates of the addresses at random. When no entry can reach the store,
// every entry tries others; trying all of them would open a number of links quadratic in the number of entries.
func sampleAddresses(addresses []string) []string {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), maxCandidates)]
}

// connectPeer returns the current peer if it has the address, or opens a link and makes it the current one.
func (r *Relay) connectPeer(ctx context.Context, address string) (*peer, error) {
	r.mu.Lock()
	known := r.peer
	r.mu.Unlock()
	if known != nil && known.address == address && known.isOpen() {
		return known, nil
	}
	dial, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := r.config.Dialer.Dial(dial, address)
	if err != nil {
		return nil, err
	}
	fresh := newPeer(address, conn, r.config.Token)
	r.mu.Lock()
	former := r.peer
	r.peer = fresh
	r.mu.Unlock()
	if former != nil {
		former.close()
	}
	go fresh.run()
	r.config.Logger.Info("relaying store calls through another entry", "address", address)
	return fresh, nil
}

// dropPeer closes the link to an entry that could not make a call.
func (r *Relay) dropPeer(p *peer) {
	r.mu.Lock()
	if r.peer == p {
		r.peer = nil
	}
	r.mu.Unlock()
	p.close()
}

// pauseRelaying stops relayed calls for relayPause after no other entry could make a call.
func (r *Relay) pauseRelaying() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().After(r.pausedUntil) {
		r.pausedUntil = time.Now().Add(relayPause)
	}
}
