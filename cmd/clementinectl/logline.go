package main

import (
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// logField is one key and value of a log line.
type logField struct {
	Key   string `json:"key" yaml:"key"`
	Value string `json:"value" yaml:"value"`
}

// logLine is one line that a daemon has logged.
type logLine struct {
	Time time.Time `json:"time" yaml:"time"`
	// Process is what stands before the line: the name of the process where logs were gathered with names.
	Process string     `json:"process,omitempty" yaml:"process,omitempty"`
	Level   string     `json:"level" yaml:"level"`
	Message string     `json:"message" yaml:"message"`
	Fields  []logField `json:"fields" yaml:"fields"`
	// source is the file and the number of the line, for error messages.
	source string
}

// timeKey begins each line of a daemon's log.
const timeKey = "time="

// parseLogLine returns the line, and false if it is not one of a daemon's log.
func parseLogLine(text string) (logLine, bool) {
	start := strings.Index(text, timeKey)
	if start < 0 {
		return logLine{}, false
	}
	line := logLine{Process: processName(text[:start])}
	decoder := logfmt.NewDecoder(strings.NewReader(text[start:]))
	if !decoder.ScanRecord() {
		return logLine{}, false
	}
	for decoder.ScanKeyval() {
		key, value := string(decoder.Key()), string(decoder.Value())
		switch key {
		case "time":
			at, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return logLine{}, false
			}
			line.Time = at
		case "level":
			line.Level = value
		case "msg":
			line.Message = value
		default:
			line.Fields = append(line.Fields, logField{Key: key, Value: value})
		}
	}
	return line, decoder.Err() == nil && !line.Time.IsZero()
}

// processName returns the last word before a line, without a separator at its end.
func processName(prefix string) string {
	words := strings.Fields(prefix)
	if len(words) == 0 {
		return ""
	}
	return strings.TrimRight(words[len(words)-1], ":|]")
}

// names reports whether the line is about the job or task.
func (l *logLine) names(id string) bool {
	for _, field := range l.Fields {
		named := field.Key == "job" || field.Key == "task"
		if named && (field.Value == id || strings.HasPrefix(field.Value, id+".")) {
			return true
		}
	}
	return false
}

// text returns the fields as they stand in the log.
func (l *logLine) text() string {
	var words []string
	for _, field := range l.Fields {
		value := field.Value
		if strings.ContainsAny(value, " =\"") {
			value = `"` + strings.ReplaceAll(value, `"`, `\"`) + `"`
		}
		words = append(words, field.Key+"="+value)
	}
	return strings.Join(words, " ")
}
