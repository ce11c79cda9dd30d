package main

import (
	"bytes"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	operatorv1 "clementineflow/api/operator/v1"
	"clementineflow/internal/configcheck"
	"clementineflow/internal/operator"
	"clementineflow/internal/settings"
	"clementineflow/platform"
)

// documentForm is the kind of a configuration document.
type documentForm string

const (
	formRegion documentForm = "region"
	formQueues documentForm = "queues"
)

// checkedDocument is a document with what its check found.
type checkedDocument struct {
	form   documentForm
	report configcheck.Report
	// root holds the positions of the entries, and normalized the values with the defaults filled in. Both are nil if the document
	// can't be read.
	root, normalized *configcheck.Node
}

// checkDocument checks a document of the given form, or of the form that its first byte suggests.
func checkDocument(file string, data []byte, form string) *checkedDocument {
	checked := &checkedDocument{form: documentForm(form)}
	if checked.form != formRegion && checked.form != formQueues {
		checked.form = formRegion
		if bytes.HasPrefix(bytes.TrimSpace(data), []byte("{")) {
			checked.form = formQueues
		}
	}
	switch {
	case len(data) > settings.MaxFileBytes:
		checked.report.Errorf(1, "", "above %d bytes", settings.MaxFileBytes)
	case checked.form == formQueues:
		checked.checkQueues(data)
	default:
		checked.checkRegion(file, data)
	}
	return checked
}

func (d *checkedDocument) checkQueues(data []byte) {
	root, err := configcheck.ParseJSON(data)
	if err != nil {
		d.addParseError(err)
		return
	}
	d.root, d.normalized = root, root
	platform.ReadForCheck(root, &d.report).Check(&d.report)
}

func (d *checkedDocument) checkRegion(file string, data []byte) {
	document, err := settings.DecodeConfiguration(file, data)
	var faults settings.Faults
	if errors.As(err, &faults) {
		for _, fault := range faults {
			d.report.Errorf(fault.Line, fault.Key, "%s: found %s; allowed: %s", fault.Kind, fault.Found, fault.Allowed)
		}
		return
	}
	root, err := configcheck.ParseYAML(data)
	if err != nil {
		d.addParseError(err)
		return
	}
	configcheck.CheckRegion(document, root, &d.report)
	normalized, err := normalizedRegion(operator.DocumentToMessage(document))
	if err != nil {
		d.addParseError(err)
		return
	}
	d.root, d.normalized = root, normalized
}

func (d *checkedDocument) addParseError(err error) {
	line := 1
	var parse *configcheck.ParseError
	if errors.As(err, &parse) {
		line = parse.Line
	}
	d.report.Errorf(line, "", "%s", err)
}

// normalizedRegion returns a region's configuration in the form that apply reads, with the defaults filled in.
func normalizedRegion(current *operatorv1.Configuration) (*configcheck.Node, error) {
	data, err := yaml.Marshal(newConfigurationFile(current))
	if err != nil {
		return nil, err
	}
	return configcheck.ParseYAML(data)
}
