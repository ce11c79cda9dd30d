package main

import (
	"context"

	operatorv1 "clementineflow/api/operator/v1"
	"clementineflow/internal/operator"
	"clementineflow/internal/settings"
)

// applyCommand replaces the configuration.
type applyCommand struct {
	changeFlags
	waitFlags
	File   string `short:"f" required:"" placeholder:"FILE" help:"Configuration as YAML, - for standard input."`
	Author string `env:"USER" help:"Who makes the change; a client certificate takes precedence."`
}

// Help returns the examples.
func (c *applyCommand) Help() string {
	return `The revision in the file must be the current one (0 for the first configuration), so that no change of
another operator is overwritten.

Example:
  clementinectl config get -o yaml > region.yaml
  (edit region.yaml)
  clementinectl apply -f region.yaml --wait`
}

// Run applies the configuration.
func (c *applyCommand) Run(ctx context.Context, s *session) error {
	data, err := settings.ReadFile(c.File)
	if err != nil {
		return err
	}
	document, err := settings.DecodeConfiguration(c.File, data)
	if err != nil {
		return err
	}
	response, err := changeOnce(ctx, s, &c.changeFlags, operatorv1.OperatorServiceClient.ApplyConfiguration,
		&operatorv1.ApplyConfigurationRequest{
			RequestId: c.id(), Configuration: operator.DocumentToMessage(document), Author: c.Author,
		})
	if err != nil {
		return err
	}
	if err := s.printChange(response); err != nil || !c.Wait {
		return err
	}
	return s.wait(ctx, c.waitFlags, response.GetRevision(), s.inForce(response.GetRevision()))
}
