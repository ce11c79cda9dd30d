package agent

import (
	"net"
	"net/netip"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"clementineflow/internal/link"
	"clementineflow/internal/runtime"
)

// ErrConfig reports a Config that is incomplete or invalid.
var ErrConfig = errors.New("agent: invalid configuration")

// Config holds the settings and dependencies of an Agent.
type Config struct {
	// Name is the worker's name.
	Name string
	// Region, Zone and Rack are the worker's location; Rack may be empty.
	Region, Zone, Rack string
	// Entries lists the link addresses of the seed entries. Other entries are discovered from them.
	Entries []string
	// TargetListen is the loopback IP address and port of the HTTP server for target announcements.
	// The server is not started if it is empty.
	TargetListen string
	// Listen opens the listener for target announcements within the limits of the process. A nil function sets none.
	Listen func(address string) (net.Listener, error)
	// Limits bounds the admitted work; the zero value sets no bound.
	Limits  Limits
	Dialer  link.Dialer
	Runtime runtime.Runtime
	Logger  *log.Logger
}

// validate returns ErrConfig if the configuration cannot be used.
func (c Config) validate() error {
	switch {
	case c.Name == "" || c.Region == "" || c.Zone == "":
		return errors.Wrap(ErrConfig, "name, region and zone are required")
	case len(c.Entries) == 0:
		return errors.Wrap(ErrConfig, "at least one entry is required")
	case c.Dialer == nil || c.Runtime == nil || c.Logger == nil:
		return errors.Wrap(ErrConfig, "dialer, runtime and logger are required")
	}
	return c.validateTargetListen()
}

// validateTargetListen returns ErrConfig unless the address is empty or a loopback address.
// Announcements are not authenticated, so other hosts must not be able to send them.
func (c Config) validateTargetListen() error {
	if c.TargetListen == "" {
		return nil
	}
	address, err := netip.ParseAddrPort(c.TargetListen)
	if err != nil || !address.Addr().IsLoopback() {
		return errors.Wrapf(ErrConfig, "target listen address %q is not a loopback IP address and port", c.TargetListen)
	}
	return nil
}
