package entry

import (
	"context"
	"sync"
	"time"

	"clementineflow/internal/link"
)

const (
	// networkDelay is the one-way delay of a message.
	networkDelay = time.Millisecond
	// unansweredDial is how long a dial waits on a cut path.
	unansweredDial = time.Second
	// pollInterval is the resolution of the end of a pause.
	pollInterval = 10 * time.Millisecond
)

// path is one direction between two named processes.
type path struct{ from, to string }

// process is one incarnation of an entry or agent, seen from outside.
type process struct {
	name string

	mutex   sync.Mutex
	paused  bool
	stopped bool
	conns   map[link.Conn]struct{}
}

func newProcess(name string) *process {
	return &process{name: name, conns: map[link.Conn]struct{}{}}
}

// hold waits while the process is paused and reports whether it still exists.
func (p *process) hold() bool {
	for {
		p.mutex.Lock()
		paused, stopped := p.paused, p.stopped
		p.mutex.Unlock()
		if stopped || !paused {
			return !stopped
		}
		time.Sleep(pollInterval)
	}
}

func (p *process) pause(paused bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.paused = paused
}

// stop ends the process at once: nothing that it does later has an effect.
func (p *process) stop() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.stopped = true
	for conn := range p.conns {
		conn.Close()
	}
}

func (p *process) alive() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return !p.stopped
}

// own closes the link when the process stops.
func (p *process) own(conn link.Conn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.stopped {
		p.conns[conn] = struct{}{}
	}
	return !p.stopped
}

// server is what listens at an address.
type server struct {
	process *process
	serve   func(link.Conn)
}

// network connects processes by pipes with a relay between them, which delays, holds and drops messages.
type network struct {
	mutex   sync.Mutex
	servers map[string]server
	cuts    map[path]int
	refused map[string]int
	relays  map[link.Conn]path
	group   sync.WaitGroup
}

func newNetwork() *network {
	return &network{servers: map[string]server{}, cuts: map[path]int{}, refused: map[string]int{}, relays: map[link.Conn]path{}}
}

func (n *network) listen(address string, s server) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.servers[address] = s
}

// cut adds delta to the number of faults that cut the path.
func (n *network) cut(p path, delta int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cuts[p] += delta
}

func (n *network) isCut(p path) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.cuts[p] > 0
}

// refuse adds delta to the number of faults that refuse dials to the name.
func (n *network) refuse(name string, delta int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.refused[name] += delta
}

// drop closes all links of the name.
func (n *network) drop(name string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for conn, p := range n.relays {
		if p.from == name || p.to == name {
			conn.Close()
		}
	}
}

// dialer is the link.Dialer of one process.
type dialer struct {
	network *network
	process *process
}

// Dial implements link.Dialer.
func (d dialer) Dial(ctx context.Context, address string) (link.Conn, error) {
	n := d.network
	n.mutex.Lock()
	target, ok := n.servers[address]
	refused := ok && n.refused[target.process.name] > 0
	n.mutex.Unlock()
	if !ok || refused || !d.process.hold() || !target.process.alive() {
		return nil, link.ErrDial
	}
	there, back := path{d.process.name, target.process.name}, path{target.process.name, d.process.name}
	if n.isCut(there) || n.isCut(back) {
		select {
		case <-ctx.Done():
		case <-time.After(unansweredDial):
		}
		return nil, link.ErrDial
	}
	near, nearRelay := link.Pipe()
	farRelay, far := link.Pipe()
	if !d.process.own(near) || !target.process.own(far) {
		near.Close()
		far.Close()
		return nil, link.ErrDial
	}
	n.relay(nearRelay, farRelay, there, d.process, target.process)
	n.relay(farRelay, nearRelay, back, target.process, d.process)
	n.group.Go(func() { target.serve(far) })
	return near, nil
}

// relay passes the messages of one direction until its source ends. The end of a cut path is not seen
// by the other side.
func (n *network) relay(source, sink link.Conn, p path, from, to *process) {
	n.mutex.Lock()
	n.relays[source] = p
	n.mutex.Unlock()
	n.group.Go(func() {
		defer func() {
			n.mutex.Lock()
			delete(n.relays, source)
			n.mutex.Unlock()
			if !n.isCut(p) {
				sink.Close()
			}
		}()
		for {
			message, err := source.Receive()
			if err != nil {
				return
			}
			time.Sleep(networkDelay)
			if !from.hold() || !to.hold() {
				return
			}
			if !n.isCut(p) {
				_ = sink.Send(message) // a full or closed link loses the message
			}
		}
	})
}
