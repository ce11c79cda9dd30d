package configcheck

import (
	"github.com/pkg/errors"

	"clementineflow/internal/configuration"
)

// CheckRegion reports invalid and contradicting entries of a region's document. root holds the positions of its entries.
func CheckRegion(document *configuration.Document, root *Node, r *Report) {
	var invalid *configuration.InvalidError
	if errors.As(configuration.Validate(document), &invalid) {
		for _, fault := range invalid.Errors {
			r.Errorf(root.LineOf(fault.Path), fault.Path, "%s", fault.Cause)
		}
	}
	warn := func(path, format string, arguments ...any) { r.Warnf(root.LineOf(path), path, format, arguments...) }
	served := map[string]bool{}
	for i := range document.Services {
		s := &document.Services[i]
		served[s.Team] = true
		if s.LatencyObjective > s.Timeout {
			warn("services["+s.Name+"].latency_objective", "%s is longer than the timeout of %s, so no answered request exceeds it",
				s.LatencyObjective, s.Timeout)
		}
	}
	for i := range document.Teams {
		if t := &document.Teams[i]; t.RequestsPerSecond > 0 && !served[t.Name] {
			warn("teams["+t.Name+"].requests_per_second", "no effect, because the team has no service")
		}
	}
	if !hasZoneInService(document) {
		warn("zones", "every zone is out of service, so no task starts")
	}
	if document.Weights == (configuration.Weights{}) {
		warn("weights", "all weights are 0, so every placement has the same score")
	}
}

func hasZoneInService(document *configuration.Document) bool {
	for _, zone := range document.Zones {
		if !zone.OutOfService {
			return true
		}
	}
	return false
}
