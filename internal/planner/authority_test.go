package planner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/wire"
)

// TestInheritedAuthorityIsExtendedByAcknowledgements guards against tasks that are moved while they run, because the
// authority that a former term had told of is counted although this term has acknowledged a ping since (TWICE).
func TestInheritedAuthorityIsExtendedByAcknowledgements(t *testing.T) {
	is := is.New(t)
	const start = time.Minute
	lasts := testTiming.Authority + testTiming.Margin
	p := New(testTiming, start)
	p.InheritAuthorities(map[string]time.Duration{"silent": start + time.Second, "linked": start + time.Second})
	for _, name := range []string{"silent", "linked", "unknown"} {
		p.HandleReport(&wire.AgentReport{Agent: name})
	}
	p.HandleDisconnect("silent", 0)
	p.HandleDisconnect("linked", start+2*time.Second)
	p.HandleDisconnect("unknown", 0)
	ends := p.AuthorityEnds()
	is.Equal(ends["silent"], start+time.Second)
	is.Equal(ends["linked"], start+2*time.Second+lasts)
	is.Equal(ends["unknown"], start+lasts)
}

// TestInheritedAuthorityIsBounded guards against tasks that wait for long because of a figure that no term can have given.
func TestInheritedAuthorityIsBounded(t *testing.T) {
	is := is.New(t)
	p := New(testTiming, time.Minute)
	p.InheritAuthorities(map[string]time.Duration{"a": time.Hour})
	p.HandleReport(&wire.AgentReport{Agent: "a"})
	p.HandleDisconnect("a", 0)
	is.Equal(p.AuthorityEnds()["a"], time.Minute+testTiming.Authority+testTiming.Margin)
}
