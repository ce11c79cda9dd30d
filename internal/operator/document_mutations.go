package operator

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"clementineflow/internal/configuration"
)

// DocumentMutations implements Mutations without further checks of the region's state.
type DocumentMutations struct{}

var _ Mutations = DocumentMutations{}

func requireDocument(d *configuration.Document) error {
	if d.Revision == 0 {
		return Errorf(CodeNoConfiguration, "the region has no configuration; apply one with revision 0")
	}
	return nil
}

// CreateZone adds a zone.
func (DocumentMutations) CreateZone(zone configuration.Zone) Mutation {
	return translate(configuration.CreateZone(zone), CodeZoneExists, "zone %q", zone.Name)
}

// SetZoneService takes a zone out of service or brings it back.
func (DocumentMutations) SetZoneService(name string, outOfService bool, reason string) Mutation {
	return translate(configuration.SetZoneService(name, outOfService, reason), CodeZoneExists, "zone %q", name)
}

// DeleteZone removes a zone that is out of service.
func (DocumentMutations) DeleteZone(name string) Mutation {
	return translate(configuration.DeleteZone(name), CodeZoneExists, "zone %q", name)
}

// CreateService adds a service of an existing team.
func (DocumentMutations) CreateService(service configuration.Service) Mutation {
	return translate(configuration.CreateService(service), CodeServiceExists, "service %q", service.Name)
}

// DeleteService removes a service.
func (DocumentMutations) DeleteService(name string) Mutation {
	return translate(configuration.DeleteService(name), CodeServiceExists, "service %q", name)
}

// translate turns the errors of a mutation into errors of this interface; exists is the code for a
// name that is taken. The subject names what is changed.
func translate(mutation configuration.Mutation, exists Code, subject string, name string) Mutation {
	return func(d *configuration.Document) error {
		if err := requireDocument(d); err != nil {
			return err
		}
		err := mutation(d)
		subject := fmt.Sprintf(subject, name)
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

// Replace replaces entries, zones, teams, services and weights.
func (DocumentMutations) Replace(replacement configuration.Document) Mutation {
	return func(d *configuration.Document) error {
		if d.Revision != replacement.Revision {
			return &Error{
				Code: CodeConflict, CurrentRevision: d.Revision,
				Message: "the configuration is based on another revision than the current one; read it again",
			}
		}
		d.Region = replacement.Region
		d.Entries = slices.Clone(replacement.Entries)
		d.Zones = slices.Clone(replacement.Zones)
		d.Teams = slices.Clone(replacement.Teams)
		d.Services = slices.Clone(replacement.Services)
		for i := range d.Services {
			d.Services[i].Payload = bytes.Clone(d.Services[i].Payload)
		}
		d.Weights = replacement.Weights
		return nil
	}
}
