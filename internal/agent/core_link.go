package agent

import (
	"strconv"
	"time"

	"github.com/charmbracelet/log"

	"clementineflow/internal/configuration"
	"clementineflow/internal/lease"
	"clementineflow/internal/wire"
)

// maxUnackedHeartbeats bounds the unacknowledged heartbeats of a link that are remembered. A silent link is
// closed after about three.
const maxUnackedHeartbeats = 16

// linkState is the core's state of one link.
type linkState struct {
	address string
	// helloSent is set once Hello was sent, up once Welcome has arrived.
	helloSent, up bool
	entry         string
	// helloBootID is the boot id in the sent Hello. Acknowledgements extend the lease of this boot only.
	helloBootID       string
	heartbeatSequence uint64
	heartbeatAt       time.Time
	heartbeatSentAt   map[uint64]time.Time
	ackedSequence     uint64
}

// onLinkOpened tracks a new link and sends Hello if the session is available.
func (c *core) onLinkOpened(opened linkOpened) {
	c.links[opened.link] = &linkState{address: opened.address, heartbeatSentAt: map[uint64]time.Time{}}
	c.sendHello(opened.link)
}

// sendHello sends Hello once per link. It waits while there is no session or an attach is in progress,
// since Hello carries the session.
func (c *core) sendHello(id linkID) {
	l := c.links[id]
	if l.helloSent || !c.attached || c.attaching {
		return
	}
	l.helloSent, l.helloBootID = true, c.session.BootID
	c.addAction(sendMessage{link: id, message: &wire.Hello{
		Role:        wire.RoleAgent,
		Name:        c.identity.name,
		Incarnation: c.identity.incarnation,
		Region:      c.identity.region,
		Zone:        c.identity.zone,
		Rack:        c.identity.rack,
		Session:     c.session,
		Capacity:    c.table.Capacity(),
		Tasks:       c.taskStatuses(),
		Targets:     c.targetStates(),
		Revision:    c.revision(),
	}})
}

// onReceived dispatches a message. Messages of a closed link are dropped; the entry queries the outcomes
// of its requests over the next link.
func (c *core) onReceived(input messageReceived) {
	l, ok := c.links[input.link]
	if !ok {
		return
	}
	if welcome, is := input.message.(*wire.Welcome); is {
		c.onWelcome(input.link, l, welcome)
		return
	}
	if !l.up {
		c.logDecision(log.WarnLevel, "", "closing a link on which the entry sent a message before Welcome", field{"address", l.address})
		c.addAction(closeLink{link: input.link})
		return
	}
	c.onEntryMessage(input.link, l, input.message)
}

// onEntryMessage dispatches a message on a link that is up.
func (c *core) onEntryMessage(id linkID, l *linkState, message wire.Message) {
	switch message := message.(type) {
	case *wire.HeartbeatAck:
		c.onHeartbeatAck(l, message)
	case *wire.Configuration:
		c.recordRevision(message.Revision)
		c.applyDocument(message.Document)
	case *wire.Request:
		c.onRequest(id, l, message)
	case *wire.Query:
		c.onQuery(id, l, message)
	case *wire.Cancel:
		c.onCancel(message)
	case *wire.StartTask:
		c.onStartTask(message)
	case *wire.EvictTask:
		c.onEndOrder(message.Order, attemptEvicting)
	case *wire.StopTask:
		c.onEndOrder(message.Order, attemptStopping)
	case *wire.AckTaskEvent:
		c.onAckTaskEvent(message)
	default:
		c.logDecision(log.DebugLevel, "", "entry sent a message that agents do not handle",
			field{"entry", l.entry}, field{"kind", strconv.Itoa(int(message.Kind()))})
	}
}

