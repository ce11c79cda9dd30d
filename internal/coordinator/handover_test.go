package coordinator

import (
	"context"
	"io"
	"math"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"clementineflow/internal/planner"
	"clementineflow/internal/standin/kvstore"
	"clementineflow/internal/store"
	"clementineflow/internal/wire"
)

var handoverTiming = planner.Timing{Authority: 7500 * time.Millisecond, Margin: 300 * time.Millisecond}

const (
	handoverAgent = "agent-0"
	// authorityLeft is the remaining authority of the agent in the records of the tests.
	authorityLeft = 2 * time.Second
)

// newHandoverTerm returns a term that holds the leadership in the store; now is the time of its clock.
func newHandoverTerm(t *testing.T, memory *kvstore.Memory, former uint64, now *time.Duration) (*Coordinator, *term) {
	t.Helper()
	c := New(Config{
		Store: memory, Timing: handoverTiming, Now: func() time.Duration { return *now }, Logger: log.New(io.Discard),
	})
	revision, err := memory.Commit(context.Background(), store.Transaction{Writes: []store.Write{{Key: leaderKey}}})
	if err != nil {
		t.Fatal(err)
	}
	leading := newTerm(c.config, uint64(revision), 1, *now+time.Second)
	leading.former = former
	leading.planner = planner.New(handoverTiming, *now)
	return c, leading
}

// putHandover stores a record of the term in which the agent has some authority left.
func putHandover(t *testing.T, memory *kvstore.Memory, number uint64) {
	t.Helper()
	value, err := wire.Marshal(&handoverRecord{Term: number, Authorities: []agentAuthority{
		{Agent: handoverAgent, RemainingMillis: authorityLeft.Milliseconds()},
	}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := memory.Commit(context.Background(), store.Transaction{Writes: []store.Write{{Key: handoverKey, Value: value}}}); err != nil {
		t.Fatal(err)
	}
}

// TestHandoverRecordIsTakenOnce guards against a record that a later term takes for newer than it is, after this one has
// acknowledged pings of the agents in it (TWICE).
func TestHandoverRecordIsTakenOnce(t *testing.T) {
	is := is.New(t)
	memory, now := kvstore.NewMemory(), time.Minute
	putHandover(t, memory, 7)
	_, first := newHandoverTerm(t, memory, 7, &now)
	is.NoErr(first.takeHandover(t.Context()))
	is.Equal(first.planner.AuthorityEnds()[handoverAgent], now+authorityLeft)
	_, err := memory.Get(t.Context(), handoverKey)
	is.True(errors.Is(err, store.ErrNotFound))
	_, second := newHandoverTerm(t, memory, 7, &now)
	is.NoErr(second.takeHandover(t.Context()))
	is.Equal(len(second.planner.AuthorityEnds()), 0)
}

// TestHandoverRecordOfAnotherTermIsIgnored guards against a record that an entry of an earlier version, which knows no such
// records, has left in place while it led (TWICE).
func TestHandoverRecordOfAnotherTermIsIgnored(t *testing.T) {
	is := is.New(t)
	memory, now := kvstore.NewMemory(), time.Minute
	putHandover(t, memory, 7)
	_, next := newHandoverTerm(t, memory, 9, &now)
	is.NoErr(next.takeHandover(t.Context()))
	is.Equal(len(next.planner.AuthorityEnds()), 0)
	_, err := memory.Get(t.Context(), handoverKey)
	is.True(errors.Is(err, store.ErrNotFound))
}

// TestMalformedHandoverRecordIsIgnored guards against a coordinator that can't begin its term because of a record that it
// can't read.
func TestMalformedHandoverRecordIsIgnored(t *testing.T) {
	is := is.New(t)
	memory, now := kvstore.NewMemory(), time.Minute
	_, err := memory.Commit(t.Context(), store.Transaction{Writes: []store.Write{{Key: handoverKey, Value: []byte("{")}}})
	is.NoErr(err)
	_, next := newHandoverTerm(t, memory, 7, &now)
	is.NoErr(next.takeHandover(t.Context()))
	is.Equal(len(next.planner.AuthorityEnds()), 0)
}

// TestHandoverCountsTheLatestAcknowledgement guards against a record that leaves out pings that were acknowledged on links
// whose end the planner had not handled when the term ended (TWICE).
func TestHandoverCountsTheLatestAcknowledgement(t *testing.T) {
	is := is.New(t)
	memory, now := kvstore.NewMemory(), time.Minute
	c, ended := newHandoverTerm(t, memory, 0, &now)
	ended.sessions[handoverAgent] = &session{term: ended, name: handoverAgent, acknowledgedAt: now}
	now += time.Second
	c.leaveHandover(ended)
	now += time.Second
	_, next := newHandoverTerm(t, memory, ended.number, &now)
	is.NoErr(next.takeHandover(t.Context()))
	lasts := handoverTiming.Authority + handoverTiming.Margin
	// The next term can't tell how long ago the record was written.
	is.Equal(next.planner.AuthorityEnds()[handoverAgent], now+lasts-time.Second)
}

// TestNoHandoverWithoutTheLeadership guards against a record of a term that has lost the leadership to one that
// acknowledges pings (TWICE).
func TestNoHandoverWithoutTheLeadership(t *testing.T) {
	is := is.New(t)
	memory, now := kvstore.NewMemory(), time.Minute
	c, ended := newHandoverTerm(t, memory, 0, &now)
	ended.sessions[handoverAgent] = &session{term: ended, name: handoverAgent, acknowledgedAt: now}
	newHandoverTerm(t, memory, ended.number, &now)
	c.leaveHandover(ended)
	_, err := memory.Get(t.Context(), handoverKey)
	is.True(errors.Is(err, store.ErrNotFound))
}

// FuzzHandoverRecord guards against a panic on a record of another writer.
func FuzzHandoverRecord(f *testing.F) {
	value, _ := wire.Marshal(&handoverRecord{Term: 1, Authorities: []agentAuthority{{Agent: handoverAgent, RemainingMillis: 1}}})
	f.Add(value)
	f.Add([]byte{})
	value, _ = wire.Marshal(&handoverRecord{Authorities: []agentAuthority{{RemainingMillis: math.MaxInt64}}})
	f.Add(value)
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := wire.Unmarshal[handoverRecord](data)
		if err != nil {
			return
		}
		for _, end := range record.ends(time.Minute) {
			if end < time.Minute {
				t.Error("authority ends before the record was written")
			}
		}
	})
}
