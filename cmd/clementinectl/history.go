package main

import (
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// historyMargin is how long before the first and after the last line of a job changes of the coordinator are shown.
const historyMargin = 2 * time.Second

// coordinatorMessages are the lines about the coordinator that explain gaps in the history of a job.
var coordinatorMessages = []string{"elected coordinator", "term ended", "handing over to a stronger entry"}

// historyCommand reads logs and shows what was decided about one job or task.
type historyCommand struct {
	ID string `arg:"" help:"Id of a job, or name of one of its tasks."`
	logFiles
}

// Help returns the examples.
func (c *historyCommand) Help() string {
	return "Examples:\n  clementinectl history 53b93f7611125713 front-*.log side-*.log\n" +
		"  journalctl -u clementined -o cat | clementinectl history 53b93f7611125713.0.0.12"
}

// Run prints the lines about the id in the order of their times, with the changes of the coordinator between
// them.
func (c *historyCommand) Run(s *session) error {
	lines, err := c.read(os.Stdin)
	if err != nil {
		return err
	}
	history := selectHistory(lines, c.ID)
	if len(history) == 0 {
		return &exitError{code: exitNotFound, cause: errors.Errorf("no line of the logs is about %s", c.ID)}
	}
	return s.printHistory(history)
}

// selectHistory returns the lines about the id and the changes of the coordinator around them, by time.
func selectHistory(lines []logLine, id string) []logLine {
	var first, last time.Time
	for i := range lines {
		if !lines[i].names(id) {
			continue
		}
		if first.IsZero() || lines[i].Time.Before(first) {
			first = lines[i].Time
		}
		if lines[i].Time.After(last) {
			last = lines[i].Time
		}
	}
	if first.IsZero() {
		return nil
	}
	var history []logLine
	for i := range lines {
		near := lines[i].Time.After(first.Add(-historyMargin)) && lines[i].Time.Before(last.Add(historyMargin))
		if lines[i].names(id) || near && slices.Contains(coordinatorMessages, lines[i].Message) {
			history = append(history, lines[i])
		}
	}
	slices.SortStableFunc(history, func(x, y logLine) int { return x.Time.Compare(y.Time) })
	return history
}

// printHistory writes the lines in the selected format.
func (s *session) printHistory(history []logLine) error {
	if s.format == "table" {
		rows := table{{"TIME", "SINCE FIRST", "PROCESS", "DECISION", "INPUTS"}}
		for i := range history {
			line := &history[i]
			rows = append(rows, []string{
				line.Time.Format("15:04:05.000"),
				fmt.Sprintf("%+.3f s", line.Time.Sub(history[0].Time).Seconds()),
				line.Process, line.Message, line.text(),
			})
		}
		return s.printTable(rows)
	}
	return s.printValue(history)
}
