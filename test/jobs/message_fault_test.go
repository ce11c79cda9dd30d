package jobs

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"clementineflow/internal/wire"
)

const (
	// restartDelay is how long a process stays down after a fault killed it.
	restartDelay = 700 * time.Millisecond
	// partitionTime is the length of a partition between two processes. The links notice it after link.IdleTimeout.
	partitionTime = 4 * time.Second
)

// faultKind is what happens at one message of a scenario.
type faultKind string

const (
	// faultDrop loses one message although the link stays.
	faultDrop faultKind = "drop"
	// faultClose loses the message with its link.
	faultClose faultKind = "close"
	// faultSilence loses the message and all later ones on its link, which stays open.
	faultSilence faultKind = "silence"
	// faultPartition loses the message and all others between the two processes for partitionTime.
	faultPartition faultKind = "partition"
	// faultKillReceiver kills the receiver after it has handled the message.
	faultKillReceiver faultKind = "kill-receiver"
	// faultMuteReceiver kills the receiver after it has handled the message, but before it sends anything.
	faultMuteReceiver faultKind = "mute-receiver"
	// faultKillSender kills the sender after the message has arrived.
	faultKillSender faultKind = "kill-sender"
	// faultMuteSender kills the sender, and the message is lost.
	faultMuteSender faultKind = "mute-sender"
)

var faultKinds = []faultKind{
	faultDrop, faultClose, faultSilence, faultPartition,
	faultKillReceiver, faultMuteReceiver, faultKillSender, faultMuteSender,
}

// messageKey identifies a message in all plays of a scenario: the n-th of its kind from one process to another.
type messageKey struct {
	from, to, kind string
	number         int
}

func (k messageKey) String() string {
	return fmt.Sprintf("%s>%s/%s/%d", k.from, k.to, k.kind, k.number)
}

// messageFault is a fault at a message.
type messageFault struct {
	message messageKey
	fault   faultKind
	// position is the number of the message in the sorted list of its scenario.
	position int
}

func (f messageFault) String() string { return fmt.Sprintf("%s/%s", f.message, f.fault) }

// messageTap counts the messages of a play and injects its faults.
type messageTap struct {
	play      *play
	logger    *log.Logger
	startedAt time.Time
	// faults holds the faults to inject.
	faults map[messageKey]faultKind

	mu sync.Mutex
	// reached counts the injected faults.
	reached int
	counts  map[messageKey]int
	// seen lists the messages up to the end of the scenario.
	seen  []messageKey
	ended bool
	// ordered is the latest order or outcome of an order, and orderedAt when it was sent.
	ordered   messageKey
	orderedAt time.Duration
	// startOrders holds the run of the latest start order that was delivered to each agent for a task.
	startOrders map[string]map[string]uint32
	// reachedAt is when the latest fault was injected, or zero.
	reachedAt time.Duration
	// muted holds the processes whose messages are lost because they are about to be killed.
	muted map[string]bool
}

func newMessageTap(faults []messageFault) *messageTap {
	m := &messageTap{
		logger: newLogger(), startedAt: time.Now(), faults: map[messageKey]faultKind{},
		counts: map[messageKey]int{}, muted: map[string]bool{}, startOrders: map[string]map[string]uint32{},
	}
	for _, f := range faults {
		m.faults[f.message] = f.fault
	}
	return m
}

// observe counts a message and returns whether it is delivered.
func (m *messageTap) observe(conn *filteredConn, message wire.Message) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.muted[conn.from] {
		return false
	}
	key := messageKey{from: conn.from, to: conn.to, kind: strings.TrimPrefix(fmt.Sprintf("%T", message), "*wire.")}
	m.counts[key]++
	key.number = m.counts[key]
	switch message.(type) {
	case *wire.StartRun, *wire.StopRun, *wire.RunEnded, *wire.RunAbsent, *wire.ConfirmEnds:
		m.ordered, m.orderedAt = key, time.Since(m.startedAt)
	}
	if !m.ended {
		m.seen = append(m.seen, key)
	}
	fault, ok := m.faults[key]
	if !ok {
		m.recordOrderLocked(conn.to, message)
		return true
	}
	m.reached++
	m.reachedAt = time.Since(m.startedAt)
	delivered := m.injectLocked(conn, fault)
	if delivered {
		m.recordOrderLocked(conn.to, message)
	}
	m.logger.Warn("injected a fault", "message", key, "fault", fault, "content", fmt.Sprintf("%+v", message))
	return delivered
}

// recordOrderLocked records a start order that is delivered to an agent.
func (m *messageTap) recordOrderLocked(agent string, message wire.Message) {
	start, ok := message.(*wire.StartRun)
	if !ok {
		return
	}
	if m.startOrders[agent] == nil {
		m.startOrders[agent] = map[string]uint32{}
	}
	m.startOrders[agent][start.Task] = start.Run
}

// latestStartOrder returns the run of the latest start order that was delivered to the agent's process for the task.
func (m *messageTap) latestStartOrder(agent, task string) uint32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.startOrders[agent][task]
}

// forgetOrders forgets the orders that were delivered to a process that has ended.
func (m *messageTap) forgetOrders(agent string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.startOrders, agent)
}

// injectLocked injects a fault and returns whether the message is delivered.
func (m *messageTap) injectLocked(conn *filteredConn, fault faultKind) bool {
	switch fault {
	case faultDrop:
		return false
	case faultClose:
		conn.pair.silent.Store(true)
		go func() {
			m.letProcessesReact()
			conn.Close()
		}()
		return false
	case faultSilence:
		conn.pair.silent.Store(true)
		return false
	case faultPartition:
		m.setPartition(conn, true)
		time.AfterFunc(partitionTime, func() { m.setPartition(conn, false) })
		return false
	case faultKillReceiver:
		go m.restart(conn.to)
	case faultMuteReceiver:
		m.muted[conn.to] = true
		go m.restart(conn.to)
	case faultKillSender:
		go m.restart(conn.from)
	case faultMuteSender:
		m.muted[conn.from] = true
		go m.restart(conn.from)
		return false
	}
	return true
}

// setPartition cuts or restores both directions between the two processes of a link.
func (m *messageTap) setPartition(conn *filteredConn, cut bool) {
	conn.network.setCut(conn.from, conn.to, cut)
	conn.network.setCut(conn.to, conn.from, cut)
}

// letProcessesReact returns once all processes wait: virtual time advances only then.
func (m *messageTap) letProcessesReact() { time.Sleep(time.Nanosecond) }

// restart kills a process and starts it again after restartDelay.
func (m *messageTap) restart(name string) {
	m.letProcessesReact()
	m.play.kill(name)
	m.mu.Lock()
	delete(m.muted, name)
	m.mu.Unlock()
	time.Sleep(restartDelay)
	m.play.start(name)
}

// faultTime returns when the latest fault was injected, counted from the start of the play, or zero.
func (m *messageTap) faultTime() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reachedAt
}

// endScenario stops listing messages and returns the listed ones.
func (m *messageTap) endScenario() []messageKey {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	return m.seen
}
