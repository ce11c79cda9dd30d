package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"
)

// maxLogLineBytes bounds one line of a log; longer ones end the reading with an error.
const maxLogLineBytes = 1 << 20

// logFiles are the logs that a command reads.
type logFiles struct {
	Files []string `arg:"" optional:"" name:"file" type:"existingfile" help:"Log files of any processes; standard input without them."`
}

// read returns the lines of all files, or of the input if there are none.
func (c *logFiles) read(input io.Reader) ([]logLine, error) {
	if len(c.Files) == 0 {
		return readLog(input, "standard input")
	}
	var lines []logLine
	for _, name := range c.Files {
		file, err := os.Open(name)
		if err != nil {
			return nil, &exitError{code: exitUsage, cause: err}
		}
		read, err := readLog(file, name)
		_ = file.Close()
		if err != nil {
			return nil, err
		}
		lines = append(lines, read...)
	}
	return lines, nil
}

// readLog returns the lines of one log. What is not a line of a daemon's log is left out.
func readLog(input io.Reader, name string) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLogLineBytes)
	for number := 1; scanner.Scan(); number++ {
		if line, ok := parseLogLine(scanner.Text()); ok {
			line.source = fmt.Sprintf("%s:%d", name, number)
			lines = append(lines, line)
		}
	}
	return lines, errors.Wrap(scanner.Err(), name)
}
