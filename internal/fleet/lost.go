package fleet

import (
	"slices"
	"time"

	"clementineflow/internal/wire"
)

// denialValidity is how long after the start of a query round its denials may be combined. Each denial
// covers the lease term and margin before it. As denialValidity is less than the margin, all denials
// of a round cover one common lease term without an acknowledgement.
const denialValidity = time.Second

// roundInterval is the minimum time between two query rounds about the same boot.
const roundInterval = 500 * time.Millisecond

// queryRound is one round of acknowledgement queries to all peers about a boot of a worker.
type queryRound struct {
	nonce  uint64
	sentAt time.Time
	usedAt time.Time
	denied map[string]bool
	// previous is the round before this one. Its denials are used until this one is answered.
	previous *queryRound
}

// AckStatus returns whether this entry denies the boot of the worker, has acknowledged it recently, or
// has not run for long enough to tell.
func (h *Hub) AckStatus(worker, bootID string) wire.AckStatus {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.silence.Verdict(worker, bootID, time.Now())
}

// IsLost reports whether the lease of the boot has certainly ended. This requires that this entry is
// registered, that every registered entry denies the worker, that at least n - floor(n/2) of the n
// configured entries deny it, and that no other entry's registration has expired within the lease term
// and margin. IsLost queries the peers without waiting for their replies, so the caller must poll it.
func (h *Hub) IsLost(worker, bootID string) bool {
	now := time.Now()
	document := h.config.Status.Document()
	if document == nil || len(document.Entries) == 0 {
		return false
	}
	registered := h.config.Status.RegisteredNames()
	if h.othersExpired() || !slices.Contains(registered, h.config.Name) {
		return false
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.silence.Verdict(worker, bootID, now) != wire.AckStatusNone {
		return false
	}
	r := h.currentRound(bootKey{worker, bootID}, now)
	for candidate := r; candidate != nil; candidate = candidate.previous {
		if now.Sub(candidate.sentAt) <= denialValidity && h.hasSufficientDenials(candidate, registered, document.Entries) {
			return true
		}
	}
	return false
}

// othersExpired reports whether another entry's registration ended within the lease term and margin.
// That entry may have sent a backed acknowledgement shortly before its registration ended.
func (h *Hub) othersExpired() bool {
	return slices.ContainsFunc(h.config.Status.ExpiredWithin(silenceWindow), func(name string) bool {
		return name != h.config.Name
	})
}

// hasSufficientDenials reports whether the denials of a round, together with this entry's own, come
// from every registered entry and from at least n - floor(n/2) of the n configured entries. This
// excludes both ways of extending a lease. The caller holds the mutex.
func (h *Hub) hasSufficientDenials(r *queryRound, registered, configured []string) bool {
	denies := func(name string) bool { return name == h.config.Name || r.denied[name] }
	for _, name := range registered {
		if !denies(name) {
			return false
		}
	}
	count := 0
	for index, name := range configured {
		if denies(name) && !slices.Contains(configured[:index], name) {
			count++
		}
	}
	n := len(configured)
	return count >= n-n/2
}

// currentRound returns the current query round about a boot. It starts a new round if there is none or
// roundInterval has passed since the last one. The caller holds the mutex.
func (h *Hub) currentRound(key bootKey, now time.Time) *queryRound {
	current := h.queryRounds[key]
	if current != nil && now.Sub(current.sentAt) < roundInterval {
		current.usedAt = now
		return current
	}
	if current != nil {
		current.previous = nil
	}
	h.nonce++
	next := &queryRound{nonce: h.nonce, sentAt: now, usedAt: now, denied: make(map[string]bool), previous: current}
	h.queryRounds[key] = next
	message := &wire.AckQuery{Worker: key.worker, BootID: key.bootID, Nonce: next.nonce}
	for _, p := range h.peers {
		_ = p.link.Send(message) // without a reply, the peer does not count as denying
	}
	return next
}

// replyToAckQuery replies to a peer's query with this entry's acknowledgement status.
func (h *Hub) replyToAckQuery(conn *connection, query *wire.AckQuery) {
	_ = conn.Send(&wire.AckReply{ // if the send fails, the peer repeats the query in its next round
		Worker:  query.Worker,
		BootID:  query.BootID,
		Nonce:   query.Nonce,
		Verdict: h.AckStatus(query.Worker, query.BootID),
	})
}

// recordAckReply records whether a peer denies the boot. It ignores a reply to a round that is no
// longer kept.
func (h *Hub) recordAckReply(conn *connection, reply *wire.AckReply) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for r := h.queryRounds[bootKey{reply.Worker, reply.BootID}]; r != nil; r = r.previous {
		if r.nonce == reply.Nonce {
			r.denied[conn.name] = reply.Verdict == wire.AckStatusNone
		}
	}
}
