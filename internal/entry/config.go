// Package entry wires the modules of the entry daemon.
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
	// Listen addresses as IP address and port; Metrics may be empty.
	Callers, Operators, Links, Metrics string
	// AdvertisedOperators and AdvertisedLinks are the addresses that other processes dial.
	AdvertisedOperators, AdvertisedLinks string
	Store                                store.Store
	Dialer                               link.Dialer
	// ServerTLS returns the TLS configuration of a listener for the ALPN protocols; nil for plaintext.
	ServerTLS func(protocols ...string) *tls.Config
	// OperatorDial returns the dial options for another entry's operator address.
	OperatorDial func(address string) []grpc.DialOption
	// StopTimeout bounds the graceful stop.
	StopTimeout time.Duration
	Logger      *log.Logger
	// Seed seeds the random choices of routing and scheduling.
	Seed uint64
	// Recorder records the inputs of the entry; nil if no trace is asked for.
	Recorder *replay.Recorder
}

// serverTLS returns the TLS configuration of a listener, or nil.
func (c *Config) serverTLS(protocols ...string) *tls.Config {
	if c.ServerTLS == nil {
		return nil
	}
	return c.ServerTLS(protocols...)
}
