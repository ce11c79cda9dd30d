package operator

import (
	"fmt"

	"github.com/pkg/errors"

	"clementineflow/internal/configuration"
)

// DocumentMutations implements Mutations. It checks only the document itself, not the state of the
// region such as its workers and tasks.
type DocumentMutations struct{}

var _ Mutations = DocumentMutations{}

func requireDocument(d *configuration.Document) error {
	if d.Revision == 0 {
		return Errorf(CodeNoConfiguration, "the region has no configuration; apply one with revision 0")
	}
	return nil
}

// CreateZone adds a zone. The mutation fails with CodeZoneExists if the name is taken.
func (DocumentMutations) CreateZone(zone configuration.Zone) Mutation {
	return translateErrors(configuration.CreateZone(zone), CodeZoneExists, "zone %q", zone.Name)
}

// SetZoneService takes a zone out of service or puts it back into service.
func (DocumentMutations) SetZoneService(name string, outOfService bool, reason string) Mutation {
	return translateErrors(configuration.SetZoneService(name, outOfService, reason), CodeZoneExists, "zone %q", name)
}

// DeleteZone removes a zone that is out of service. The mutation fails with CodeZoneInUse if the zone
// is in service.
func (DocumentMutations) DeleteZone(name string) Mutation {
	return translateErrors(configuration.DeleteZone(name), CodeZoneExists, "zone %q", name)
}

// CreateService adds a service of an existing team. The mutation fails with CodeServiceExists if the
// name is taken.
func (DocumentMutations) CreateService(service configuration.Service) Mutation {
	return translateErrors(configuration.CreateService(service), CodeServiceExists, "service %q", service.Name)
}

// DeleteService removes a service. The mutation fails with CodeServiceNotFound if there is none with
// the name.
func (DocumentMutations) DeleteService(name string) Mutation {
	return translateErrors(configuration.DeleteService(name), CodeServiceExists, "service %q", name)
}

// translateErrors turns the errors of internal/configuration into *Error. exists is the code for a
// name that is already taken. subjectFormat is the format of the changed object in the error texts,
// with one verb for name.
func translateErrors(mutation configuration.Mutation, exists Code, subjectFormat string, name string) Mutation {
	return func(d *configuration.Document) error {
		if err := requireDocument(d); err != nil {
			return err
		}
		err := mutation(d)
		subject := fmt.Sprintf(subjectFormat, name)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, configuration.ErrDuplicate):
			return Errorf(exists, "%s exists", subject)
		case errors.Is(err, configuration.ErrUnknownTeam):
			return Errorf(CodeUnknownTeam, "the team of %s does not exist", subject)
		case errors.Is(err, configuration.ErrUnknownZone):
			return Errorf(CodeZoneNotFound, "%s does not exist", subject)
		case errors.Is(err, configuration.ErrUnknownService):
			return Errorf(CodeServiceNotFound, "%s does not exist", subject)
		case errors.Is(err, configuration.ErrInService):
			return Errorf(CodeZoneInUse, "%s is in service; take it out of service first", subject)
		default:
			return Errorf(CodeInvalidSpecification, "%s: %s", subject, err.Error())
		}
	}
}

// Replace replaces the region, entries, zones, teams, services and weights. The mutation fails with
// CodeConflict if the replacement is based on another revision than the current one.
func (DocumentMutations) Replace(replacement configuration.Document) Mutation {
	return func(d *configuration.Document) error {
		if d.Revision != replacement.Revision {
			return &Error{
				Code: CodeConflict, CurrentRevision: d.Revision,
				Message: "the configuration is based on another revision than the current one; read it again",
			}
		}
		next := replacement.Clone()
		d.Region, d.Entries, d.Zones, d.Teams, d.Services = next.Region, next.Entries, next.Zones, next.Teams, next.Services
		d.Weights = next.Weights
		return nil
	}
}
