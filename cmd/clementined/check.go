package main

import (
	"fmt"
	"io"

	"clementineflow/internal/settings"
)

// exitInvalidSettings is the exit code for an invalid settings file.
const exitInvalidSettings = 2

// checkCommand checks a settings file without starting anything.
type checkCommand struct {
	Settings string `arg:"" help:"Path of the settings file, - for standard input."`
}

// invalidSettingsError makes the program exit with exitInvalidSettings.
type invalidSettingsError struct{ cause error }

// Error implements error.
func (e *invalidSettingsError) Error() string { return e.cause.Error() }

// Unwrap returns the validation error.
func (e *invalidSettingsError) Unwrap() error { return e.cause }

// ExitCode returns the exit code that kong's FatalIfErrorf uses.
func (e *invalidSettingsError) ExitCode() int { return exitInvalidSettings }

// Run validates the file. It returns an error that lists every fault, or prints that the file is valid.
func (c *checkCommand) Run(output io.Writer) error {
	loaded, err := settings.Load(c.Settings)
	if err != nil {
		return &invalidSettingsError{cause: err}
	}
	_, err = fmt.Fprintf(output, "%s: valid settings of %s %s in region %s, zone %s\n",
		c.Settings, loaded.Role, loaded.Name, loaded.Region, loaded.Zone)
	return err
}
