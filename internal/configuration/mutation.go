package configuration

import (
	"bytes"
	"slices"
)

// Mutation changes a document in place. If it returns an error, the document may be partly changed and
// the caller must discard it. Mutations have no other side effects and may be run again on another
// document.
type Mutation = func(*Document) error

// CreateZone adds an availability zone, or returns ErrDuplicate.
func CreateZone(zone Zone) Mutation {
	return func(document *Document) error {
		if zone.Name == "" {
			return fieldError("zones.name", ErrMissing)
		}
		if _, exists := document.Zone(zone.Name); exists {
			return fieldError("zones["+zone.Name+"]", ErrDuplicate)
		}
		document.Zones = append(document.Zones, zone)
		return nil
	}
}

// SetZoneService takes a zone out of service or brings it back into service, or returns
// ErrUnknownZone.
func SetZoneService(name string, outOfService bool, reason string) Mutation {
	return func(document *Document) error {
		index := slices.IndexFunc(document.Zones, func(zone Zone) bool { return zone.Name == name })
		if index < 0 {
			return fieldError("zones["+name+"]", ErrUnknownZone)
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
			return fieldError("zones["+name+"]", ErrUnknownZone)
		}
		if !zone.OutOfService {
			return fieldError("zones["+name+"]", ErrInService)
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
			return fieldError(path, ErrDuplicate)
		}
		if _, exists := document.Team(service.Team); !exists {
			return fieldError(path+".team", ErrUnknownTeam)
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
			return fieldError("services["+name+"]", ErrUnknownService)
		}
		return nil
	}
}

// ReplaceAll replaces entries, zones, teams, services and weights with those of replacement. It
// returns a ConflictError if expectedRevision is neither zero nor the document's revision, and
// ErrRegionMismatch if replacement names another region.
func ReplaceAll(replacement *Document, expectedRevision uint64) Mutation {
	return func(document *Document) error {
		if expectedRevision != 0 && expectedRevision != document.Revision {
			return &ConflictError{Current: document.Revision}
		}
		if replacement.Region != "" && replacement.Region != document.Region {
			return fieldError("region", ErrRegionMismatch)
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

func fieldError(path string, cause error) error { return &FieldError{Path: path, Cause: cause} }
