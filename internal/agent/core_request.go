package agent

import (
	"strconv"
	"strings"
	"time"

	"github.com/charmbracelet/log"

	"clementineflow/internal/capacity"
	"clementineflow/internal/ledger"
	"clementineflow/internal/wire"
)

// Limits of requests.
const (
	maxRequestIDBytes = 256
	maxRequestBytes   = 1 << 20
	// maxRequestDuration bounds the time from the arrival of a request to its deadline.
	maxRequestDuration = 10 * time.Minute
	// maxWaiters bounds the senders that wait for the outcome of one running request.
	maxWaiters = 16
	// maxQueryReplyBytes is the total body size above which a QueryReply is split into several messages.
	maxQueryReplyBytes = 2 << 20
)

// request is one request in progress at a target.
type request struct {
	target  capacity.TargetKey
	service string
	waiters []waiter
}

// waiter is a sender that waits for the outcome of a request.
type waiter struct {
	link    linkID
	entry   string
	attempt uint32
}

// onRequest runs a new request, waits for the outcome of a running one, or replies with the recorded
// outcome of an ended one.
func (c *core) onRequest(id linkID, l *linkState, message *wire.Request) {
	sender := waiter{link: id, entry: l.entry, attempt: message.Attempt}
	if message.ID == "" || len(message.ID) > maxRequestIDBytes {
		c.reply(sender, wire.RequestReply{ID: message.ID, Attempt: message.Attempt, Outcome: wire.OutcomeNotRun, Reason: wire.NotRunInvalid})
		return
	}
	decision, known := c.ledger.Lookup(c.now, message.ID, message.Attempt)
	switch decision {
	case ledger.Attach:
		c.addWaiter(message.ID, sender)
	case ledger.Reply:
		c.reply(sender, known)
	default:
		c.runRequest(sender, message)
	}
}

// runRequest admits a new request and forwards it, or refuses it.
func (c *core) runRequest(sender waiter, message *wire.Request) {
	remaining := min(time.Duration(message.RemainingMillis)*time.Millisecond, maxRequestDuration)
	deadline := c.now.Add(remaining)
	if reason := c.refuseRequest(message, remaining); reason != wire.NotRunNone {
		c.refuseAttempt(sender, message, reason, deadline)
		return
	}
	chosen, reason := c.admitToTarget(message.Service)
	if reason != wire.NotRunNone {
		c.refuseAttempt(sender, message, reason, deadline)
		return
	}
	if !c.ledger.Begin(c.now, message.ID, message.Attempt, deadline) {
		c.table.ReleaseRequest(chosen)
		c.refuseAttempt(sender, message, wire.NotRunBusy, deadline)
		return
	}
	c.requests[message.ID] = &request{target: chosen, service: message.Service, waiters: []waiter{sender}}
	c.addAction(forwardRequest{
		request:     message,
		target:      chosen,
		connections: c.targets[chosen].announcement.Connections,
		deadline:    deadline,
	})
}

// refuseRequest returns why a new request is refused regardless of the load, or NotRunNone.
func (c *core) refuseRequest(message *wire.Request, remaining time.Duration) wire.NotRunReason {
	switch {
	case !validRequest(message):
		return wire.NotRunInvalid
	case remaining <= 0:
		return wire.NotRunDeadline
	case c.leaving:
		return wire.NotRunLeaving
	case c.isZoneOutOfService():
		return wire.NotRunZone
	default:
		return wire.NotRunNone
	}
}

// isZoneOutOfService reports whether the configuration marks the agent's zone as out of service. Without
// a configuration it returns false.
func (c *core) isZoneOutOfService() bool {
	if c.document == nil {
		return false
	}
	zone, ok := c.document.Zone(c.identity.zone)
	return ok && zone.OutOfService
}

// validRequest reports whether a request is within the size limit and can be written as an HTTP request
// unchanged.
func validRequest(message *wire.Request) bool {
	if !strings.HasPrefix(message.Path, "/") || len(message.Body) > maxRequestBytes || !isToken(message.Method) {
		return false
	}
	if strings.ContainsFunc(message.Path, isControlOrSpace) || strings.ContainsFunc(message.ID, isControlOrSpace) {
		return false
	}
	for _, header := range message.Headers {
		if !isToken(header.Name) || strings.ContainsAny(header.Value, "\r\n\x00") {
			return false
		}
	}
	return true
}

// isControlOrSpace reports whether the character would end a part of an HTTP request line.
func isControlOrSpace(r rune) bool { return r <= ' ' || r == 0x7f }

// isToken reports whether the text is a token of RFC 9110, section 5.6.2.
func isToken(text string) bool {
	if text == "" {
		return false
	}
	return !strings.ContainsFunc(text, func(r rune) bool {
		return r <= ' ' || r >= 0x7f || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, r)
	})
}

