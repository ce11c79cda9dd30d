package operator

import (
	"bytes"
	"slices"

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
	return func(d *configuration.Document) error {
		if err := requireDocument(d); err != nil {
			return err
		}
		if _, exists := d.Zone(zone.Name); exists {
			return Errorf(CodeZoneExists, "zone %q exists", zone.Name)
		}
		d.Zones = append(slices.Clone(d.Zones), zone)
		return nil
	}
}

// SetZoneService takes a zone out of service or brings it back.
func (DocumentMutations) SetZoneService(name string, outOfService bool, reason string) Mutation {
	return func(d *configuration.Document) error {
		if err := requireDocument(d); err != nil {
			return err
		}
		index := slices.IndexFunc(d.Zones, func(z configuration.Zone) bool { return z.Name == name })
		if index < 0 {
			return Errorf(CodeZoneNotFound, "zone %q does not exist", name)
		}
		d.Zones = slices.Clone(d.Zones)
		d.Zones[index].OutOfService = outOfService
		d.Zones[index].Reason = reason
		return nil
	}
}

// CreateService adds a service of an existing team.
func (DocumentMutations) CreateService(service configuration.Service) Mutation {
	return func(d *configuration.Document) error {
		if err := requireDocument(d); err != nil {
			return err
		}
		if _, exists := d.Service(service.Name); exists {
			return Errorf(CodeServiceExists, "service %q exists", service.Name)
		}
		if _, ok := d.Team(service.Team); !ok {
			return Errorf(CodeUnknownTeam, "team %q does not exist", service.Team)
		}
		d.Services = append(slices.Clone(d.Services), service)
		return nil
	}
}

// DeleteService removes a service.
func (DocumentMutations) DeleteService(name string) Mutation {
	return func(d *configuration.Document) error {
		if err := requireDocument(d); err != nil {
			return err
		}
		index := slices.IndexFunc(d.Services, func(s configuration.Service) bool { return s.Name == name })
		if index < 0 {
			return Errorf(CodeServiceNotFound, "service %q does not exist", name)
		}
		d.Services = slices.Delete(slices.Clone(d.Services), index, index+1)
		return nil
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
