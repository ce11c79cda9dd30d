package operator

import "clementineflow/internal/configuration"

// Mutation changes a configuration document in place. It is pure, may run several times, and leaves
// the document in an unspecified state if it returns an error.
type Mutation func(*configuration.Document) error

// Mutations makes the changes that operators ask for. Errors of the mutations are *Error.
type Mutations interface {
	CreateZone(zone configuration.Zone) Mutation
	SetZoneService(name string, outOfService bool, reason string) Mutation
	DeleteZone(name string) Mutation
	CreateService(service configuration.Service) Mutation
	DeleteService(name string) Mutation
	// Replace replaces everything that operators set. It fails with CodeConflict unless the revision
	// of the replacement is that of the document.
	Replace(replacement configuration.Document) Mutation
}
