package scheduler

import "slices"

// zoneServiceFilter excludes workers in zones that are unknown or out of service.
type zoneServiceFilter struct{}

func (zoneServiceFilter) check(_ *candidate, n *node) Reason {
	if !n.inService {
		return ReasonZoneOutOfService
	}
	return 0
}

// allowedZoneFilter excludes workers outside the zones that the specification allows.
type allowedZoneFilter struct{}

func (allowedZoneFilter) check(t *candidate, n *node) Reason {
	zones := t.record.Spec.Zones
	if len(zones) > 0 && !slices.Contains(zones, n.Zone) {
		return ReasonZoneNotAllowed
	}
	return 0
}
