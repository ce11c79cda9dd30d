package gateway

import (
	"context"
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"clementineflow/internal/job"
	"clementineflow/internal/link"
	"clementineflow/internal/wire"
)

// recordingLocal is the coordinator component of an entry that records notices and knows each job.
type recordingLocal struct {
	Local
	notices int
}

// NotifyStored implements Local.
func (r *recordingLocal) NotifyStored(string, []byte) bool {
	r.notices++
	return true
}

// State implements Local.
func (*recordingLocal) State(context.Context, string) (job.State, bool, error) {
	return job.StateRunning, true, nil
}

// doneStores is a StoreServer whose calls all succeed.
type doneStores struct{}

// Serve implements StoreServer.
func (doneStores) Serve(_ context.Context, conn link.Conn, call *wire.StoreCall) {
	_ = conn.Send(&wire.StoreReply{Sequence: call.Sequence, Outcome: wire.StoreDone})
}

// TestUntrustedPeersOnlyAsk guards against a caller on the link listener that has an entry make store calls, or that notifies
// it of jobs that nobody has submitted.
func TestUntrustedPeersOnlyAsk(t *testing.T) {
	is := is.New(t)
	local, token := &recordingLocal{}, &link.Token{}
	p := NewPeer("coordinator", local, doneStores{}, nil, log.New(io.Discard))
	p.Authenticate(token)
	near, far := link.Pipe()
	go p.Serve(t.Context(), far)
	ask := func(message wire.Message) wire.Message {
		is.NoErr(near.Send(message))
		reply, err := near.Receive()
		is.NoErr(err)
		return reply
	}
	call := func() wire.StoreOutcome {
		return ask(&wire.StoreCall{Operation: wire.StoreList}).(*wire.StoreReply).Outcome
	}
	notify := func() { is.NoErr(near.Send(&wire.InputNotice{Key: "in/job/a"})) }

	ask(&wire.PeerPing{}) // the token is not known yet
	is.Equal(call(), wire.StoreNotApplied)
	token.Set("secret")
	ask(&wire.PeerPing{Token: "guess"})
	is.Equal(call(), wire.StoreNotApplied)
	notify()
	is.True(ask(&wire.JobQuery{ID: "a"}).(*wire.JobReply).Known)
	is.Equal(local.notices, 0)

	is.Equal(ask(&wire.PeerPing{Sequence: 7, Token: "secret"}).(*wire.PeerPing).Token, "") // not sent back
	is.Equal(call(), wire.StoreDone)
	notify()
	is.Equal(call(), wire.StoreDone)
	is.Equal(local.notices, 1)
}
