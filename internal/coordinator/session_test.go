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

// TestNoStartAfterTheTerm guards against a coordinator that is paused with unsent start orders and sends them
// after another one may have taken over. Pings queued in the socket would make these orders look recent.
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

	term.sendOrder(start)
	message, err := far.Receive()
	is.NoErr(err)
	is.Equal(message.Kind(), wire.KindStartRun)

	now += 5 * time.Second
	term.sendOrder(start)
	term.sendOrder(stop)
	message, err = far.Receive()
	is.NoErr(err)
	is.Equal(message.Kind(), wire.KindStopRun) // stop orders are sent: they are always safe
}
