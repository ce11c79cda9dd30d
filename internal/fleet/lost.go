package fleet

import (
	"slices"
	"time"

	"clementineflow/internal/wire"
)

// denialValidity is how long the denials of one round of queries hold together. Each denial covers the
// term and margin before it, so that denials within less than the margin of each other share a whole
// lease term without acknowledgement.
const denialValidity = time.Second

// roundInterval is the time between two rounds of queries about the same boot.
const roundInterval = 500 * time.Millisecond

// round is one round of queries about a boot of a worker.
type round struct {
	nonce  uint64
	sentAt time.Time
	usedAt time.Time
	denied map[string]bool
	// previous is the round before, whose denials hold until this one is answered.
	previous *round
}

// Verdict states whether this entry denies the boot of the worker.
func (h *Hub) Verdict(worker, bootID string) wire.SilenceVerdict {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.silence.Verdict(worker, bootID, time.Now())
}

// Lost reports whether the lease of the boot has certainly ended: every registered entry denies the
// worker, at least n - floor(n/2) configured entries deny it, and no other entry's registration has
// expired within term and margin. It asks the peers in the background; a caller repeats the call.
func (h *Hub) Lost(worker, bootID string) bool {
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
	if h.silence.Verdict(worker, bootID, now) != wire.SilenceDenied {
		return false
	}
	r := h.query(bootKey{worker, bootID}, now)
	for candidate := r; candidate != nil; candidate = candidate.previous {
		if now.Sub(candidate.sentAt) <= denialValidity && h.sufficient(candidate, registered, document.Entries) {
			return true
		}
	}
	return false
}

// othersExpired reports whether another entry's registration ended within term and margin: it may
// have given a backed acknowledgement just before.
func (h *Hub) othersExpired() bool {
	return slices.ContainsFunc(h.config.Status.ExpiredWithin(silenceWindow), func(name string) bool {
		return name != h.config.Name
	})
}

// sufficient reports whether the denials of a round, with this entry's own, exclude both ways of
// extending a lease. The mutex is held.
func (h *Hub) sufficient(r *round, registered, configured []string) bool {
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

// query returns the current round about a boot and starts a new one when it is due. The mutex is held.
func (h *Hub) query(key bootKey, now time.Time) *round {
	current := h.rounds[key]
	if current != nil && now.Sub(current.sentAt) < roundInterval {
		current.usedAt = now
		return current
	}
	if current != nil {
		current.previous = nil
	}
	h.nonce++
	next := &round{nonce: h.nonce, sentAt: now, usedAt: now, denied: make(map[string]bool), previous: current}
	h.rounds[key] = next
	message := &wire.SilenceQuery{Worker: key.worker, BootID: key.bootID, Nonce: next.nonce}
	for _, p := range h.peers {
		_ = p.link.Send(message) // a query that is not sent counts as no denial
	}
	return next
}

// answerSilence states this entry's verdict to a peer.
func (h *Hub) answerSilence(conn *connection, query *wire.SilenceQuery) {
	_ = conn.Send(&wire.SilenceReply{ // the peer asks again
		Worker:  query.Worker,
		BootID:  query.BootID,
		Nonce:   query.Nonce,
		Verdict: h.Verdict(query.Worker, query.BootID),
	})
}

// takeSilence records a peer's denial. A reply to a round that is no longer held is dropped.
func (h *Hub) takeSilence(conn *connection, reply *wire.SilenceReply) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for r := h.rounds[bootKey{reply.Worker, reply.BootID}]; r != nil; r = r.previous {
		if r.nonce == reply.Nonce {
			r.denied[conn.name] = reply.Verdict == wire.SilenceDenied
		}
	}
}
