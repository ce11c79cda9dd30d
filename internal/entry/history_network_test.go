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
	// cutDialTimeout is how long a dial on a cut path blocks before it fails.
	cutDialTimeout = time.Second
	// pollInterval is how often a paused process checks whether its pause has ended.
	pollInterval = 10 * time.Millisecond
)

// path is one direction between two named processes.
type path struct{ from, to string }

// process controls one incarnation of an entry or agent: it can be paused and stopped.
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

// waitWhilePaused blocks while the process is paused and reports whether it has not been stopped.
func (p *process) waitWhilePaused() bool {
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

func (p *process) setPaused(paused bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.paused = paused
}

// stop stops the process abruptly: it closes its links, and later calls of the process have no effect.
func (p *process) stop() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.stopped = true
	for conn := range p.conns {
		conn.Close()
	}
}

func (p *process) isAlive() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return !p.stopped
}

// closeOnStop registers a link to be closed when the process stops. It returns false if the process has
// already stopped.
func (p *process) closeOnStop(conn link.Conn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.stopped {
		p.conns[conn] = struct{}{}
	}
	return !p.stopped
}

// server is the process that listens at an address, with its connection handler.
type server struct {
	process *process
	serve   func(link.Conn)
}

// network connects processes by pipes. A relay for each direction delays, holds back or drops messages.
type network struct {
	mutex    sync.Mutex
	servers  map[string]server
	cuts     map[path]int
	refusals map[string]int
	relays   map[link.Conn]path
	group    sync.WaitGroup
}

func newNetwork() *network {
	return &network{servers: map[string]server{}, cuts: map[path]int{}, refusals: map[string]int{}, relays: map[link.Conn]path{}}
}

func (n *network) listen(address string, s server) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.servers[address] = s
}

// adjustCuts adds delta to the number of faults that cut the path.
func (n *network) adjustCuts(p path, delta int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cuts[p] += delta
}

func (n *network) isCut(p path) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.cuts[p] > 0
}

// adjustRefusals adds delta to the number of faults that refuse dials to the name.
func (n *network) adjustRefusals(name string, delta int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.refusals[name] += delta
}

// dropLinks closes all links of the name.
func (n *network) dropLinks(name string) {
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
	refused := ok && n.refusals[target.process.name] > 0
	n.mutex.Unlock()
	if !ok || refused || !d.process.waitWhilePaused() || !target.process.isAlive() {
		return nil, link.ErrDial
	}
	forward, backward := path{d.process.name, target.process.name}, path{target.process.name, d.process.name}
	if n.isCut(forward) || n.isCut(backward) {
		select {
		case <-ctx.Done():
		case <-time.After(cutDialTimeout):
		}
		return nil, link.ErrDial
	}
	near, nearRelay := link.Pipe()
	farRelay, far := link.Pipe()
	if !d.process.closeOnStop(near) || !target.process.closeOnStop(far) {
		near.Close()
		far.Close()
		return nil, link.ErrDial
	}
	n.startRelay(nearRelay, farRelay, forward, d.process, target.process)
	n.startRelay(farRelay, nearRelay, backward, target.process, d.process)
	n.group.Go(func() { target.serve(far) })
	return near, nil
}

// startRelay forwards the messages of one direction until its source closes. It then closes the sink,
// unless the path is cut: the other side does not detect the close of a cut path.
func (n *network) startRelay(source, sink link.Conn, p path, from, to *process) {
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
			if !from.waitWhilePaused() || !to.waitWhilePaused() {
				return
			}
			if !n.isCut(p) {
				_ = sink.Send(message) // messages to a full or closed link are dropped
			}
		}
	})
}
