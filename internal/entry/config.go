// Package entry assembles and runs the entry daemon from its modules.
package entry

import (
	"crypto/tls"
	"time"

	"github.com/charmbracelet/log"
	"google.golang.org/grpc"

	"clementineflow/internal/link"
	"clementineflow/internal/replay"
	"clementineflow/internal/store"
)

// Config holds the settings and dependencies of an Entry.
type Config struct {
	Name, Region, Zone string
	// Callers, Operators, Links and Metrics are the listen addresses (IP address and port) for callers,
	// operators, agents and other entries, and the metrics server. An empty Metrics disables that server.
	Callers, Operators, Links, Metrics string
	// AdvertisedOperators and AdvertisedLinks are the addresses that other processes dial.
	AdvertisedOperators, AdvertisedLinks string
	Store                                store.Store
	Dialer                               link.Dialer
	// ServerTLS returns the TLS configuration of a listener for the given ALPN protocols. A nil function
	// means plaintext.
	ServerTLS func(protocols ...string) *tls.Config
	// OperatorDial returns the dial options for another entry's operator address.
	OperatorDial func(address string) []grpc.DialOption
	// StopTimeout limits the time for draining and closing the caller server in a graceful stop.
	StopTimeout time.Duration
	Logger      *log.Logger
	// Memory is the memory limit of the process in bytes and OpenFiles its limit of descriptors. A limit that is zero
	// is not known.
	Memory    int64
	OpenFiles int
	// Seed seeds the random choices of routing and scheduling.
	Seed uint64
	// Recorder records the inputs of the entry for replay; nil disables recording.
	Recorder *replay.Recorder
}

// serverTLS returns the TLS configuration of a listener, or nil for plaintext.
func (c *Config) serverTLS(protocols ...string) *tls.Config {
	if c.ServerTLS == nil {
		return nil
	}
	return c.ServerTLS(protocols...)
}
