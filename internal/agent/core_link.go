package agent

import (
	"strconv"
	"time"

	"github.com/charmbracelet/log"

	"clementineflow/internal/configuration"
	"clementineflow/internal/lease"
	"clementineflow/internal/wire"
)

// maxUnanswered bounds the heartbeats of a link that wait for their acknowledgement. A silent link is
// closed after three.
const maxUnanswered = 16

// linkState is the core's state of one link.
type linkState struct {
	address string
	// greeted says that Hello was sent, up that Welcome has arrived.
	greeted, up bool
	entry       string
	// bootID is the boot that Hello named; acknowledgements count for this boot only.
	bootID      string
	sequence    uint64
	heartbeatAt time.Time
	sentAt      map[uint64]time.Time
	acked       uint64
}

func (c *core) onLinkOpened(opened linkOpened) {
	c.links[opened.link] = &linkState{address: opened.address, sentAt: map[uint64]time.Time{}}
	c.greet(opened.link)
}

// greet sends Hello unless the session that it must name is not known or about to change.
func (c *core) greet(id linkID) {
	l := c.links[id]
	if l.greeted || !c.attached || c.attaching {
		return
	}
	l.greeted, l.bootID = true, c.session.BootID
	c.do(sendMessage{link: id, message: &wire.Hello{
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

// onReceived dispatches a message. Messages of a link that has ended are dropped: the entry asks for
// the outcome of its requests over the next link.
func (c *core) onReceived(input received) {
	l, ok := c.links[input.link]
	if !ok {
		return
	}
	if welcome, is := input.message.(*wire.Welcome); is {
		c.onWelcome(input.link, l, welcome)
		return
	}
	if !l.up {
		c.report(log.WarnLevel, "", "entry sent a message before its welcome", field{"address", l.address})
		c.do(closeLink{link: input.link})
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
		c.observeRevision(message.Revision)
		c.observeDocument(message.Document)
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
		c.report(log.DebugLevel, "", "entry sent a message that agents do not handle",
			field{"entry", l.entry}, field{"kind", strconv.Itoa(int(message.Kind()))})
	}
}

// onWelcome brings the link up or, on a later Welcome, refreshes the list of entries.
func (c *core) onWelcome(id linkID, l *linkState, welcome *wire.Welcome) {
	l.entry = welcome.Name
	c.observeRevision(welcome.Revision)
	c.observeDocument(welcome.Document)
	c.do(connectEntries{entries: welcome.Entries})
	if l.up || !l.greeted {
		return
	}
	l.up = true
	c.report(log.InfoLevel, "links_opened_total", "link is up", field{"entry", l.entry}, field{"address", l.address})
	c.heartbeat(id)
	c.sendAllEvents(id)
	if c.leaving {
		c.do(sendMessage{link: id, message: &wire.Leaving{Reason: leavingReason}})
	}
}

// heartbeat sends a heartbeat on a link and remembers when.
func (c *core) heartbeat(id linkID) {
	l := c.links[id]
	l.sequence++
	l.heartbeatAt = c.now
	l.sentAt[l.sequence] = c.now
	delete(l.sentAt, l.sequence-maxUnanswered)
	c.do(sendMessage{link: id, message: &wire.Heartbeat{
		Sequence: l.sequence,
		Revision: c.revision(),
		Session:  c.session.Number,
		Free:     c.table.Free(),
		Targets:  c.targetStates(),
		Leaving:  c.leaving,
	}})
}

// heartbeatNow sends a heartbeat on every link ahead of time, when the entries should learn a change.
func (c *core) heartbeatNow() {
	for _, id := range sortedLinks(c.links) {
		if c.links[id].up {
			c.heartbeat(id)
		}
	}
}

// onHeartbeatAck extends the lease and the permit.
func (c *core) onHeartbeatAck(l *linkState, ack *wire.HeartbeatAck) {
	sentAt, ok := l.sentAt[ack.Sequence]
	if !ok {
		return
	}
	delete(l.sentAt, ack.Sequence)
	l.acked = max(l.acked, ack.Sequence)
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
	if l.bootID != c.session.BootID {
		return
	}
	c.lease.Acknowledge(l.entry, sentAt, ack.Backed)
	c.checkLease()
	c.startPending()
}

// observeRevision records that a revision exists.
func (c *core) observeRevision(revision uint64) { c.permit.Learn(revision) }

// observeDocument takes over a document if it is newer than the held one.
func (c *core) observeDocument(encoded []byte) {
	if len(encoded) == 0 {
		return
	}
	document, err := wire.Unmarshal[configuration.Document](encoded)
	if err != nil || document.Region != c.identity.region {
		c.report(log.WarnLevel, "", "ignored a configuration document that is malformed or of another region")
		return
	}
	if document.Revision <= c.revision() {
		return
	}
	c.document = document
	c.permit.Hold(document.Revision, document.Entries)
	c.lease.SetEntries(document.Entries)
	c.report(log.InfoLevel, "", "configuration is in force", field{"revision", strconv.FormatUint(document.Revision, 10)})
	c.checkLease()
	c.startPending()
}

// revision returns the revision of the held document, or zero.
func (c *core) revision() uint64 {
	if c.document == nil {
		return 0
	}
	return c.document.Revision
}

// closeAllLinks ends all links so that each entry gets a Hello with the new session.
func (c *core) closeAllLinks() {
	for _, id := range sortedLinks(c.links) {
		if c.links[id].greeted {
			c.do(closeLink{link: id})
		}
	}
}
