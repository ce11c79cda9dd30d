package configuration

import (
	"fmt"
	"math"

	"clementineflow/internal/resource"
	"clementineflow/internal/store"
	"clementineflow/internal/wire"
)

// Validate returns an *InvalidError with all invalid fields of the document, or nil.
func Validate(document *Document) error {
	v := &validator{document: document}
	v.checkRegion()
	v.checkEntries()
	v.checkZones()
	v.checkTeams()
	v.checkServices()
	v.checkWeights()
	v.checkSize()
	if len(v.errs) == 0 {
		return nil
	}
	return &InvalidError{Errors: v.errs}
}

// validator collects the invalid fields of one document.
type validator struct {
	document *Document
	errs     []*FieldError
}

func (v *validator) addError(cause error, path string, args ...any) {
	v.errs = append(v.errs, &FieldError{Path: fmt.Sprintf(path, args...), Cause: cause})
}

func (v *validator) checkRegion() {
	if v.document.Region == "" {
		v.addError(ErrMissing, "region")
	}
}

// checkName checks that the name of a list element is neither empty nor in seen, adds it to seen, and
// returns the path of the element.
func (v *validator) checkName(list, name string, index int, seen map[string]bool) string {
	path := fmt.Sprintf("%s[%s]", list, name)
	if name == "" {
		path = fmt.Sprintf("%s[%d]", list, index)
		v.addError(ErrMissing, "%s.name", path)
	}
	if seen[name] {
		v.addError(ErrDuplicate, "%s", path)
	}
	seen[name] = true
	return path
}

// checkEntries requires at least one entry, since workers need entries to extend their leases.
func (v *validator) checkEntries() {
	if len(v.document.Entries) == 0 {
		v.addError(ErrMissing, "entries")
	}
	seen := make(map[string]bool)
	for i, entry := range v.document.Entries {
		v.checkName("entries", entry, i, seen)
	}
}

func (v *validator) checkZones() {
	if len(v.document.Zones) == 0 {
		v.addError(ErrMissing, "zones")
	}
	seen := make(map[string]bool)
	for i, zone := range v.document.Zones {
		v.checkName("zones", zone.Name, i, seen)
	}
}

func (v *validator) checkTeams() {
	seen := make(map[string]bool)
	for i, team := range v.document.Teams {
		path := v.checkName("teams", team.Name, i, seen)
		v.checkQuantity(team.Quota, path+".quota")
		if team.Weight < 1 {
			v.addError(ErrTooSmall, "%s.weight", path)
		}
		if team.RequestsPerSecond < 0 {
			v.addError(ErrTooSmall, "%s.requests_per_second", path)
		}
	}
}

func (v *validator) checkServices() {
	seen := make(map[string]bool)
	for i, service := range v.document.Services {
		path := v.checkName("services", service.Name, i, seen)
		if _, ok := v.document.Team(service.Team); !ok {
			v.addError(ErrUnknownTeam, "%s.team", path)
		}
		v.checkQuantity(service.Size, path+".size")
		if service.Replicas < 0 {
			v.addError(ErrTooSmall, "%s.replicas", path)
		}
		if service.Replicas > 0 && service.Size.IsZero() {
			v.addError(ErrMissing, "%s.size", path)
		}
		if service.Timeout <= 0 {
			v.addError(ErrTooSmall, "%s.timeout", path)
		}
		if service.LatencyObjective < 0 {
			v.addError(ErrTooSmall, "%s.latency_objective", path)
		}
	}
}

func (v *validator) checkQuantity(quantity resource.Quantity, path string) {
	if quantity.Validate() != nil {
		v.addError(ErrTooSmall, "%s", path)
	}
}

func (v *validator) checkWeights() {
	weights := v.document.Weights
	v.checkWeight(weights.TailLatency, "weights.tail_latency")
	v.checkWeight(weights.Throughput, "weights.throughput")
	v.checkWeight(weights.Evictions, "weights.evictions")
	v.checkWeight(weights.ZoneWork, "weights.zone_work")
}

func (v *validator) checkWeight(weight float64, path string) {
	switch {
	case math.IsNaN(weight) || math.IsInf(weight, 0):
		v.addError(ErrNotFinite, "%s", path)
	case weight < 0:
		v.addError(ErrTooSmall, "%s", path)
	}
}

func (v *validator) checkSize() {
	data, err := wire.Marshal(v.document)
	if err != nil || len(data) > store.MaxValueBytes {
		v.addError(ErrTooLarge, "document")
	}
}
