package entry

import (
	"net"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/frontend"
	"clementineflow/internal/ingress"
	"clementineflow/internal/operator"
)

// Shares of the listeners in the budget and the connections of an entry, in sixteenths. Their sum is 16. The frames of
// links get as much as callers, since each request passes a link.
const (
	callerShare   = 6
	linkShare     = 6
	operatorShare = 3
	metricsShare  = 1
)

const (
	// fallbackLinkShare and fallbackMetricsShare are shares of the fallback budget, in which callers and operators are
	// not counted.
	fallbackLinkShare    = 12
	fallbackMetricsShare = 4
	// firstMessageBytes bounds the first message on a link: the hello of an agent with the status of all its tasks.
	firstMessageBytes = 1 << 20
	// limitedWriteTimeout bounds the time to write an answer, which is not counted in the budget: 3 MiB at 2.5 Mbit/s.
	limitedWriteTimeout = 10 * time.Second
	// tlsBytes is the memory of a TLS connection: its records in both directions.
	tlsBytes = 32 << 10
)

// newIngress returns the limits of incoming connections. Without a memory limit they are the fallback.
func newIngress(config *Config) *ingress.Ingress {
	if config.Memory > 0 {
		return ingress.New(ingress.DeriveLimits(config.Memory, config.OpenFiles), config.Logger)
	}
	return ingress.New(ingress.DeriveLimits(0, 0), config.Logger)
}

// listen opens a TCP listener.
func (e *Entry) listen(address string) (net.Listener, error) {
	open := net.Listen
	if e.config.Memory > 0 {
		open = ingress.Listen
	}
	listener, err := open("tcp", address)
	return listener, errors.Wrap(err, "entry: listen")
}

// bound returns a listener within its share of the limits of the process. Without a memory limit, only the
// connections are bounded, and only if the limit of descriptors is known.
func (e *Entry) bound(inner net.Listener, limits ingress.ListenerConfig) net.Listener {
	c := &e.config
	switch {
	case c.Memory > 0:
		if c.ServerTLS != nil {
			limits.ConnBytes += tlsBytes
		}
	case c.OpenFiles > 0:
		limits.AnyConns, limits.MaxConns = true, ingress.FileConns(c.OpenFiles, limits.Share)
	default:
		return inner
	}
	return e.ingress.Bound(inner, limits)
}

func (e *Entry) boundCallers(inner net.Listener) net.Listener {
	limits := frontend.ListenerConfig()
	limits.Share = callerShare
	return e.bound(inner, limits)
}

func (e *Entry) boundOperators(inner net.Listener) net.Listener {
	limits := operator.ListenerConfig()
	limits.Share = operatorShare
	return e.bound(inner, limits)
}

// boundLinks returns the links' listener. Its frames always count in a budget. Without limits the number of links is
// not bounded, since each agent of the region has one.
func (e *Entry) boundLinks(inner net.Listener) *ingress.Listener {
	limits := ingress.ListenerConfig{Name: "links", Share: linkShare, HoldsLinks: true}
	if e.config.Memory == 0 {
		limits = ingress.ListenerConfig{Name: "links", Share: fallbackLinkShare, AnyConns: true}
		if e.config.OpenFiles > 0 {
			limits.MaxConns = ingress.FileConns(e.config.OpenFiles, linkShare)
		}
	} else if e.config.ServerTLS != nil {
		limits.ConnBytes = tlsBytes
	}
	return e.ingress.Bound(inner, limits)
}

// boundMetrics returns the listener of the metrics, whose connections are always bounded.
func (e *Entry) boundMetrics(inner net.Listener) *ingress.Listener {
	if bounded, ok := e.bound(inner, ingress.ListenerConfig{Name: "metrics", Share: metricsShare}).(*ingress.Listener); ok {
		return bounded
	}
	return e.ingress.Bound(inner, ingress.ListenerConfig{Name: "metrics", Share: fallbackMetricsShare})
}
