package configcheck

import (
	"cmp"
	"fmt"
	"slices"
)

// Severity is the severity of a Finding.
type Severity string

// Severities.
const (
	// SeverityError is an entry that is rejected, skipped, never in force, or makes ordinary calls fail.
	SeverityError Severity = "error"
	// SeverityWarning is an entry that is in force and probably not what is intended.
	SeverityWarning Severity = "warning"
)

// Finding is one result of a check.
type Finding struct {
	Severity Severity `json:"severity"`
	Line     int      `json:"line"`
	Path     string   `json:"path,omitempty"`
	Message  string   `json:"message"`
}

// Report collects the findings of one document.
type Report struct {
	findings []Finding
}

// Errorf adds an error.
func (r *Report) Errorf(line int, path, format string, arguments ...any) {
	r.findings = append(r.findings, Finding{SeverityError, line, path, fmt.Sprintf(format, arguments...)})
}

// Warnf adds a warning.
func (r *Report) Warnf(line int, path, format string, arguments ...any) {
	r.findings = append(r.findings, Finding{SeverityWarning, line, path, fmt.Sprintf(format, arguments...)})
}

// Findings returns the findings in the order of their lines.
func (r *Report) Findings() []Finding {
	return slices.SortedStableFunc(slices.Values(r.findings), func(a, b Finding) int { return cmp.Compare(a.Line, b.Line) })
}

// Count returns the number of findings of a severity.
func Count(findings []Finding, severity Severity) int {
	count := 0
	for _, finding := range findings {
		if finding.Severity == severity {
			count++
		}
	}
	return count
}
