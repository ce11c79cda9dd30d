package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"clementineflow/internal/configuration"
	"clementineflow/internal/controller"
	"clementineflow/internal/fleet"
	"clementineflow/internal/frontend"
	"clementineflow/internal/ingress"
	"clementineflow/internal/link"
	"clementineflow/internal/membership"
	"clementineflow/internal/operator"
	"clementineflow/internal/shard"
	"clementineflow/internal/wire"
)

// Entry is the entry daemon: it routes callers' requests to workers, schedules tasks and serves operators.
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
	ingress    *ingress.Ingress
}

// New returns an entry that opens no listener before Run. It fails if a module rejects its configuration.
func New(config Config) (*Entry, error) {
	e, err := newWithoutServers(config)
	if err != nil {
		return nil, errors.Wrap(err, "entry")
	}
	if err := e.buildOperator(); err != nil {
		return nil, errors.Wrap(err, "entry")
	}
	e.links = link.NewServer(e.hub.Serve)
	e.ingress = newIngress(&config)
	return e, nil
}

// newWithoutServers creates an entry without its link server and operator server. New adds them; tests run
// the entry over their own transport.
func newWithoutServers(config Config) (*Entry, error) {
	e := &Entry{config: config}
	e.buildState()
	return e, e.buildHub()
}

// buildState creates the modules that use the store: configuration follower, membership and shard manager.
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

// configuredEntries returns the names of the region's entries, or nil before the first configuration
// document is loaded.
func (e *Entry) configuredEntries() []string {
	document := e.follower.Document()
	if document == nil {
		return nil
	}
	return document.Entries
}

// buildHub creates the hub of the links and the handlers of its messages: the frontend, the controller and,
// if recording is enabled, the recorder.
func (e *Entry) buildHub() error {
	c := &e.config
	var err error
	e.hub, err = fleet.New(fleet.Config{
		Name: c.Name, Region: c.Region, Zone: c.Zone, Incarnation: e.member.Self().Incarnation,
		Status: fleetStatus{member: e.member, follower: e.follower},
		Dialer: c.Dialer, Logger: c.Logger, Changes: e.follower.Subscribe(),
	})
	if err != nil {
		return err
	}
	e.frontend, err = frontend.New(frontend.Config{
		Zone: c.Zone, Hub: e.hub, Document: e.follower.Document, Logger: c.Logger, Seed: c.Seed,
		OnArrival: e.requestRecorder(), Memory: c.Memory,
	})
	if err != nil {
		return err
	}
	e.controller = controller.New(controller.Config{
		Entry: c.Name, Shards: controllerShards{e.manager}, Fleet: controllerFleet{e.hub}, Document: e.follower.Document,
		ShardOf: shard.ForTask, ShardCount: shard.Count, Logger: c.Logger, Seed: c.Seed,
	})
	if c.Recorder != nil {
		e.hub.Register(recordingHandler{c.Recorder})
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
		Tasks:         operatorTasks{e.controller, c.Recorder},
		Configuration: operatorConfiguration{e.follower},
		Fleet:         operatorFleet{e.hub},
		Entries:       operatorEntries{member: e.member, manager: e.manager},
		Mutations:     operator.DocumentMutations{},
		Forwarder:     e.forwarder,
		Logger:        c.Logger,
		Options:       options,
	})
	return err
}

// ready returns nil if the entry can serve callers, otherwise the reason, which the metrics server reports.
func (e *Entry) ready() error {
	if e.follower.Document() == nil {
		return errors.New("configuration not known")
	}
	return nil
}

// linkDrainDelay is the delay before the links are closed on stop, so that the last replies are sent.
const linkDrainDelay = 100 * time.Millisecond

// callerDrainDelay is how long a stopping entry still responds to its callers after the last request, so
// that keep-alive connections end with a response and the load balancer's probes detect the draining.
const callerDrainDelay = time.Second

// waitOrDone waits for the duration or the end of the context.
func waitOrDone(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
