package task

import (
	"bytes"
	"fmt"
	"slices"
)

// Limits of a specification.
const (
	// MaxPayloadBytes is the largest payload. It keeps a shard of a thousand tasks within the store's
	// limit for the size of a value.
	MaxPayloadBytes = 16 << 10
	// MaxNameBytes is the largest length of a name, in bytes.
	MaxNameBytes = 128
	// MaxZones is the largest number of allowed zones.
	MaxZones = 64
)

// ID returns the id of the task with the kind, team and name. Names contain no slash, so that
// different triples have different ids.
func ID(kind Kind, team, name string) string {
	return kind.String() + "/" + team + "/" + name
}

// ID returns the id of the task that the specification describes.
func (s *Spec) ID() string { return ID(s.Kind, s.Team, s.Name) }

// Validate returns an *InvalidSpecError for the first invalid field, or nil.
func (s *Spec) Validate() error {
	if _, ok := kindNames[s.Kind]; !ok {
		return &InvalidSpecError{Field: "kind", Reason: fmt.Sprintf("unknown value %d", s.Kind)}
	}
	if _, ok := priorityNames[s.Priority]; !ok {
		return &InvalidSpecError{Field: "priority", Reason: fmt.Sprintf("unknown value %d", s.Priority)}
	}
	if err := s.validateNames(); err != nil {
		return err
	}
	if err := s.Size.Validate(); err != nil {
		return &InvalidSpecError{Field: "size", Reason: err.Error()}
	}
	if s.Size.MilliCPU == 0 || s.Size.MemoryBytes == 0 {
		return &InvalidSpecError{Field: "size", Reason: "processors and memory must be above zero"}
	}
	if s.ExpectedRunTime < 0 {
		return &InvalidSpecError{Field: "expected_run_time", Reason: "negative"}
	}
	if len(s.Payload) > MaxPayloadBytes {
		return &InvalidSpecError{Field: "payload", Reason: fmt.Sprintf("%d bytes, at most %d", len(s.Payload), MaxPayloadBytes)}
	}
	return nil
}

func (s *Spec) validateNames() error {
	required := []struct{ field, value string }{{"name", s.Name}, {"team", s.Team}, {"class", s.Class}}
	if s.Kind == KindService {
		required = append(required, struct{ field, value string }{"service", s.Service})
	}
	for _, name := range required {
		if err := validateName(name.field, name.value); err != nil {
			return err
		}
	}
	if s.SpreadGroup != "" {
		if err := validateName("spread_group", s.SpreadGroup); err != nil {
			return err
		}
	}
	if len(s.Zones) > MaxZones {
		return &InvalidSpecError{Field: "zones", Reason: fmt.Sprintf("more than %d", MaxZones)}
	}
	for _, zone := range s.Zones {
		if err := validateName("zones", zone); err != nil {
			return err
		}
	}
	return nil
}

// validateName accepts ASCII letters, digits and "._-", beginning with a letter or digit.
func validateName(field, name string) error {
	if name == "" {
		return &InvalidSpecError{Field: field, Reason: "missing"}
	}
	if len(name) > MaxNameBytes {
		return &InvalidSpecError{Field: field, Reason: fmt.Sprintf("longer than %d bytes", MaxNameBytes)}
	}
	for index := range len(name) {
		if !isNameByte(name[index], index == 0) {
			return &InvalidSpecError{Field: field, Reason: fmt.Sprintf("character %q at position %d", name[index], index)}
		}
	}
	return nil
}

func isNameByte(c byte, first bool) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	default:
		return !first && (c == '.' || c == '_' || c == '-')
	}
}

// Equal reports whether all fields of both specifications are equal.
func (s *Spec) Equal(other *Spec) bool {
	return s.Name == other.Name && s.Kind == other.Kind && s.Team == other.Team &&
		s.Class == other.Class && s.Priority == other.Priority && s.Size == other.Size &&
		s.ExpectedRunTime == other.ExpectedRunTime && s.NonIdempotent == other.NonIdempotent &&
		slices.Equal(s.Zones, other.Zones) && s.SpreadGroup == other.SpreadGroup &&
		bytes.Equal(s.Payload, other.Payload) && s.Service == other.Service
}