// onWelcome marks the link as up. Every Welcome also updates the configuration and the list of entries.
func (c *core) onWelcome(id linkID, l *linkState, welcome *wire.Welcome) {
	l.entry = welcome.Name
	c.recordRevision(welcome.Revision)
	c.applyDocument(welcome.Document)
	c.addAction(connectEntries{entries: welcome.Entries})
	if l.up || !l.helloSent {
		return
	}
	l.up = true
	c.logDecision(log.InfoLevel, "links_opened_total", "link is up", field{"entry", l.entry}, field{"address", l.address})
	c.sendHeartbeat(id)
	c.sendUnackedEvents(id)
	if c.leaving {
		c.addAction(sendMessage{link: id, message: &wire.Leaving{Reason: leavingReason}})
	}
}

// sendHeartbeat sends a heartbeat on a link and stores its send time, from which leases are counted.
func (c *core) sendHeartbeat(id linkID) {
	l := c.links[id]
	l.heartbeatSequence++
	l.heartbeatAt = c.now
	l.heartbeatSentAt[l.heartbeatSequence] = c.now
	delete(l.heartbeatSentAt, l.heartbeatSequence-maxUnackedHeartbeats)
	c.addAction(sendMessage{link: id, message: &wire.Heartbeat{
		Sequence: l.heartbeatSequence,
		Revision: c.revision(),
		Session:  c.session.Number,
		Free:     c.table.Free(),
		Targets:  c.targetStates(),
		Leaving:  c.leaving,
	}})
}

// sendHeartbeats sends a heartbeat on every link at once, to report a change without delay.
func (c *core) sendHeartbeats() {
	for _, id := range sortedLinks(c.links) {
		if c.links[id].up {
			c.sendHeartbeat(id)
		}
	}
}

// onHeartbeatAck extends the start permit and, if Hello named the current boot, the worker lease.
func (c *core) onHeartbeatAck(l *linkState, ack *wire.HeartbeatAck) {
	sentAt, ok := l.heartbeatSentAt[ack.Sequence]
	if !ok {
		return
	}
	delete(l.heartbeatSentAt, ack.Sequence)
	l.ackedSequence = max(l.ackedSequence, ack.Sequence)
	age := time.Duration(ack.ConfirmationAgeMillis) * time.Millisecond
	if age >= 0 {
		age += time.Millisecond // the entry rounds down
	}
	c.permit.Acknowledge(l.entry, lease.PermitAck{
		SentAt:          sentAt,
		Revision:        ack.Revision,
		StoreReachable:  ack.StoreReachable,
		ConfirmationAge: age,
	})
	if l.helloBootID != c.session.BootID {
		return
	}
	c.lease.Acknowledge(l.entry, sentAt, ack.Backed)
	c.checkLease()
	c.tryPendingStarts()
}

// recordRevision records that a configuration revision exists, even if its document has not arrived.
func (c *core) recordRevision(revision uint64) { c.permit.ObserveRevision(revision) }

// applyDocument applies an encoded configuration document if it is newer than the current one.
func (c *core) applyDocument(encoded []byte) {
	if len(encoded) == 0 {
		return
	}
	document, err := wire.Unmarshal[configuration.Document](encoded)
	if err != nil || document.Region != c.identity.region {
		c.logDecision(log.WarnLevel, "", "ignored a configuration document that is malformed or of another region")
		return
	}
	if document.Revision <= c.revision() {
		return
	}
	c.document = document
	c.permit.SetDocument(document.Revision, document.Entries)
	c.lease.SetEntries(document.Entries)
	c.logDecision(log.InfoLevel, "", "applied configuration", field{"revision", strconv.FormatUint(document.Revision, 10)})
	c.checkLease()
	c.tryPendingStarts()
}

// revision returns the revision of the applied configuration, or zero if there is none.
func (c *core) revision() uint64 {
	if c.document == nil {
		return 0
	}
	return c.document.Revision
}

// closeAllLinks closes all links on which Hello was sent, so that each entry gets a Hello with the new
// session on its next link.
func (c *core) closeAllLinks() {
	for _, id := range sortedLinks(c.links) {
		if c.links[id].helloSent {
			c.addAction(closeLink{link: id})
		}
	}
}
