package main

import (
	"context"

	"github.com/goccy/go-yaml"

	operatorv1 "clementineflow/api/operator/v1"
)

// configGetCommand shows the configuration.
type configGetCommand struct{}

// Help returns the examples.
func (c *configGetCommand) Help() string {
	return "Example:\n  clementinectl config get -o yaml > region.yaml"
}

// Run prints the configuration, as YAML in the form that apply reads.
func (c *configGetCommand) Run(ctx context.Context, s *session) error {
	current, err := call(ctx, s, operatorv1.OperatorServiceClient.GetConfiguration, &operatorv1.GetConfigurationRequest{})
	if err != nil {
		return err
	}
	if s.format != "yaml" {
		return s.print(current, func() table { return configurationTable(current) })
	}
	data, err := yaml.Marshal(newConfigurationFile(current))
	if err != nil {
		return err
	}
	_, err = s.output.Write(data)
	return err
}
