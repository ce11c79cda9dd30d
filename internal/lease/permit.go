package lease

import "time"

// PermitAck is what an acknowledgement says about the configuration.
type PermitAck struct {
	// SentAt is when the agent sent the acknowledged heartbeat.
	SentAt time.Time
	// Revision is the highest revision that the entry knows.
	Revision uint64
	// StoreReachable says that the entry's last store call succeeded.
	StoreReachable bool
	// ConfirmationAge is the age of the store read that confirmed Revision; negative if there was none.
	ConfirmationAge time.Duration
}

// StartPermit is the agent's right to start tasks under its configuration. The zero value permits
// nothing.
type StartPermit struct {
	entries     []string
	held        uint64
	highest     uint64
	confirmedAt time.Time
	acks        map[string]PermitAck
}

// Hold records the document that the agent has: its revision and the configured entries. A document
// below the held one is ignored.
func (p *StartPermit) Hold(revision uint64, entries []string) {
	if revision < p.held {
		return
	}
	p.held = revision
	p.entries = uniqueNames(entries)
	p.Learn(revision)
}

// Learn records that a revision exists. Confirmations of lower revisions lose their worth.
func (p *StartPermit) Learn(revision uint64) {
	if revision <= p.highest {
		return
	}
	p.highest = revision
	p.confirmedAt = time.Time{}
}

// Acknowledge records an entry's acknowledgement.
func (p *StartPermit) Acknowledge(entry string, ack PermitAck) {
	p.Learn(ack.Revision)
	if p.acks == nil {
		p.acks = map[string]PermitAck{}
	}
	if last, ok := p.acks[entry]; !ok || ack.SentAt.After(last.SentAt) {
		p.acks[entry] = ack
	}
	if ack.Revision != p.highest || ack.ConfirmationAge < 0 {
		return
	}
	if at := ack.SentAt.Add(-ack.ConfirmationAge); at.After(p.confirmedAt) {
		p.confirmedAt = at
	}
}

// Behind reports whether a revision above the held one is known.
func (p *StartPermit) Behind() bool { return p.held < p.highest }

// Valid reports whether tasks may be started under the held document.
func (p *StartPermit) Valid(now time.Time) bool {
	if p.held == 0 || p.Behind() {
		return false
	}
	return p.fresh(p.confirmedAt, now) || p.outageAgreed(now)
}

// outageAgreed reports whether every configured entry has lately said that the store is not reachable
// and that it knows no revision above the held one. An entry that has not read the store since it
// started may have accepted a change before and knows only what its peers have told it, so it does not
// count, and neither does one with a lower revision.
func (p *StartPermit) outageAgreed(now time.Time) bool {
	for _, name := range p.entries {
		ack, ok := p.acks[name]
		if !ok || ack.StoreReachable || ack.ConfirmationAge < 0 || ack.Revision != p.held || !p.fresh(ack.SentAt, now) {
			return false
		}
	}
	return len(p.entries) > 0
}

// fresh reports whether a confirmation at the given time still permits starts.
func (p *StartPermit) fresh(at, now time.Time) bool {
	return !at.IsZero() && now.Sub(at) <= PermitTerm
}
