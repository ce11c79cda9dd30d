package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"strconv"

	operatorv1 "clementineflow/api/operator/v1"
	"clementineflow/internal/configcheck"
	"clementineflow/internal/settings"
)

// errDiffers reports differences from the document of --against. Its exit code is exitFailure.
var errDiffers = errors.New("the documents differ")

// configCheckCommand checks a document without submitting it.
type configCheckCommand struct {
	File     string `arg:"" help:"Document to check, - for standard input."`
	Against  string `placeholder:"REVISION|FILE" help:"Show the difference from a file, or from this revision at the server."`
	ExitCode bool   `help:"Exit with 1 if there are differences."`
	Form     string `enum:"auto,region,queues" default:"auto" help:"region: a region's configuration in YAML; queues: the platform's document in JSON; auto: queues if the file begins with {."`
}

// Help returns the examples.
func (c *configCheckCommand) Help() string {
	return `Warnings do not change the exit code.
Exit codes: 0 valid, 1 differences with --exit-code, 2 errors, 3 the server does not have the revision.

Examples:
  clementinectl config check region.yaml --against 7
  clementinectl config check queues.json --against queues-in-force.json --exit-code`
}

// checkResult is the result of a check in JSON and YAML.
type checkResult struct {
	File     string                `json:"file"`
	Errors   int                   `json:"errors"`
	Warnings int                   `json:"warnings"`
	Findings []configcheck.Finding `json:"findings"`
	// Compared is false if there is no readable document to compare with.
	Compared    bool             `json:"compared"`
	Differences []lineDifference `json:"differences"`
}

// lineDifference is a difference with its line in the checked document.
type lineDifference struct {
	Line int `json:"line"`
	configcheck.Difference
}

// Run checks the document and prints the findings and differences.
func (c *configCheckCommand) Run(ctx context.Context, s *session) error {
	data, err := settings.ReadFile(c.File)
	if err != nil {
		return err
	}
	checked := checkDocument(c.File, data, c.Form)
	result := newCheckResult(c.File, checked.report.Findings())
	failure := c.compare(ctx, s, checked, result)
	if err := s.printCheck(result); err != nil {
		return err
	}
	return cmp.Or(failure, c.outcome(result))
}

func newCheckResult(file string, findings []configcheck.Finding) *checkResult {
	return &checkResult{
		File: file, Findings: findings, Differences: []lineDifference{},
		Errors:   configcheck.Count(findings, configcheck.SeverityError),
		Warnings: configcheck.Count(findings, configcheck.SeverityWarning),
	}
}

// compare adds the differences from the document of --against to the result, unless the checked one can't be read.
func (c *configCheckCommand) compare(ctx context.Context, s *session, checked *checkedDocument, result *checkResult) error {
	if c.Against == "" || checked.normalized == nil {
		return nil
	}
	old, err := c.against(ctx, s, checked.form)
	if err != nil {
		return err
	}
	result.Compared = true
	for _, difference := range configcheck.Differences(old, checked.normalized) {
		result.Differences = append(result.Differences, lineDifference{checked.root.LineOf(difference.Path), difference})
	}
	return nil
}

// outcome returns the error that has the exit code of the result.
func (c *configCheckCommand) outcome(result *checkResult) error {
	switch {
	case result.Errors > 0:
		return usageError("%s is not valid", c.File)
	case c.ExitCode && len(result.Differences) > 0:
		return errDiffers
	default:
		return nil
	}
}

// against returns the document to compare with: that of the server if --against is a revision, otherwise a file.
func (c *configCheckCommand) against(ctx context.Context, s *session, form documentForm) (*configcheck.Node, error) {
	revision, err := strconv.ParseUint(c.Against, 10, 64)
	if err != nil {
		return c.againstFile(form)
	}
	if form == formQueues {
		return nil, usageError("no server of this product gives the revisions of the platform's document; use --against FILE")
	}
	current, err := call(ctx, s, operatorv1.OperatorServiceClient.GetConfiguration, &operatorv1.GetConfigurationRequest{})
	if err != nil {
		return nil, err
	}
	if current.GetRevision() != revision {
		return nil, &exitError{code: exitNotFound, cause: fmt.Errorf(
			"the server has no document of revision %d, only of the current one, %d", revision, current.GetRevision())}
	}
	return normalizedRegion(current)
}

// againstFile returns the document to compare with from a file.
func (c *configCheckCommand) againstFile(form documentForm) (*configcheck.Node, error) {
	data, err := settings.ReadFile(c.Against)
	if err != nil {
		return nil, err
	}
	other := checkDocument(c.Against, data, string(form))
	if other.normalized == nil {
		return nil, usageError("%s is not a document to compare with: %s", c.Against, other.report.Findings()[0].Message)
	}
	return other.normalized, nil
}

// printCheck writes the result in the selected format.
func (s *session) printCheck(result *checkResult) error {
	if s.format != "table" {
		return s.printValue(result)
	}
	for _, finding := range result.Findings {
		path := finding.Path
		if path == "" {
			path = "(document)"
		}
		_, err := fmt.Fprintf(s.output, "%s:%d: %s: %s: %s\n", result.File, finding.Line, finding.Severity, path, finding.Message)
		if err != nil {
			return err
		}
	}
	for _, difference := range result.Differences {
		if _, err := fmt.Fprintf(s.output, "%s:%d: difference: %s\n", result.File, difference.Line, difference.Difference); err != nil {
			return err
		}
	}
	summary := fmt.Sprintf("errors: %d, warnings: %d", result.Errors, result.Warnings)
	if result.Compared {
		summary += fmt.Sprintf(", differences: %d", len(result.Differences))
	}
	_, err := fmt.Fprintln(s.output, summary)
	return err
}
