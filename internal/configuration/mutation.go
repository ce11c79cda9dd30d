package configuration

import (
	"bytes"
	"slices"
)

// Mutation changes a document in place, or returns an error and leaves its use to nobody: the caller
// discards the document. Mutations are pure and may be run again on another document.
type Mutation = func(*Document) error

// CreateZone adds an availability zone, or returns ErrDuplicate.
func CreateZone(zone Zone) Mutation {
	return func(document *Document) error {
		if zone.Name == "" {
			return fault("zones.name", ErrMissing)
		}
		if _, exists := document.Zone(zone.Name); exists {
			return fault("zones["+zone.Name+"]", ErrDuplicate)
		}
		document.Zones = append(document.Zones, zone)
		return nil
	}
}

// SetZoneService takes a zone out of service or brings it back, or returns ErrUnknownZone.
func SetZoneService(name string, outOfService bool, reason string) Mutation {
	return func(document *Document) error {
		index := slices.IndexFunc(document.Zones, func(zone Zone) bool { return zone.Name == name })
		if index < 0 {
			return fault("zones["+name+"]", ErrUnknownZone)
		}
		document.Zones[index].OutOfService = outOfService
		document.Zones[index].Reason = reason
		return nil
	}
}

// DeleteZone removes a zone, or returns ErrUnknownZone, or ErrInService if it is not out of service.
func DeleteZone(name string) Mutation {
	return func(document *Document) error {
		zone, exists := document.Zone(name)
		if !exists {
			return fault("zones["+name+"]", ErrUnknownZone)
		}
		if !zone.OutOfService {
			return fault("zones["+name+"]", ErrInService)
		}
		document.Zones = slices.DeleteFunc(document.Zones, func(zone Zone) bool { return zone.Name == name })
		return nil
	}
}

// CreateService adds a service, or returns ErrDuplicate or ErrUnknownTeam.
func CreateService(service Service) Mutation {
	return func(document *Document) error {
		path := "services[" + service.Name + "]"
		if _, exists := document.Service(service.Name); exists {
			return fault(path, ErrDuplicate)
		}
		if _, exists := document.Team(service.Team); !exists {
			return fault(path+".team", ErrUnknownTeam)
		}
		added := service
		added.Payload = bytes.Clone(service.Payload)
		document.Services = append(document.Services, added)
		return nil
	}
}

// DeleteService removes a service, or returns ErrUnknownService.
func DeleteService(name string) Mutation {
	return func(document *Document) error {
		before := len(document.Services)
		document.Services = slices.DeleteFunc(document.Services, func(service Service) bool {
			return service.Name == name
		})
		if len(document.Services) == before {
			return fault("services["+name+"]", ErrUnknownService)
		}
		return nil
	}
}

// ReplaceAll replaces entries, zones, teams, services and weights by those of replacement. If
// expected is not zero and is not the document's revision, it returns a ConflictError.
func ReplaceAll(replacement *Document, expected uint64) Mutation {
	return func(document *Document) error {
		if expected != 0 && expected != document.Revision {
			return &ConflictError{Current: document.Revision}
		}
		if replacement.Region != "" && replacement.Region != document.Region {
			return fault("region", ErrRegion)
		}
		copied := replacement.Clone()
		document.Entries = copied.Entries
		document.Zones = copied.Zones
		document.Teams = copied.Teams
		document.Services = copied.Services
		document.Weights = copied.Weights
		return nil
	}
}

func fault(path string, cause error) error { return &FaultError{Path: path, Cause: cause} }
