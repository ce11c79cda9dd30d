package main

import (
	"net"

	"github.com/pkg/errors"

	"clementineflow/internal/ingress"
)

// Shares of the listeners of an agent in its budget and connections, in sixteenths. Their sum is 16.
const (
	agentTargetShare  = 12
	agentMetricsShare = 4
)

// agentIngress holds the limits of the listeners of an agent.
type agentIngress struct {
	*ingress.Ingress
	process *process
}

// newAgentIngress returns the limits of the settings. Without them, only the metrics are bounded.
func newAgentIngress(p *process) *agentIngress {
	limits := ingress.DeriveLimits(agentMemoryLimit, 0)
	if memory := p.settings.Limits.MemoryBytes; memory > 0 {
		limits = ingress.DeriveLimits(memory, p.settings.Limits.OpenFiles)
	}
	return &agentIngress{Ingress: ingress.New(limits, p.logger), process: p}
}

// listenMetrics opens the metrics listener, whose connections are always bounded.
func (i *agentIngress) listenMetrics() (net.Listener, error) {
	listener, err := i.listen(i.process.settings.Listen.Metrics)
	if err != nil {
		return nil, errors.Wrap(err, "listen for metrics")
	}
	limits := ingress.ListenerConfig{Name: "metrics", Share: agentMetricsShare}
	set := i.process.settings.Limits
	if set.MemoryBytes == 0 && set.OpenFiles > 0 {
		limits.AnyConns, limits.MaxConns = true, ingress.FileConns(set.OpenFiles, agentMetricsShare)
	}
	return i.Bound(listener, limits), nil
}

// listenTargets opens the targets' listener. Without limits in the settings, only its server bounds the connections.
func (i *agentIngress) listenTargets(address string) (net.Listener, error) {
	inner, err := i.listen(address)
	if err != nil {
		return nil, err
	}
	limits := ingress.ListenerConfig{Name: "targets", Share: agentTargetShare}
	set := i.process.settings.Limits
	switch {
	case set.MemoryBytes > 0:
	case set.OpenFiles > 0:
		limits.AnyConns, limits.MaxConns = true, ingress.FileConns(set.OpenFiles, agentTargetShare)
	default:
		return inner, nil
	}
	return i.Bound(inner, limits), nil
}

// listen opens a listener. With a memory limit its connections have a small receive buffer, which the budget assumes.
func (i *agentIngress) listen(address string) (net.Listener, error) {
	if i.process.settings.Limits.MemoryBytes > 0 {
		return ingress.Listen("tcp", address)
	}
	return net.Listen("tcp", address)
}
