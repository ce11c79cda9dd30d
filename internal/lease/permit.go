package lease

import "time"

// PermitAck is the part of a heartbeat acknowledgement that concerns the configuration.
type PermitAck struct {
	// SentAt is when the agent sent the acknowledged heartbeat.
	SentAt time.Time
	// Revision is the highest revision that the entry knows.
	Revision uint64
	// StoreReachable reports whether the entry's last store call succeeded.
	StoreReachable bool
	// ConfirmationAge is the time since the store read that confirmed Revision as current; negative if
	// there was none.
	ConfirmationAge time.Duration
}

// StartPermit decides whether the agent may start tasks under the configuration document that it holds.
// The zero value permits no starts.
type StartPermit struct {
	entries      []string
	heldRevision uint64
	// highestRevision is the highest revision that is known to exist.
	highestRevision uint64
	// confirmedAt is when highestRevision was last confirmed as current; zero if it was not.
	confirmedAt time.Time
	acks        map[string]PermitAck
}

// SetDocument sets the document that the agent holds: its revision and the configured entries. A document with
// a lower revision than the held one is ignored.
func (p *StartPermit) SetDocument(revision uint64, entries []string) {
	if revision < p.heldRevision {
		return
	}
	p.heldRevision = revision
	p.entries = uniqueNames(entries)
	p.ObserveRevision(revision)
}

// ObserveRevision records that a revision exists. If it is the highest so far, confirmations of lower revisions
// become void.
func (p *StartPermit) ObserveRevision(revision uint64) {
	if revision <= p.highestRevision {
		return
	}
	p.highestRevision = revision
	p.confirmedAt = time.Time{}
}

// Acknowledge records an entry's acknowledgement. It confirms the configuration if it is about the highest
// known revision and the entry has read that revision from the store.
func (p *StartPermit) Acknowledge(entry string, ack PermitAck) {
	p.ObserveRevision(ack.Revision)
	if p.acks == nil {
		p.acks = map[string]PermitAck{}
	}
	if last, ok := p.acks[entry]; !ok || ack.SentAt.After(last.SentAt) {
		p.acks[entry] = ack
	}
	if ack.Revision != p.highestRevision || ack.ConfirmationAge < 0 {
		return
	}
	if at := ack.SentAt.Add(-ack.ConfirmationAge); at.After(p.confirmedAt) {
		p.confirmedAt = at
	}
}

// Outdated reports whether a higher revision than the held one is known to exist.
func (p *StartPermit) Outdated() bool { return p.heldRevision < p.highestRevision }

// Valid reports whether tasks may be started under the held document: no higher revision is known, and
// either the held one was confirmed within PermitTerm or all entries report that the store is down.
func (p *StartPermit) Valid(now time.Time) bool {
	if p.heldRevision == 0 || p.Outdated() {
		return false
	}
	return p.isFresh(p.confirmedAt, now) || p.allReportOutage(now)
}

// allReportOutage reports whether every configured entry has reported within PermitTerm that it can't
// reach the store and that the held revision is the highest that it knows. An entry that has not read
// the store since it started does not count: it may have accepted a change before the restart, and
// knows only the revisions that its peers sent it. An entry with a lower revision does not count either.
func (p *StartPermit) allReportOutage(now time.Time) bool {
	for _, name := range p.entries {
		ack, ok := p.acks[name]
		if !ok || ack.StoreReachable || ack.ConfirmationAge < 0 || ack.Revision != p.heldRevision || !p.isFresh(ack.SentAt, now) {
			return false
		}
	}
	return len(p.entries) > 0
}

// isFresh reports whether a confirmation at the given time is at most PermitTerm old.
func (p *StartPermit) isFresh(at, now time.Time) bool {
	return !at.IsZero() && now.Sub(at) <= PermitTerm
}
