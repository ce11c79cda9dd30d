package main

import (
	"fmt"

	"clementineflow/internal/version"
)

// versionCommand prints the version.
type versionCommand struct{}

// Run prints one line.
func (c *versionCommand) Run(s *session) error {
	_, err := fmt.Fprintln(s.output, "clementinectl", version.String())
	return err
}
