package jobs

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"clementineflow/internal/link"
	"clementineflow/internal/wire"
)

// network connects processes by address, in memory. Messages in a direction that is cut are dropped, as in
// a network partition.
type network struct {
	mu       sync.Mutex
	handlers map[string]func(link.Conn)
	cut      map[[2]string]bool
	down     map[string]bool
	conns    map[*filteredConn]bool
	// observe sees each message before it is sent on an open link, and returns whether it is delivered. It may be nil.
	observe func(conn *filteredConn, message wire.Message) bool
}

func newNetwork() *network {
	return &network{
		handlers: map[string]func(link.Conn){}, cut: map[[2]string]bool{}, down: map[string]bool{},
		conns: map[*filteredConn]bool{},
	}
}

// listen sets the handler of the links to an address; nil closes all of its links.
func (n *network) listen(address string, handler func(link.Conn)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[address] = handler
	if handler != nil {
		return
	}
	for conn := range n.conns {
		if conn.from == address || conn.to == address {
			conn.Close()
			delete(n.conns, conn)
		}
	}
}

// setCut cuts or restores the direction from one address to another.
func (n *network) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = cut
}

func (n *network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]string{from, to}]
}

// dialer returns a dialer for the process at an address.
func (n *network) dialer(from string) link.Dialer { return &dialer{network: n, from: from} }

type dialer struct {
	network *network
	from    string
}

// Dial implements link.Dialer.
func (d *dialer) Dial(_ context.Context, address string) (link.Conn, error) {
	d.network.mu.Lock()
	defer d.network.mu.Unlock()
	handler := d.network.handlers[address]
	if handler == nil || d.network.cut[[2]string{d.from, address}] || d.network.cut[[2]string{address, d.from}] {
		return nil, errors.Wrap(link.ErrDial, "no route")
	}
	near, far := link.Pipe()
	pair := &linkPair{}
	a := &filteredConn{Conn: near, network: d.network, from: d.from, to: address, pair: pair}
	b := &filteredConn{Conn: far, network: d.network, from: address, to: d.from, pair: pair}
	d.network.conns[a], d.network.conns[b] = true, true
	go func() {
		defer b.Close()
		handler(b)
	}()
	return a, nil
}

// linkPair is what both sides of a connection share.
type linkPair struct {
	// silent is set once the connection delivers no more messages, in either direction.
	silent atomic.Bool
}

// filteredConn is a connection that drops sent messages while its direction is cut.
type filteredConn struct {
	link.Conn
	network *network
	from    string
	to      string
	pair    *linkPair
}

// Send implements link.Conn.
func (f *filteredConn) Send(message wire.Message) error {
	if f.network.isCut(f.from, f.to) || f.pair.silent.Load() {
		return nil
	}
	if f.network.observe != nil && !f.isClosed() && !f.network.observe(f, message) {
		return nil
	}
	return f.Conn.Send(message)
}

func (f *filteredConn) isClosed() bool {
	select {
	case <-f.Done():
		return true
	default:
		return false
	}
}
