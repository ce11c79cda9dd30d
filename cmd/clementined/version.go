package main

import (
	"fmt"
	"io"

	"clementineflow/internal/version"
)

// versionCommand prints the version.
type versionCommand struct{}

// Run prints the program name and its version on one line.
func (c *versionCommand) Run(output io.Writer) error {
	_, err := fmt.Fprintln(output, "clementined", version.String())
	return err
}
