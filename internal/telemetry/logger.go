package telemetry

import (
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
)

// ErrFormat reports a log format other than text and json.
var ErrFormat = errors.New("telemetry: log format is neither text nor json")

// LogConfig configures a logger.
type LogConfig struct {
	// Level is debug, info, warn or error.
	Level string
	// Format is text (logfmt: key=value pairs) or json.
	Format string
	// QueueLines is the number of lines that may wait to be written; at least 1.
	QueueLines int
	// Output receives the lines; it may block.
	Output io.Writer
}

// NewLogger returns a logger that never blocks and the queue that it writes to. The caller calls the queue's
// Run. When the process ends, the caller cancels the context of Run and waits for Run to return.
func NewLogger(config LogConfig) (*log.Logger, *Queue, error) {
	level, err := log.ParseLevel(config.Level)
	if err != nil {
		return nil, nil, errors.Wrap(err, "log level")
	}
	queue := NewQueue(config.Output, max(config.QueueLines, 1))
	// The library's TextFormatter styles each part of a line for terminals, which takes about eight times
	// as long as logfmt (BenchmarkLogLine).
	formatter := log.LogfmtFormatter
	switch config.Format {
	case "text":
	case "json":
		formatter = log.JSONFormatter
		queue.formatReport = formatJSONReport
	default:
		return nil, nil, ErrFormat
	}
	logger := log.NewWithOptions(queue, log.Options{
		Level: level, Formatter: formatter, ReportTimestamp: true,
		TimeFunction: log.NowUTC, TimeFormat: time.RFC3339Nano,
	})
	return logger, queue, nil
}
