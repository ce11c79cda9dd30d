package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/wire"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// TestBackedAcknowledgement guards against a lease that starts at the arrival of the acknowledgement
// instead of the send time of the heartbeat.
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

// TestMajority guards against a lease that is extended by a minority of the entries, by an entry listed
// twice or by an entry that is not configured.
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

// TestHolderGivesUpFirst guards against declaring a worker lost while its lease is valid. For each number
// of entries n, any majority and any n - floor(n/2) entries have an entry in common. If that entry
// acknowledged the worker within the lease, it does not deny it.
func TestHolderGivesUpFirst(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b", "c", "d", "e", "f", "g"}
	for n := 1; n <= len(names); n++ {
		for acknowledging := 0; acknowledging <= n; acknowledging++ {
			var l WorkerLease
			l.SetEntries(names[:n])
			denials := 0
			for i, name := range names[:n] {
				s := NewSilenceDetector(at(-time.Hour))
				if i < acknowledging {
					l.Acknowledge(name, at(0), false)
					s.Acknowledge("w", "boot", at(0))
				}
				if s.Verdict("w", "boot", at(Term-1)) == wire.AckStatusNone {
					denials++
				}
			}
			lost := denials >= n-n/2
			is.True(!lost || !l.Valid(at(Term-1)))
		}
	}
}

// TestPermitCountsAge guards against ignoring the age that a confirmation already has when the heartbeat
// is sent.
func TestPermitCountsAge(t *testing.T) {
	is := is.New(t)
	var p StartPermit
	p.Acknowledge("a", PermitAck{SentAt: at(0), Revision: 4, StoreReachable: true, ConfirmationAge: time.Second})
	is.True(!p.Valid(at(0))) // the agent does not hold the document
	p.SetDocument(4, []string{"a", "b"})
	is.True(p.Valid(at(2 * time.Second)))
	is.True(!p.Valid(at(2*time.Second + 1)))
}

// TestPermitHighestRevision guards against starting tasks under a revision when a higher one is known to
// exist.
func TestPermitHighestRevision(t *testing.T) {
	is := is.New(t)
	var p StartPermit
	p.SetDocument(4, []string{"a", "b"})
	p.Acknowledge("a", PermitAck{SentAt: at(0), Revision: 4, StoreReachable: true})
	is.True(p.Valid(at(0)))
	p.ObserveRevision(5)
	is.True(!p.Valid(at(0)))
	is.True(p.Outdated())
	p.Acknowledge("b", PermitAck{SentAt: at(0), Revision: 4, StoreReachable: true})
	is.True(!p.Valid(at(0)))
	p.SetDocument(5, []string{"a", "b"})
	is.True(!p.Valid(at(0))) // revision 5 is not confirmed
	p.SetDocument(4, nil)
	p.Acknowledge("b", PermitAck{SentAt: at(0), Revision: 5, StoreReachable: true})
	is.True(p.Valid(at(0)))
}

// TestPermitOutage guards against starting tasks during a store outage while an entry has not answered,
// reaches the store, has a lower revision, answered too long ago, or has not read the store since it
// started. An entry may have accepted a change before its restart and then have received the old revision
// from its peers.
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
			p.SetDocument(4, []string{"a", "b"})
			p.Acknowledge("a", outage)
			if c.ack != nil {
				p.Acknowledge("b", *c.ack)
			}
			is.Equal(p.Valid(at(PermitTerm)), c.want)
		})
	}
}

// TestSilence guards against a denial by an entry that started less than SilenceTerm ago, a denial within
// SilenceTerm of an acknowledgement, and a verdict on a new boot of a worker that counts acknowledgements
// to the boot of the VM that it replaced.
func TestSilence(t *testing.T) {
	is := is.New(t)
	s := NewSilenceDetector(at(0))
	is.Equal(s.Verdict("w", "boot1", at(SilenceTerm-1)), wire.AckStatusUptimeTooShort)
	s.Acknowledge("w", "boot1", at(SilenceTerm))
	is.Equal(s.Verdict("w", "boot1", at(2*SilenceTerm-1)), wire.AckStatusRecent)
	is.Equal(s.Verdict("w", "boot2", at(2*SilenceTerm-1)), wire.AckStatusNone)
	s.Acknowledge("v", "boot", at(2*SilenceTerm))
	is.Equal(s.Verdict("w", "boot1", at(2*SilenceTerm)), wire.AckStatusNone)
	is.Equal(len(s.acks), 1)
	s.Acknowledge("w", "", at(2*SilenceTerm))
	is.Equal(s.Verdict("w", "boot1", at(3*SilenceTerm-1)), wire.AckStatusRecent) // no boot ID: counts for any boot
}
