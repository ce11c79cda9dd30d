package coordinator

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"clementineflow/internal/link"
	"clementineflow/internal/planner"
	"clementineflow/internal/wire"
)

// TestNoStartAfterTheTerm guards against a coordinator that was paused with decided orders in hand and sends
// them after another one may have taken over: pings that waited in the socket make them look fresh.
func TestNoStartAfterTheTerm(t *testing.T) {
	is := is.New(t)
	now := time.Minute
	term := newTerm(Config{Now: func() time.Duration { return now }, Logger: log.New(io.Discard)}, 1, 1, now+time.Second)
	near, far := link.Pipe()
	s := &session{term: term, name: "agent"}
	s.conn.Store(&near)
	term.sessions["agent"] = s
	start := planner.Order{Agent: "agent", Message: &wire.StartRun{Task: "a.0.0.0", Run: 1}}
	stop := planner.Order{Agent: "agent", Message: &wire.StopRun{Task: "a.0.0.0", Run: 1}}

	term.send(start)
	message, err := far.Receive()
	is.NoErr(err)
	is.Equal(message.Kind(), wire.KindStartRun)

	now += 5 * time.Second
	term.send(start)
	term.send(stop)
	message, err = far.Receive()
	is.NoErr(err)
	is.Equal(message.Kind(), wire.KindStopRun) // a stop does no harm
}
