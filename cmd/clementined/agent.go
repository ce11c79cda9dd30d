package main

import (
	"context"
	"os"
	"time"

	"github.com/charmbracelet/log"
	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"clementineflow/internal/agent"
	"clementineflow/internal/link"
	"clementineflow/internal/runtime/httpruntime"
)

// agentCommand runs the agent role.
type agentCommand struct {
	Settings string `arg:"" help:"Path of the settings file."`
}

// agentSettings is the settings file of the agent role.
type agentSettings struct {
	// Name is the worker's name.
	Name   string `yaml:"name"`
	Region string `yaml:"region"`
	Zone   string `yaml:"zone"`
	Rack   string `yaml:"rack"`
	// Entries lists the link addresses of some entries; the others are learned from them.
	Entries []string `yaml:"entries"`
	// TargetListen is the loopback address for target announcements and metrics.
	TargetListen string `yaml:"target_listen"`
	// Runtime is the address of the worker runtime.
	Runtime string `yaml:"runtime"`
	// LogLevel is "debug", "info", "warn" or "error"; empty means "info".
	LogLevel string `yaml:"log_level"`
}

// Run serves until the context ends, then stops gracefully.
func (c *agentCommand) Run(ctx context.Context) error {
	settings, err := readAgentSettings(c.Settings)
	if err != nil {
		return err
	}
	logger, err := newAgentLogger(settings)
	if err != nil {
		return err
	}
	daemon, err := agent.New(agent.Config{
		Name:         settings.Name,
		Region:       settings.Region,
		Zone:         settings.Zone,
		Rack:         settings.Rack,
		Entries:      settings.Entries,
		TargetListen: settings.TargetListen,
		Dialer:       link.NewDialer(nil),
		Runtime:      httpruntime.New(settings.Runtime),
		Logger:       logger,
	})
	if err != nil {
		return err
	}
	return daemon.Run(ctx)
}

// readAgentSettings reads the settings file; unknown keys are errors.
func readAgentSettings(path string) (agentSettings, error) {
	var settings agentSettings
	file, err := os.Open(path)
	if err != nil {
		return settings, errors.Wrap(err, "open settings")
	}
	defer func() { _ = file.Close() }()
	err = yaml.NewDecoder(file, yaml.Strict()).Decode(&settings)
	if err == nil && settings.Runtime == "" {
		err = errors.New("runtime is required")
	}
	return settings, errors.Wrap(err, "read settings "+path)
}

// newAgentLogger returns the logger of the agent.
func newAgentLogger(settings agentSettings) (*log.Logger, error) {
	level := log.InfoLevel
	if settings.LogLevel != "" {
		parsed, err := log.ParseLevel(settings.LogLevel)
		if err != nil {
			return nil, errors.Wrap(err, "log_level")
		}
		level = parsed
	}
	logger := log.NewWithOptions(os.Stderr, log.Options{ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Level: level})
	return logger.With("worker", settings.Name), nil
}
