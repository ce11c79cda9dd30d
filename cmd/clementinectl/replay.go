package main

import (
	"errors"
	"fmt"
	"os"

	"clementineflow/internal/replay"
)

// errOutcomeFailed reports that a stated outcome does not hold.
var errOutcomeFailed = errors.New("a stated outcome does not hold")

// replayCommand replays traces against the decision code of this program.
type replayCommand struct {
	Files     []string `arg:"" name:"file" type:"existingfile" help:"Trace files."`
	Decisions bool     `help:"Print the decision log; with -o json or yaml as a field."`
}

// replayedFile is the result of one trace in JSON and YAML.
type replayedFile struct {
	File string `json:"file" yaml:"file"`
	replay.Result
	Decisions string `json:"decisions,omitempty" yaml:"decisions,omitempty"`
}

// replayedFiles is the result of all traces in JSON and YAML.
type replayedFiles struct {
	Files  []replayedFile `json:"files" yaml:"files"`
	Passed int            `json:"passed" yaml:"passed"`
	Failed int            `json:"failed" yaml:"failed"`
}

// Run replays the files. It returns errOutcomeFailed if an outcome does not hold.
func (c *replayCommand) Run(s *session) error {
	var all replayedFiles
	for _, file := range c.Files {
		result, err := replayFile(file)
		if err != nil {
			return &exitError{code: exitUsage, cause: fmt.Errorf("%s: %w", file, err)}
		}
		one := replayedFile{File: file, Result: *result}
		if c.Decisions {
			one.Decisions = string(result.Decisions)
		}
		all.Files = append(all.Files, one)
		all.Passed += result.Passed
		all.Failed += result.Failed
	}
	if err := s.printReplay(&all); err != nil {
		return err
	}
	if all.Failed > 0 {
		return errOutcomeFailed
	}
	return nil
}

func replayFile(path string) (*replay.Result, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	trace, err := replay.Decode(file)
	if err != nil {
		return nil, err
	}
	return replay.Replay(trace), nil
}

func (s *session) printReplay(all *replayedFiles) error {
	if s.format == "table" {
		return s.printReplayLines(all)
	}
	return s.printValue(all)
}

// printReplayLines prints a line for each outcome and the totals at the end.
func (s *session) printReplayLines(all *replayedFiles) error {
	for _, file := range all.Files {
		if _, err := fmt.Fprint(s.output, file.Decisions); err != nil {
			return err
		}
		for _, outcome := range file.Outcomes {
			word := "FAILED"
			if outcome.Passed {
				word = "passed"
			}
			if _, err := fmt.Fprintf(s.output, "%s %s:%d %s: %s\n", word, file.File, outcome.Line, outcome.Name, outcome.Detail); err != nil {
				return err
			}
		}
	}
	_, err := fmt.Fprintf(s.output, "%d passed, %d failed\n", all.Passed, all.Failed)
	return err
}
