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

// Local is the coordinator's part of this entry.
type Local interface {
	Answers
	// Notice takes in what has just been stored, and reports whether this entry is the coordinator.
	Notice(key string, value []byte) bool
	// Leader returns the address of the coordinator, or "", and a channel closed at the next change.
	Leader() (string, <-chan struct{})
}

// StoreServer makes store calls for other entries.
type StoreServer interface {
	// Serve makes a call and sends its reply on the link. It does not block.
	Serve(ctx context.Context, conn link.Conn, call *wire.StoreCall)
}

// Times of the link to the coordinator.
const (
	peerDialTimeout  = time.Second
	peerDialDelay    = 200 * time.Millisecond
	peerPingInterval = time.Second
)

// Peer asks the coordinator over a link, or in this process. It is safe for concurrent use.
type Peer struct {
	address string
	local   Local
	stores  StoreServer
	dialer  link.Dialer
	logger  *log.Logger

	mu      sync.Mutex
	conn    link.Conn
	last    uint64
	pending map[uint64]chan wire.Message
}

// NewPeer returns a peer of the entry whose links have the address.
func NewPeer(address string, local Local, stores StoreServer, dialer link.Dialer, logger *log.Logger) *Peer {
	return &Peer{address: address, local: local, stores: stores, dialer: dialer, logger: logger, pending: map[uint64]chan wire.Message{}}
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
	go p.ping(ctx, conn, changed)
	for {
		message, err := conn.Receive()
		if err != nil {
			return
		}
		p.deliver(message)
	}
}

// ping keeps the link from falling silent and closes it when the coordinator changes.
func (p *Peer) ping(ctx context.Context, conn link.Conn, changed <-chan struct{}) {
	defer conn.Close()
	ticker := time.NewTicker(peerPingInterval)
	defer ticker.Stop()
	for {
		if conn.Send(&wire.PeerPing{}) != nil {
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

// setConn replaces the link; questions on the former one get no answer.
func (p *Peer) setConn(conn link.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn = conn
	for sequence, waiting := range p.pending {
		close(waiting)
		delete(p.pending, sequence)
	}
}

// deliver hands an answer to the question that waits for it.
func (p *Peer) deliver(message wire.Message) {
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

// ask sends a question and waits for its answer.
func (p *Peer) ask(ctx context.Context, build func(sequence uint64) wire.Message) (wire.Message, error) {
	p.mu.Lock()
	if p.conn == nil {
		p.mu.Unlock()
		return nil, coordinator.ErrNotCoordinator
	}
	p.last++
	sequence := p.last
	waiting := make(chan wire.Message, 1)
	p.pending[sequence] = waiting
	err := p.conn.Send(build(sequence))
	p.mu.Unlock()
	defer p.abandon(sequence)
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

// abandon forgets a question.
func (p *Peer) abandon(sequence uint64) {
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
	message, err := p.ask(ctx, func(sequence uint64) wire.Message {
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
	message, err := p.ask(ctx, func(sequence uint64) wire.Message {
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

// Notice implements Coordinator. Without a link the coordinator learns of the record from the store.
func (p *Peer) Notice(key string, value []byte) {
	if p.local.Notice(key, value) {
		return
	}
	p.mu.Lock()
	conn := p.conn
	p.mu.Unlock()
	if conn == nil {
		return
	}
	if err := conn.Send(&wire.InputNotice{Key: key, Value: value}); err != nil {
		p.logger.Info("notice to the coordinator not sent", "key", key, "error", err)
	}
}

// Serve answers the questions of another entry on one link.
func (p *Peer) Serve(ctx context.Context, conn link.Conn) {
	for {
		message, err := conn.Receive()
		if err != nil {
			return
		}
		if call, ok := message.(*wire.StoreCall); ok {
			p.stores.Serve(ctx, conn, call)
			continue
		}
		if notice, ok := message.(*wire.InputNotice); ok {
			p.local.Notice(notice.Key, notice.Value)
			continue
		}
		if err := conn.Send(p.answer(ctx, message)); err != nil {
			return
		}
	}
}

// answer returns the reply to a question of another entry. Anything else is sent back as it is.
func (p *Peer) answer(ctx context.Context, message wire.Message) wire.Message {
	ask, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	switch message := message.(type) {
	case *wire.JobQuery:
		state, known, err := p.local.State(ask, message.ID)
		return &wire.JobReply{Sequence: message.Sequence, Known: known && err == nil, State: uint8(state)}
	case *wire.QueueQuery:
		waiting, err := p.local.Waiting(ask, message.Queue)
		return &wire.QueueReply{Sequence: message.Sequence, Known: err == nil, Waiting: waiting}
	default:
		return message
	}
}