// refuseAttempt records and replies that an attempt is not run. If the ledger is full, the refusal is
// not recorded; this is safe because an entry sends each attempt only once.
func (c *core) refuseAttempt(sender waiter, message *wire.Request, reason wire.NotRunReason, deadline time.Time) {
	c.ledger.Refuse(c.now, message.ID, message.Attempt, reason, deadline)
	c.logDecision(log.InfoLevel, `requests_refused_total{reason="`+notRunNames[reason]+`"}`, "refused request",
		field{"request", message.ID}, field{"attempt", strconv.FormatUint(uint64(message.Attempt), 10)},
		field{"service", message.Service}, field{"reason", notRunNames[reason]}, field{"entry", sender.entry})
	c.reply(sender, wire.RequestReply{ID: message.ID, Attempt: message.Attempt, Outcome: wire.OutcomeNotRun, Reason: reason})
}

// addWaiter adds a sender to a running request. A sender above maxWaiters gets no reply and has to ask
// for the outcome.
func (c *core) addWaiter(id string, sender waiter) {
	running, ok := c.requests[id]
	if !ok || len(running.waiters) >= maxWaiters {
		return
	}
	running.waiters = append(running.waiters, sender)
}

// onForwarded records the outcome of a request and replies to all waiting senders.
func (c *core) onForwarded(result forwardResult) {
	running, ok := c.requests[result.reply.ID]
	if !ok {
		return
	}
	delete(c.requests, result.reply.ID)
	c.table.ReleaseRequest(running.target)
	for _, sender := range running.waiters {
		result.reply.Attempt = max(result.reply.Attempt, sender.attempt)
	}
	c.ledger.Finish(c.now, result.reply)
	if result.reply.Outcome != wire.OutcomeNotRun {
		c.recordServiceTime(running, result.elapsed)
	}
	level := log.DebugLevel
	if result.reply.Outcome != wire.OutcomeAnswered {
		level = log.InfoLevel
	}
	c.logDecision(level, `requests_total{outcome="`+outcomeNames[result.reply.Outcome]+`"}`, "request ended",
		field{"request", result.reply.ID}, field{"service", running.service}, field{"target", running.target.Address},
		field{"outcome", outcomeNames[result.reply.Outcome]}, field{"reason", notRunNames[result.reply.Reason]},
		field{"elapsed", result.elapsed.String()})
	for _, sender := range running.waiters {
		reply := result.reply
		reply.Attempt = sender.attempt
		c.reply(sender, reply)
	}
}

// recordServiceTime adds a request's duration to the latencies of its target and service.
func (c *core) recordServiceTime(running *request, elapsed time.Duration) {
	if known, ok := c.targets[running.target]; ok {
		known.latency.record(c.now, elapsed)
	}
	s, ok := c.services[running.service]
	if !ok {
		s = newServiceLatency(c.now)
		c.services[running.service] = s
	}
	s.record(elapsed)
}

// reply sends an outcome on the link of the sender or, if that has ended, on another link to the same
// entry. If there is none, the entry queries the outcome over its next link.
func (c *core) reply(to waiter, reply wire.RequestReply) {
	if id, ok := c.findLinkTo(to); ok {
		c.addAction(sendMessage{link: id, message: &reply})
	}
}

// findLinkTo returns an open link to the sender's entry, preferably the link of the request.
func (c *core) findLinkTo(to waiter) (linkID, bool) {
	if l, ok := c.links[to.link]; ok && l.up {
		return to.link, true
	}
	for _, id := range sortedLinks(c.links) {
		if l := c.links[id]; l.up && l.entry == to.entry {
			return id, true
		}
	}
	return 0, false
}

// onQuery replies with the outcomes of requests that were sent on an earlier link. For another
// incarnation of the agent the outcomes are unknown.
func (c *core) onQuery(id linkID, l *linkState, query *wire.Query) {
	reply, size := &wire.QueryReply{}, 0
	for _, key := range query.Keys {
		outcome := wire.RequestReply{ID: key.ID, Attempt: key.Attempt, Outcome: wire.OutcomeUnknown}
		if query.Incarnation == c.identity.incarnation {
			outcome = c.ledger.Query(c.now, key)
		}
		if outcome.Outcome == wire.OutcomeRunning {
			c.addWaiter(key.ID, waiter{link: id, entry: l.entry, attempt: key.Attempt})
		}
		c.logDecision(log.InfoLevel, `queries_total{outcome="`+outcomeNames[outcome.Outcome]+`"}`, "answered query",
			field{"request", key.ID}, field{"outcome", outcomeNames[outcome.Outcome]}, field{"reason", notRunNames[outcome.Reason]})
		if size > 0 && size+len(outcome.Body) > maxQueryReplyBytes {
			c.addAction(sendMessage{link: id, message: reply})
			reply, size = &wire.QueryReply{}, 0
		}
		reply.Replies = append(reply.Replies, outcome)
		size += len(outcome.Body)
	}
	c.addAction(sendMessage{link: id, message: reply})
}

// onCancel refuses a request that has not arrived yet. A running request continues, because it has been
// sent to the target and occupies a slot until it ends.
func (c *core) onCancel(cancel *wire.Cancel) {
	decision, _ := c.ledger.Lookup(c.now, cancel.ID, cancel.Attempt)
	if decision != ledger.Accept || cancel.ID == "" || len(cancel.ID) > maxRequestIDBytes {
		return
	}
	c.ledger.Refuse(c.now, cancel.ID, cancel.Attempt, wire.NotRunCancelled, c.now.Add(ledger.CancelRetention))
}
