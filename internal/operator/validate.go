package operator

import (
	"math"
	"regexp"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	operatorv1 "clementineflow/api/operator/v1"
	"clementineflow/internal/configuration"
)

// Limits of the fields in requests.
const (
	maxRequestIDBytes = 128
	maxPayloadBytes   = 16 << 10
	maxNameBytes      = 128
	maxTextBytes      = 1024
	maxReplicas       = 10000
	maxTimeout        = time.Hour
	maxRunTime        = 30 * 24 * time.Hour
	maxListItems      = 4096
)

var (
	// namePattern restricts names to those that are valid in metric labels, store keys and host names.
	namePattern = regexp.MustCompile(`^[a-z]([a-z0-9-]{0,61}[a-z0-9])?$`)
	// taskNamePattern also allows upper-case letters, dots and underscores, because task names may contain
	// certificate and plan numbers.
	taskNamePattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	requestIDPattern = regexp.MustCompile(`^[!-~]+$`)
)

func validateRequestID(id string) error {
	switch {
	case id == "":
		return Errorf(CodeMissingRequestID, "request_id is required for a change")
	case len(id) > maxRequestIDBytes || !requestIDPattern.MatchString(id):
		return Errorf(CodeInvalidRequest, "request_id must be 1 to %d printable ASCII characters without spaces",
			maxRequestIDBytes)
	}
	return nil
}

func validateName(field, name string) error {
	if !namePattern.MatchString(name) {
		return Errorf(CodeInvalidSpecification,
			"%s is %q; allowed: 1 to 63 lower-case letters, digits and hyphens, starting with a letter", field, name)
	}
	return nil
}

func validateText(field, text string) error {
	if len(text) > maxTextBytes {
		return Errorf(CodeInvalidSpecification, "%s has %d bytes; allowed: %d", field, len(text), maxTextBytes)
	}
	return nil
}

func validateQuantity(field string, m *operatorv1.Quantity) error {
	if err := quantityFromMessage(m).Validate(); err != nil {
		return Errorf(CodeInvalidSpecification, "%s has a negative component", field)
	}
	return nil
}

// validateSize requires CPU and memory above 0, because the limits of a worker would not apply to a
// task without them.
func validateSize(field string, m *operatorv1.Quantity) error {
	if err := validateQuantity(field, m); err != nil {
		return err
	}
	if m.GetMilliCpu() == 0 || m.GetMemoryBytes() == 0 {
		return Errorf(CodeInvalidSpecification, "%s needs milli_cpu and memory_bytes above 0", field)
	}
	return nil
}

func validateDuration(field string, m *durationpb.Duration, maximum time.Duration) error {
	if m == nil {
		return nil
	}
	if !m.IsValid() || m.AsDuration() < 0 || m.AsDuration() > maximum {
		return Errorf(CodeInvalidSpecification, "%s must be from 0 to %s", field, maximum)
	}
	return nil
}

func validatePayload(payload []byte) error {
	if len(payload) > maxPayloadBytes {
		return Errorf(CodeInvalidSpecification, "payload has %d bytes; allowed: %d", len(payload), maxPayloadBytes)
	}
	return nil
}

func firstError(checks ...error) error {
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	return nil
}

// validateSpec checks a task's specification against the document.
func validateSpec(m *operatorv1.TaskSpec, document *configuration.Document) error {
	if m == nil {
		return Errorf(CodeInvalidSpecification, "spec is required")
	}
	err := firstError(
		validateTaskName(m.GetName()),
		validateKind(m),
		validateName("team", m.GetTeam()),
		validateName("class", m.GetClass()),
		validatePriority(m.GetPriority()),
		validateSize("size", m.GetSize()),
		validateDuration("expected_run_time", m.GetExpectedRunTime(), maxRunTime),
		validateText("spread_group", m.GetSpreadGroup()),
		validatePayload(m.GetPayload()),
	)
	if err != nil {
		return err
	}
	if _, ok := document.Team(m.GetTeam()); !ok {
		return Errorf(CodeUnknownTeam, "team %q does not exist", m.GetTeam())
	}
	for _, zone := range m.GetZones() {
		if _, ok := document.Zone(zone); !ok {
			return Errorf(CodeUnknownZone, "zone %q does not exist", zone)
		}
	}
	return nil
}

func validateTaskName(name string) error {
	if len(name) > maxNameBytes || !taskNamePattern.MatchString(name) {
		return Errorf(CodeInvalidSpecification,
			"name is %q; allowed: 1 to %d letters, digits, dots, hyphens and underscores", name, maxNameBytes)
	}
	return nil
}

func validateKind(m *operatorv1.TaskSpec) error {
	switch m.GetKind() {
	case operatorv1.TaskKind_TASK_KIND_BATCH, operatorv1.TaskKind_TASK_KIND_WATCH:
		return nil
	default:
		return Errorf(CodeInvalidSpecification, "kind is %s; allowed: batch, watch", m.GetKind())
	}
}

