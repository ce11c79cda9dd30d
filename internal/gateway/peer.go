package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"clementineflow/internal/coordinator"
	"clementineflow/internal/job"
	"clementineflow/internal/link"
	"clementineflow/internal/wire"
)

// Local is the coordinator component of this entry.
type Local interface {
	Queries
	// NotifyStored passes on a record that has just been stored, and reports whether this entry is the
	// coordinator.
	NotifyStored(key string, value []byte) bool
	// Leader returns the address of the coordinator, or "" if there is none, and a channel that is closed at
	// the next change.
	Leader() (string, <-chan struct{})
}

// StoreServer makes store calls for other entries.
type StoreServer interface {
	// Serve makes a call and sends its reply on the link. It does not block.
	Serve(ctx context.Context, conn link.Conn, call *wire.StoreCall)
}

// Timing of the link to the coordinator.
const (
	peerDialTimeout  = time.Second
	peerDialDelay    = 200 * time.Millisecond
	peerPingInterval = time.Second
)

// Peer sends queries and notifications to the coordinator, over a link or in this process. It also answers those
// of other entries. It is safe for concurrent use.
type Peer struct {
	address string
	local   Local
	stores  StoreServer
	dialer  link.Dialer
	logger  *log.Logger

	mu           sync.Mutex
	conn         link.Conn
	lastSequence uint64
	pending      map[uint64]chan wire.Message
	// monitor holds the suspicion of the store that entries share, or is nil. served holds the links of other entries.
	monitor *StoreMonitor
	served  map[link.Conn]struct{}
	// token is the secret that the entries share. It is set before Run and Serve.
	token *link.Token
}

// NewPeer returns the peer of this entry, which accepts links at the address. Run opens its link to the
// coordinator.
func NewPeer(address string, local Local, stores StoreServer, dialer link.Dialer, logger *log.Logger) *Peer {
	return &Peer{
		address: address, local: local, stores: stores, dialer: dialer, logger: logger,
		pending: map[uint64]chan wire.Message{}, served: map[link.Conn]struct{}{},
	}
}

// Run keeps a link to the coordinator until the context ends.
func (p *Peer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		address, changed := p.local.Leader()
		if address == "" || address == p.address {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		p.connect(ctx, address, changed)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(peerDialDelay):
		}
	}
}

// connect serves one link until it ends or the coordinator changes.
func (p *Peer) connect(ctx context.Context, address string, changed <-chan struct{}) {
	dial, cancel := context.WithTimeout(ctx, peerDialTimeout)
	conn, err := p.dialer.Dial(dial, address)
	cancel()
	if err != nil {
		p.logger.Warn("coordinator can't be reached", "address", address, "error", err)
		return
	}
	defer conn.Close()
	p.setConn(conn)
	defer p.setConn(nil)
	go p.sendPings(ctx, conn, changed)
	for {
		message, err := conn.Receive()
		if err != nil {
			return
		}
		if ping, ok := message.(*wire.PeerPing); ok && ping.StoreSuspect {
			p.receiveHint(address)
			continue
		}
		p.deliverReply(message)
	}
}

// sendPings keeps the link alive and closes it when the coordinator changes.
func (p *Peer) sendPings(ctx context.Context, conn link.Conn, changed <-chan struct{}) {
	defer conn.Close()
	ticker := time.NewTicker(peerPingInterval)
	defer ticker.Stop()
	for {
		if conn.Send(&wire.PeerPing{Token: p.token.Secret()}) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-conn.Done():
			return
		case <-changed:
			return
		case <-ticker.C:
		}
	}
}

// setConn replaces the link and fails the queries pending on the former one.
func (p *Peer) setConn(conn link.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn = conn
	for sequence, waiting := range p.pending {
		close(waiting)
		delete(p.pending, sequence)
	}
}

