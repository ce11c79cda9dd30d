package configuration

import (
	"fmt"
	"math"

	"clementineflow/internal/resource"
	"clementineflow/internal/store"
	"clementineflow/internal/wire"
)

// Validate returns an *InvalidError with every fault of the document, or nil.
func Validate(document *Document) error {
	v := &validation{document: document}
	v.region()
	v.entries()
	v.zones()
	v.teams()
	v.services()
	v.weights()
	v.size()
	if len(v.faults) == 0 {
		return nil
	}
	return &InvalidError{Faults: v.faults}
}

// validation collects the faults of one document.
type validation struct {
	document *Document
	faults   []*FaultError
}

func (v *validation) add(cause error, path string, args ...any) {
	v.faults = append(v.faults, &FaultError{Path: fmt.Sprintf(path, args...), Cause: cause})
}

func (v *validation) region() {
	if v.document.Region == "" {
		v.add(ErrMissing, "region")
	}
}

// name checks one name of a list and returns the path of its element.
func (v *validation) name(list, name string, index int, seen map[string]bool) string {
	path := fmt.Sprintf("%s[%s]", list, name)
	if name == "" {
		path = fmt.Sprintf("%s[%d]", list, index)
		v.add(ErrMissing, "%s.name", path)
	}
	if seen[name] {
		v.add(ErrDuplicate, "%s", path)
	}
	seen[name] = true
	return path
}

// entries requires at least one entry: without them no worker could extend its lease.
func (v *validation) entries() {
	if len(v.document.Entries) == 0 {
		v.add(ErrMissing, "entries")
	}
	seen := make(map[string]bool)
	for i, entry := range v.document.Entries {
		v.name("entries", entry, i, seen)
	}
}

func (v *validation) zones() {
	if len(v.document.Zones) == 0 {
		v.add(ErrMissing, "zones")
	}
	seen := make(map[string]bool)
	for i, zone := range v.document.Zones {
		v.name("zones", zone.Name, i, seen)
	}
}

func (v *validation) teams() {
	seen := make(map[string]bool)
	for i, team := range v.document.Teams {
		path := v.name("teams", team.Name, i, seen)
		v.quantity(team.Quota, path+".quota")
		if team.Weight < 1 {
			v.add(ErrNegative, "%s.weight", path)
		}
		if team.RequestsPerSecond < 0 {
			v.add(ErrNegative, "%s.requests_per_second", path)
		}
	}
}

func (v *validation) services() {
	seen := make(map[string]bool)
	for i, service := range v.document.Services {
		path := v.name("services", service.Name, i, seen)
		if _, ok := v.document.Team(service.Team); !ok {
			v.add(ErrUnknownTeam, "%s.team", path)
		}
		v.quantity(service.Size, path+".size")
		if service.Replicas < 0 {
			v.add(ErrNegative, "%s.replicas", path)
		}
		if service.Replicas > 0 && service.Size.IsZero() {
			v.add(ErrMissing, "%s.size", path)
		}
		if service.Timeout <= 0 {
			v.add(ErrNegative, "%s.timeout", path)
		}
		if service.LatencyObjective < 0 {
			v.add(ErrNegative, "%s.latency_objective", path)
		}
	}
}

func (v *validation) quantity(quantity resource.Quantity, path string) {
	if quantity.Validate() != nil {
		v.add(ErrNegative, "%s", path)
	}
}

func (v *validation) weights() {
	weights := v.document.Weights
	v.weight(weights.TailLatency, "weights.tail_latency")
	v.weight(weights.Throughput, "weights.throughput")
	v.weight(weights.Evictions, "weights.evictions")
	v.weight(weights.ZoneWork, "weights.zone_work")
}

func (v *validation) weight(weight float64, path string) {
	switch {
	case math.IsNaN(weight) || math.IsInf(weight, 0):
		v.add(ErrNotFinite, "%s", path)
	case weight < 0:
		v.add(ErrNegative, "%s", path)
	}
}

func (v *validation) size() {
	data, err := wire.Marshal(v.document)
	if err != nil || len(data) > store.MaxValueBytes {
		v.add(ErrTooLarge, "document")
	}
}