func validatePriority(p operatorv1.Priority) error {
	if _, ok := operatorv1.Priority_name[int32(p)]; !ok {
		return Errorf(CodeInvalidSpecification, "priority %d does not exist", p)
	}
	return nil
}

func validateService(m *operatorv1.Service) error {
	if m == nil {
		return Errorf(CodeInvalidSpecification, "service is required")
	}
	err := firstError(
		validateName("name", m.GetName()),
		validateName("team", m.GetTeam()),
		validateName("class", m.GetClass()),
		validateQuantity("size", m.GetSize()),
		validateDuration("timeout", m.GetTimeout(), maxTimeout),
		validateDuration("latency_objective", m.GetLatencyObjective(), maxTimeout),
		validatePayload(m.GetPayload()),
	)
	switch {
	case err != nil:
		return err
	case m.GetTimeout().AsDuration() == 0:
		return Errorf(CodeInvalidSpecification, "timeout of service %q must be above 0", m.GetName())
	case m.GetReplicas() < 0 || m.GetReplicas() > maxReplicas:
		return Errorf(CodeInvalidSpecification, "replicas is %d; allowed: 0 to %d", m.GetReplicas(), maxReplicas)
	case m.GetReplicas() > 0:
		return validateSize("size", m.GetSize())
	}
	return nil
}

func validateZone(m *operatorv1.Zone) error {
	if m == nil {
		return Errorf(CodeInvalidSpecification, "zone is required")
	}
	return firstError(validateName("name", m.GetName()), validateText("reason", m.GetReason()))
}

func validateTeam(m *operatorv1.Team) error {
	err := firstError(validateName("team", m.GetName()), validateQuantity("quota", m.GetQuota()))
	switch {
	case err != nil:
		return err
	case m.GetWeight() < 1:
		return Errorf(CodeInvalidSpecification, "weight of team %q must be at least 1", m.GetName())
	case m.GetRequestsPerSecond() < 0:
		return Errorf(CodeInvalidSpecification, "requests_per_second of team %q is negative", m.GetName())
	}
	return nil
}

// validateConfiguration checks a whole configuration, including that it belongs to the region.
func validateConfiguration(m *operatorv1.Configuration, region string) error {
	switch {
	case m == nil:
		return Errorf(CodeInvalidSpecification, "configuration is required")
	case m.GetRegion() != region:
		return Errorf(CodeRegionMismatch, "the configuration is for region %q; this entry serves %q", m.GetRegion(), region)
	case len(m.GetEntries()) == 0 || len(m.GetZones()) == 0 || len(m.GetTeams()) == 0:
		return Errorf(CodeInvalidSpecification, "at least one entry, one zone and one team are required")
	case len(m.GetEntries())+len(m.GetZones())+len(m.GetTeams())+len(m.GetServices()) > maxListItems:
		return Errorf(CodeInvalidSpecification, "more than %d items", maxListItems)
	}
	return firstError(
		validateEach("entry", m.GetEntries(), func(name string) string { return name },
			func(name string) error { return validateName("entry", name) }),
		validateEach("zone", m.GetZones(), (*operatorv1.Zone).GetName, validateZone),
		validateEach("team", m.GetTeams(), (*operatorv1.Team).GetName, validateTeam),
		validateEach("service", m.GetServices(), (*operatorv1.Service).GetName, validateService),
		validateServiceTeams(m),
		validateWeights(m.GetWeights()),
	)
}

// validateEach validates each item and checks that the names are unique. itemKind describes the items
// in the error text.
func validateEach[T any](itemKind string, items []T, name func(T) string, validate func(T) error) error {
	seen := make(map[string]bool, len(items))
	for _, item := range items {
		if err := validate(item); err != nil {
			return err
		}
		if seen[name(item)] {
			return Errorf(CodeInvalidSpecification, "%s %q is given twice", itemKind, name(item))
		}
		seen[name(item)] = true
	}
	return nil
}

func validateServiceTeams(m *operatorv1.Configuration) error {
	teams := make(map[string]bool, len(m.GetTeams()))
	for _, team := range m.GetTeams() {
		teams[team.GetName()] = true
	}
	for _, service := range m.GetServices() {
		if !teams[service.GetTeam()] {
			return Errorf(CodeUnknownTeam, "service %q names team %q, which is not in teams",
				service.GetName(), service.GetTeam())
		}
	}
	return nil
}

func validateWeights(m *operatorv1.Weights) error {
	for _, weight := range []float64{m.GetTailLatency(), m.GetThroughput(), m.GetEvictions(), m.GetZoneWork()} {
		if math.IsNaN(weight) || math.IsInf(weight, 0) || weight < 0 {
			return Errorf(CodeInvalidSpecification, "weights must be finite numbers of at least 0")
		}
	}
	return nil
}
