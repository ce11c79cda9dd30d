package configuration

import (
	"bytes"
	"slices"
)

// Clone returns a deep copy. Documents that a Follower returns are shared and must not be modified;
// callers modify a clone instead.
func (d *Document) Clone() *Document {
	next := *d
	next.Entries = slices.Clone(d.Entries)
	next.Zones = slices.Clone(d.Zones)
	next.Teams = slices.Clone(d.Teams)
	next.Services = slices.Clone(d.Services)
	for i := range next.Services {
		next.Services[i].Payload = bytes.Clone(next.Services[i].Payload)
	}
	next.Changes = slices.Clone(d.Changes)
	return &next
}
