package entry

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"clementineflow/internal/configuration"
	"clementineflow/internal/controller"
	"clementineflow/internal/fleet"
	"clementineflow/internal/frontend"
	"clementineflow/internal/link"
	"clementineflow/internal/membership"
	"clementineflow/internal/operator"
	"clementineflow/internal/shard"
	"clementineflow/internal/wire"
)

// Entry is the entry daemon.
type Entry struct {
	config     Config
	member     *membership.Member
	follower   *configuration.Follower
	manager    *shard.Manager
	hub        *fleet.Hub
	frontend   *frontend.Frontend
	controller *controller.Controller
	operator   *operator.Server
	forwarder  *operator.ConnectionForwarder
	links      *link.Server
}

// New returns an entry that serves nothing before Run.
func New(config Config) (*Entry, error) {
	e, err := newControl(config)
	if err != nil {
		return nil, errors.Wrap(err, "entry")
	}
	if err := e.buildOperator(); err != nil {
		return nil, errors.Wrap(err, "entry")
	}
	e.links = link.NewServer(e.hub.Serve)
	return e, nil
}

// newControl builds the parts of an entry that need no network listener.
func newControl(config Config) (*Entry, error) {
	e := &Entry{config: config}
	e.buildState()
	return e, e.buildFleet()
}

// buildState creates what keeps the durable state.
func (e *Entry) buildState() {
	c := &e.config
	e.follower = configuration.NewFollower(configuration.Config{Region: c.Region, Store: c.Store, Logger: c.Logger})
	e.member = membership.New(membership.Config{
		Region: c.Region,
		Self: membership.Entry{
			EntryAddress: wire.EntryAddress{
				Name: c.Name, LinkAddress: c.AdvertisedLinks, OperatorAddress: c.AdvertisedOperators,
			},
			Zone: c.Zone,
		},
		Store:  c.Store,
		Known:  e.configuredEntries,
		Logger: c.Logger,
	})
	e.manager = shard.NewManager(shard.Config{Region: c.Region, Store: c.Store, Members: e.member, Logger: c.Logger})
}

// configuredEntries returns the names of the region's entries, or nil if they are not known.
func (e *Entry) configuredEntries() []string {
	document := e.follower.Document()
	if document == nil {
		return nil
	}
	return document.Entries
}

// buildFleet creates the links' hub and its two handlers.
func (e *Entry) buildFleet() error {
	c := &e.config
	var err error
	e.hub, err = fleet.New(fleet.Config{
		Name: c.Name, Region: c.Region, Zone: c.Zone, Incarnation: e.member.Self().Incarnation,
		Status: status{member: e.member, follower: e.follower},
		Dialer: c.Dialer, Logger: c.Logger, Changes: e.follower.Subscribe(),
	})
	if err != nil {
		return err
	}
	e.frontend, err = frontend.New(frontend.Config{
		Zone: c.Zone, Hub: e.hub, Document: e.follower.Document, Logger: c.Logger, Seed: c.Seed,
		Arrived: e.arrived(),
	})
	if err != nil {
		return err
	}
	e.controller = controller.New(controller.Config{
		Entry: c.Name, Shards: shards{e.manager}, Fleet: workers{e.hub}, Document: e.follower.Document,
		ShardOf: shard.ForTask, ShardCount: shard.Count, Logger: c.Logger, Seed: c.Seed,
	})
	if c.Recorder != nil {
		e.hub.Register(recording{c.Recorder})
	}
	e.hub.Register(e.frontend)
	e.hub.Register(controllerHandler{e.controller})
	return nil
}

// buildOperator creates the operators' gRPC server.
func (e *Entry) buildOperator() error {
	c := &e.config
	e.forwarder = operator.NewConnectionForwarder(c.OperatorDial)
	var options []grpc.ServerOption
	if tlsConfig := c.serverTLS("h2"); tlsConfig != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(tlsConfig)))
	}
	var err error
	e.operator, err = operator.New(operator.Config{
		Name: c.Name, Region: c.Region,
		Tasks:         tasks{e.controller, c.Recorder},
		Configuration: changes{e.follower},
		Fleet:         operatorFleet{e.hub},
		Entries:       directory{member: e.member, manager: e.manager},
		Mutations:     operator.DocumentMutations{},
		Forwarder:     e.forwarder,
		Logger:        c.Logger,
		Options:       options,
	})
	return err
}

// listen opens a listener, with TLS if it is configured.
func (e *Entry) listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	return listener, errors.Wrap(err, "entry: listen")
}

// ready returns nil if the entry can serve callers.
func (e *Entry) ready() error {
	if e.follower.Document() == nil {
		return errors.New("configuration not known")
	}
	return nil
}

// hubDrainDelay lets the last answers leave the process before the links are closed.
const hubDrainDelay = 100 * time.Millisecond

// callerDrainDelay is how long a stopping entry still answers its callers, so that kept connections end
// with an answer and the balancer's probes see that the entry drains.
const callerDrainDelay = time.Second

// waitOrDone waits for the duration or the end of the context.
func waitOrDone(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
