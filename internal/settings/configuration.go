package settings

import (
	"fmt"
	"time"

	"clementineflow/internal/configuration"
	"clementineflow/internal/resource"
	"clementineflow/internal/task"
)

// Limits and defaults of configuration and task documents.
const (
	maxReplicas           = 10000
	maxWeight             = 1e6
	maxRequestsPerSec     = 1e6
	maxRequestTimeout     = time.Hour
	maxRunTime            = 30 * 24 * time.Hour
	minRequestTimeout     = time.Millisecond
	defaultRequestTimeout = 5 * time.Second
	allowedClass          = "an interference class, such as bend-plan"
)

// DecodeConfiguration decodes a region's configuration from the YAML form that operators write. The revision
// of the document is the one that the file was based on, or 0 if the file has none. An invalid file returns a
// Faults error.
func DecodeConfiguration(file string, data []byte) (*configuration.Document, error) {
	d := &decoder{file: file}
	root := d.parse(data)
	if root == nil {
		return nil, d.faults.sorted()
	}
	document := decodeDocument(root)
	root.reportUnknownKeys()
	if err := d.faults.sorted(); err != nil {
		return nil, err
	}
	return document, nil
}

func decodeDocument(root *section) *configuration.Document {
	document := &configuration.Document{
		Revision: uint64(root.integer("revision", 0, 0, 1<<62)),
		Region:   root.name("region"),
		Entries:  root.texts("entries", required, "names of entries"),
	}
	root.decodeNamed("zones", required, func(s *section) {
		document.Zones = append(document.Zones, decodeZone(s))
	})
	root.decodeNamed("teams", required, func(s *section) {
		document.Teams = append(document.Teams, decodeTeam(s))
	})
	root.decodeNamed("services", optional, func(s *section) {
		service := decodeService(s)
		if _, ok := document.Team(service.Team); service.Team != "" && !ok {
			s.addContradiction("team", service.Team+", which is not in teams", "the name of a team of this file")
		}
		document.Services = append(document.Services, service)
	})
	document.Weights = decodeWeights(root.child("weights"))
	return document
}

// decodeNamed calls decode for each mapping of a list and reports duplicate names.
func (s *section) decodeNamed(name string, presence presence, decode func(*section)) {
	sections := s.sections(name)
	if len(sections) == 0 && presence == required {
		s.addMissing(name, "a list with at least one item")
	}
	lines := map[string]int{}
	for _, item := range sections {
		decode(item)
		text := scalarSource(item.values["name"])
		if line, exists := lines[text]; exists && text != "" {
			item.addContradiction("name", fmt.Sprintf("%q", text), fmt.Sprintf("only once; already on line %d", line))
		}
		lines[text], _ = nodePosition(item.faultNode("name"))
		item.reportUnknownKeys()
	}
}

func decodeZone(s *section) configuration.Zone {
	return configuration.Zone{
		Name:         s.name("name"),
		OutOfService: s.boolean("out_of_service"),
		Reason:       s.text("reason", optional, "a reason"),
	}
}

func decodeTeam(s *section) configuration.Team {
	return configuration.Team{
		Name:              s.name("name"),
		Quota:             decodeQuantity(s.child("quota")),
		Weight:            int(s.integer("weight", 1, 1, maxWeight)),
		RequestsPerSecond: int(s.integer("requests_per_second", 0, 0, maxRequestsPerSec)),
	}
}

func decodeService(s *section) configuration.Service {
	return configuration.Service{
		Name:             s.name("name"),
		Team:             s.name("team"),
		Class:            s.text("class", required, allowedClass),
		Replicas:         int(s.integer("replicas", 0, 0, maxReplicas)),
		Size:             decodeQuantity(s.child("size")),
		Timeout:          s.duration("timeout", defaultRequestTimeout, minRequestTimeout, maxRequestTimeout),
		LatencyObjective: s.duration("latency_objective", 0, minRequestTimeout, maxRequestTimeout),
		Payload:          decodePayload(s),
	}
}

func decodePayload(s *section) []byte {
	text := s.text("payload", optional, "a text that is passed to the worker runtime")
	if text == "" {
		return nil
	}
	return []byte(text)
}

func decodeQuantity(s *section) resource.Quantity {
	decoded := resource.Quantity{
		MilliCPU:     int64(s.number("processors", 0, maxProcessors*1e3)*millisPerProcessor + 0.5),
		MemoryBytes:  s.size("memory", 0, 0, maxMemoryBytes),
		Accelerators: s.integer("accelerators", 0, 0, maxAccelerators),
	}
	s.reportUnknownKeys()
	return decoded
}

func decodeWeights(s *section) configuration.Weights {
	decoded := configuration.Weights{
		TailLatency: s.number("tail_latency", 1, maxWeight),
		Throughput:  s.number("throughput", 1, maxWeight),
		Evictions:   s.number("evictions", 1, maxWeight),
		ZoneWork:    s.number("zone_work", 1, maxWeight),
	}
	s.reportUnknownKeys()
	return decoded
}

// DecodeTask decodes one task specification, as given to "clementinectl submit -f". An invalid file returns a
// Faults error.
func DecodeTask(file string, data []byte) (*task.Spec, error) {
	d := &decoder{file: file}
	root := d.parse(data)
	if root == nil {
		return nil, d.faults.sorted()
	}
	spec := decodeTask(root)
	root.reportUnknownKeys()
	if err := d.faults.sorted(); err != nil {
		return nil, err
	}
	return spec, nil
}

func decodeTask(root *section) *task.Spec {
	kinds := map[string]task.Kind{"batch": task.KindBatch, "watch": task.KindWatch}
	priorities := map[string]task.Priority{
		"low": task.PriorityLow, "normal": task.PriorityNormal, "urgent": task.PriorityUrgent,
	}
	return &task.Spec{
		Name:            root.text("name", required, "a name that is unique for the team"),
		Kind:            kinds[root.choice("kind", "batch", "batch", "watch")],
		Team:            root.name("team"),
		Class:           root.text("class", required, allowedClass),
		Priority:        priorities[root.choice("priority", "normal", "low", "normal", "urgent")],
		Size:            decodeQuantity(root.child("size")),
		ExpectedRunTime: root.duration("expected_run_time", 0, time.Second, maxRunTime),
		NonIdempotent:   root.boolean("non_idempotent"),
		Zones:           root.texts("zones", optional, "names of zones"),
		SpreadGroup:     root.text("spread_group", optional, "a group name"),
		Payload:         decodePayload(root),
	}
}

// DecodeService decodes one service, as given to "clementinectl service create -f". An invalid file returns a
// Faults error.
func DecodeService(file string, data []byte) (*configuration.Service, error) {
	d := &decoder{file: file}
	root := d.parse(data)
	if root == nil {
		return nil, d.faults.sorted()
	}
	service := decodeService(root)
	root.reportUnknownKeys()
	if err := d.faults.sorted(); err != nil {
		return nil, err
	}
	return &service, nil
}
