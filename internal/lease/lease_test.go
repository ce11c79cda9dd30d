package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/wire"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// TestBackedAcknowledgement guards against a lease that counts from the arrival of the acknowledgement.
func TestBackedAcknowledgement(t *testing.T) {
	is := is.New(t)
	var l WorkerLease
	is.True(!l.Valid(at(0)))
	l.Acknowledge("a", at(0), true)
	is.True(l.Valid(at(Term - 1)))
	is.True(!l.Valid(at(Term)))
	l.Acknowledge("a", at(-time.Second), true)
	is.Equal(l.Remaining(at(time.Second)), Term-time.Second)
	l.Reset()
	is.True(!l.Valid(at(time.Second)))
}

// TestMajority guards against a minority, a repeated name or a stranger that extends the lease.
func TestMajority(t *testing.T) {
	is := is.New(t)
	var l WorkerLease
	l.SetEntries([]string{"a", "b", "c", "d"})
	l.Acknowledge("a", at(0), false)
	l.Acknowledge("b", at(time.Second), false)
	l.Acknowledge("x", at(time.Second), false)
	is.True(!l.Valid(at(time.Second)))
	l.Acknowledge("c", at(2*time.Second), false)
	is.Equal(l.Until(), at(Term))
	l.Acknowledge("a", at(3*time.Second), false)
	is.Equal(l.Until(), at(time.Second+Term))
	l.SetEntries([]string{"a", "a", "z"})
	is.True(!l.Valid(at(3 * time.Second)))
}

// TestHolderGivesUpFirst guards against a denial while a lease is valid: for each n, a majority and
// n - floor(n/2) denying entries must overlap in an entry that acknowledged within the lease.
func TestHolderGivesUpFirst(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b", "c", "d", "e", "f", "g"}
	for n := 1; n <= len(names); n++ {
		for acked := 0; acked <= n; acked++ {
			var l WorkerLease
			l.SetEntries(names[:n])
			denials := 0
			for i, name := range names[:n] {
				s := NewSilence(at(-time.Hour))
				if i < acked {
					l.Acknowledge(name, at(0), false)
					s.Acknowledge("w", "boot", at(0))
				}
				if s.Verdict("w", "boot", at(Term-1)) == wire.SilenceDenied {
					denials++
				}
			}
			lost := denials >= n-n/2
			is.True(!lost || !l.Valid(at(Term-1)))
		}
	}
}

// TestPermitCountsAge guards against a confirmation that is older than PermitTerm.
func TestPermitCountsAge(t *testing.T) {
	is := is.New(t)
	var p StartPermit
	p.Acknowledge("a", PermitAck{SentAt: at(0), Revision: 4, StoreReachable: true, ConfirmationAge: time.Second})
	is.True(!p.Valid(at(0))) // the document is not held
	p.Hold(4, []string{"a", "b"})
	is.True(p.Valid(at(2 * time.Second)))
	is.True(!p.Valid(at(2*time.Second + 1)))
}

// TestPermitHighestRevision guards against starting under a revision that is known to be replaced.
func TestPermitHighestRevision(t *testing.T) {
	is := is.New(t)
	var p StartPermit
	p.Hold(4, []string{"a", "b"})
	p.Acknowledge("a", PermitAck{SentAt: at(0), Revision: 4, StoreReachable: true})
	is.True(p.Valid(at(0)))
	p.Learn(5)
	is.True(!p.Valid(at(0)))
	is.True(p.Behind())
	p.Acknowledge("b", PermitAck{SentAt: at(0), Revision: 4, StoreReachable: true})
	is.True(!p.Valid(at(0)))
	p.Hold(5, []string{"a", "b"})
	is.True(!p.Valid(at(0))) // revision 5 is not confirmed
	p.Hold(4, nil)
	p.Acknowledge("b", PermitAck{SentAt: at(0), Revision: 5, StoreReachable: true})
	is.True(p.Valid(at(0)))
}

// TestPermitOutage guards against starts during a store outage while an entry is missing, has the
// store, is behind, answered too long ago, or has not read the store since it started: it may have
// accepted a change before and have relearned the old revision from its peers.
func TestPermitOutage(t *testing.T) {
	outage := PermitAck{SentAt: at(0), Revision: 4, ConfirmationAge: time.Hour}
	reachable, behind, late, restarted := outage, outage, outage, outage
	reachable.StoreReachable = true
	behind.Revision = 3
	late.SentAt = at(-time.Second)
	restarted.ConfirmationAge = -1
	cases := []struct {
		name string
		ack  *PermitAck
		want bool
	}{
		{"all", &outage, true},
		{"missing", nil, false},
		{"reachable", &reachable, false},
		{"behind", &behind, false},
		{"late", &late, false},
		{"restarted", &restarted, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var p StartPermit
			p.Hold(4, []string{"a", "b"})
			p.Acknowledge("a", outage)
			if c.ack != nil {
				p.Acknowledge("b", *c.ack)
			}
			is.Equal(p.Valid(at(PermitTerm)), c.want)
		})
	}
}

// TestSilence guards against a denial by a young entry, against one within the term, and against a
// replaced VM that keeps the verdict of its predecessor.
func TestSilence(t *testing.T) {
	is := is.New(t)
	s := NewSilence(at(0))
	is.Equal(s.Verdict("w", "boot1", at(SilenceTerm-1)), wire.SilenceTooYoung)
	s.Acknowledge("w", "boot1", at(SilenceTerm))
	is.Equal(s.Verdict("w", "boot1", at(2*SilenceTerm-1)), wire.SilenceAcknowledged)
	is.Equal(s.Verdict("w", "boot2", at(2*SilenceTerm-1)), wire.SilenceDenied)
	s.Acknowledge("v", "boot", at(2*SilenceTerm))
	is.Equal(s.Verdict("w", "boot1", at(2*SilenceTerm)), wire.SilenceDenied)
	is.Equal(len(s.acks), 1)
	s.Acknowledge("w", "", at(2*SilenceTerm))
	is.Equal(s.Verdict("w", "boot1", at(3*SilenceTerm-1)), wire.SilenceAcknowledged) // any boot may hold it
}