// deliverReply passes a reply to its pending query.
func (p *Peer) deliverReply(message wire.Message) {
	var sequence uint64
	switch message := message.(type) {
	case *wire.JobReply:
		sequence = message.Sequence
	case *wire.QueueReply:
		sequence = message.Sequence
	default:
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if waiting, ok := p.pending[sequence]; ok {
		waiting <- message
		delete(p.pending, sequence)
	}
}

// sendQuery sends a query to the coordinator and waits for the reply. It returns ErrNotCoordinator without a
// link or a reply.
func (p *Peer) sendQuery(ctx context.Context, build func(sequence uint64) wire.Message) (wire.Message, error) {
	p.mu.Lock()
	if p.conn == nil {
		p.mu.Unlock()
		return nil, coordinator.ErrNotCoordinator
	}
	p.lastSequence++
	sequence := p.lastSequence
	waiting := make(chan wire.Message, 1)
	p.pending[sequence] = waiting
	err := p.conn.Send(build(sequence))
	p.mu.Unlock()
	defer p.removePending(sequence)
	if err != nil {
		return nil, errors.Wrap(coordinator.ErrNotCoordinator, err.Error())
	}
	select {
	case message, ok := <-waiting:
		if !ok {
			return nil, errors.Wrap(coordinator.ErrNotCoordinator, "link ended")
		}
		return message, nil
	case <-ctx.Done():
		return nil, errors.Wrap(coordinator.ErrNotCoordinator, "no answer")
	}
}

// removePending removes a pending query.
func (p *Peer) removePending(sequence uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, sequence)
}

// State implements Coordinator.
func (p *Peer) State(ctx context.Context, id string) (job.State, bool, error) {
	state, known, err := p.local.State(ctx, id)
	if !errors.Is(err, coordinator.ErrNotCoordinator) {
		return state, known, err
	}
	message, err := p.sendQuery(ctx, func(sequence uint64) wire.Message {
		return &wire.JobQuery{Sequence: sequence, ID: id}
	})
	if err != nil {
		return 0, false, err
	}
	reply, ok := message.(*wire.JobReply)
	if !ok {
		return 0, false, coordinator.ErrNotCoordinator
	}
	return job.State(reply.State), reply.Known, nil
}

// Waiting implements Coordinator.
func (p *Peer) Waiting(ctx context.Context, queue string) (int, error) {
	waiting, err := p.local.Waiting(ctx, queue)
	if !errors.Is(err, coordinator.ErrNotCoordinator) {
		return waiting, err
	}
	message, err := p.sendQuery(ctx, func(sequence uint64) wire.Message {
		return &wire.QueueQuery{Sequence: sequence, Queue: queue}
	})
	if err != nil {
		return 0, err
	}
	reply, ok := message.(*wire.QueueReply)
	if !ok || !reply.Known {
		return 0, coordinator.ErrNotCoordinator
	}
	return reply.Waiting, nil
}

// NotifyStored implements Coordinator. Without a link the notification is dropped, and the coordinator receives the
// record from its watch of the store.
func (p *Peer) NotifyStored(key string, value []byte) {
	if p.local.NotifyStored(key, value) {
		return
	}
	p.mu.Lock()
	conn := p.conn
	p.mu.Unlock()
	if conn == nil {
		return
	}
	if err := conn.Send(&wire.InputNotice{Key: key, Value: value}); err != nil {
		p.logger.Info("notification to the coordinator not sent", "key", key, "error", err)
	}
}

// answerQuery returns the reply to a query of another entry. Other messages are echoed unchanged.
func (p *Peer) answerQuery(ctx context.Context, message wire.Message) wire.Message {
	call, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	switch message := message.(type) {
	case *wire.JobQuery:
		state, known, err := p.local.State(call, message.ID)
		return &wire.JobReply{Sequence: message.Sequence, Known: known && err == nil, State: uint8(state)}
	case *wire.QueueQuery:
		waiting, err := p.local.Waiting(call, message.Queue)
		return &wire.QueueReply{Sequence: message.Sequence, Known: err == nil, Waiting: waiting}
	default:
		return message
	}
}
