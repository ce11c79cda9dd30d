package operator

import "clementineflow/internal/configuration"

// Mutation changes a configuration document in place. It has no other side effects and may run several
// times. If it returns an error, the state of the document is unspecified.
type Mutation func(*configuration.Document) error

// Mutations creates the mutations for the configuration changes of the operator interface. The
// mutations return errors of type *Error.
type Mutations interface {
	CreateZone(zone configuration.Zone) Mutation
	SetZoneService(name string, outOfService bool, reason string) Mutation
	DeleteZone(name string) Mutation
	CreateService(service configuration.Service) Mutation
	DeleteService(name string) Mutation
	// Replace replaces all operator-set fields. The mutation fails with CodeConflict unless the
	// replacement has the revision of the document.
	Replace(replacement configuration.Document) Mutation
}
