package entry

import (
	"time"

	"clementineflow/internal/configuration"
	"clementineflow/internal/membership"
	"clementineflow/internal/wire"
)

// status implements fleet.Status over the registration and the configuration.
type status struct {
	member   *membership.Member
	follower *configuration.Follower
}

func (s status) Backed() bool                                { return s.member.Backed() }
func (s status) StoreReachable() bool                        { return s.member.StoreReachable() }
func (s status) ConfirmationAge() (time.Duration, bool)      { return s.follower.ConfirmationAge() }
func (s status) Document() *configuration.Document           { return s.follower.Document() }
func (s status) Observe(document *configuration.Document)    { s.follower.Observe(document) }
func (s status) ExpiredWithin(window time.Duration) []string { return s.member.ExpiredWithin(window) }

// Entries implements fleet.Status.
func (s status) Entries() []wire.EntryAddress {
	registered := s.member.Entries()
	addresses := make([]wire.EntryAddress, 0, len(registered))
	for _, entry := range registered {
		addresses = append(addresses, entry.EntryAddress)
	}
	return addresses
}

// RegisteredNames implements fleet.Status.
func (s status) RegisteredNames() []string {
	registered := s.member.Entries()
	names := make([]string, 0, len(registered))
	for _, entry := range registered {
		names = append(names, entry.Name)
	}
	return names
}
