package entry

import (
	"time"

	"clementineflow/internal/configuration"
	"clementineflow/internal/membership"
	"clementineflow/internal/wire"
)

// fleetStatus implements fleet.Status over the entry registrations and the configuration follower.
type fleetStatus struct {
	member   *membership.Member
	follower *configuration.Follower
}

func (s fleetStatus) Backed() bool         { return s.member.Backed() }
func (s fleetStatus) StoreReachable() bool { return s.member.StoreReachable() }

func (s fleetStatus) ConfirmationAge() (time.Duration, bool)   { return s.follower.ConfirmationAge() }
func (s fleetStatus) Document() *configuration.Document        { return s.follower.Document() }
func (s fleetStatus) Observe(document *configuration.Document) { s.follower.Observe(document) }
func (s fleetStatus) ExpiredWithin(window time.Duration) []string {
	return s.member.ExpiredWithin(window)
}

// Entries implements fleet.Status.
func (s fleetStatus) Entries() []wire.EntryAddress {
	registered := s.member.Entries()
	addresses := make([]wire.EntryAddress, 0, len(registered))
	for _, entry := range registered {
		addresses = append(addresses, entry.EntryAddress)
	}
	return addresses
}

// RegisteredNames implements fleet.Status.
func (s fleetStatus) RegisteredNames() []string {
	registered := s.member.Entries()
	names := make([]string, 0, len(registered))
	for _, entry := range registered {
		names = append(names, entry.Name)
	}
	return names
}
