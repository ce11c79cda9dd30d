package main

import (
	"fmt"
	"io"

	"clementineflow/internal/settings"
)

// exitFaultySettings is the exit code for a settings file with faults.
const exitFaultySettings = 2

// checkCommand checks a settings file without starting anything.
type checkCommand struct {
	Settings string `arg:"" help:"Path of the settings file, - for standard input."`
}

// faultySettingsError makes the program exit with exitFaultySettings.
type faultySettingsError struct{ cause error }

// Error implements error.
func (e *faultySettingsError) Error() string { return e.cause.Error() }

// Unwrap returns the faults.
func (e *faultySettingsError) Unwrap() error { return e.cause }

// ExitCode is read by kong's FatalIfErrorf.
func (e *faultySettingsError) ExitCode() int { return exitFaultySettings }

// Run prints every fault of the file, or that it has none.
func (c *checkCommand) Run(output io.Writer) error {
	loaded, err := settings.Load(c.Settings)
	if err != nil {
		return &faultySettingsError{cause: err}
	}
	_, err = fmt.Fprintf(output, "%s: valid settings of %s %s in region %s, zone %s\n",
		c.Settings, loaded.Role, loaded.Name, loaded.Region, loaded.Zone)
	return err
}
