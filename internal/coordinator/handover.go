package coordinator

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/store"
	"clementineflow/internal/wire"
)

// maxRemaining bounds the figures of a record. It is longer than any authority.
const maxRemaining = time.Hour

// handoverRecord is what a term that ends by itself leaves to the next one.
type handoverRecord struct {
	// Term is the number of the term that has ended.
	Term        uint64           `cbor:"1,keyasint"`
	Authorities []agentAuthority `cbor:"2,keyasint"`
}

// agentAuthority is the longest time for which the authority of an agent lasts, counted from the record's write.
type agentAuthority struct {
	Agent           string `cbor:"1,keyasint"`
	RemainingMillis int64  `cbor:"2,keyasint"`
}

// leaveHandover stores until when agents may extend the leases of their workers, so that the next term doesn't count the
// longest time anew. The term must have ended, so that it acknowledges nothing any more. The record is written only while
// the term still holds the leadership, so no other term has acknowledged anything before.
func (c *Coordinator) leaveHandover(t *term) {
	record := handoverRecord{Term: t.number, Authorities: t.remainingAuthorities()}
	if len(record.Authorities) == 0 {
		return
	}
	value, err := wire.Marshal(&record)
	if err != nil {
		c.config.Logger.Error("hand-over record can't be encoded", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_, err = c.config.Store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: leaderKey, Revision: store.Revision(t.number)}},
		Writes:     []store.Write{{Key: handoverKey, Value: value}},
	})
	c.config.Logger.Info("hand-over record written", "term", t.number, "agents", len(record.Authorities), "error", err)
}

// remainingAuthorities returns the remaining authorities of the agents. All links of the term must have ended.
func (t *term) remainingAuthorities() []agentAuthority {
	ends := t.planner.AuthorityEnds()
	for name, s := range t.sessions {
		if s.acknowledgedAt > 0 {
			ends[name] = max(ends[name], s.acknowledgedAt+t.config.Timing.Authority+t.config.Timing.Margin)
		}
	}
	now := t.config.Now()
	authorities := make([]agentAuthority, 0, len(ends))
	for name, end := range ends {
		remaining := max(0, end-now) + time.Millisecond - 1
		authorities = append(authorities, agentAuthority{Agent: name, RemainingMillis: remaining.Milliseconds()})
	}
	return authorities
}

// takeHandover removes the record of the previous term and passes its content to the planner. It must be called before the
// term acknowledges anything: a later term that found the record would take it for newer than it is. It retries until it
// succeeds or the context ends.
func (t *term) takeHandover(ctx context.Context) error {
	return t.retryCall(ctx, "take hand-over record", t.tryTakeHandover)
}

func (t *term) tryTakeHandover(ctx context.Context) error {
	item, err := t.config.Store.Get(ctx, handoverKey)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	// The record was written before this time, so its authorities end at the latest that long after it.
	readAt := t.config.Now()
	_, err = t.config.Store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{
			{Key: leaderKey, Revision: store.Revision(t.number)}, {Key: handoverKey, Revision: item.Revision},
		},
		Deletes: []string{handoverKey},
	})
	if err != nil {
		return err
	}
	record, err := wire.Unmarshal[handoverRecord](item.Value)
	if err != nil {
		store.ReportMalformed(t.config.Logger, "hand-over", handoverKey, err)
		return nil
	}
	if record.Term != t.former {
		// An entry of an earlier version, which leaves the record in place, has led since.
		t.config.Logger.Info("hand-over record ignored: another term has followed", "of_term", record.Term, "former", t.former)
		return nil
	}
	t.planner.InheritAuthorities(record.ends(readAt))
	t.config.Logger.Info("hand-over record taken", "of_term", record.Term, "agents", len(record.Authorities))
	return nil
}

// ends returns when the authority of each agent ends if the record was written at the given time.
func (r *handoverRecord) ends(writtenAt time.Duration) map[string]time.Duration {
	ends := make(map[string]time.Duration, len(r.Authorities))
	for _, authority := range r.Authorities {
		remaining := min(max(0, authority.RemainingMillis), maxRemaining.Milliseconds())
		ends[authority.Agent] = writtenAt + time.Duration(remaining)*time.Millisecond
	}
	return ends
}
