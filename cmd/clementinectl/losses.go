package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"

	"github.com/pkg/errors"

	"clementineflow/internal/losses"
)

// lossesCommand reads logs and shows why jobs were not in time.
type lossesCommand struct {
	Job string `help:"Show the waits and runs of this job instead of the sums."`
	logFiles
}

// Help returns the examples.
func (c *lossesCommand) Help() string {
	return "Examples:\n  clementinectl losses front-*.log\n  clementinectl losses --job 53b93f7611125713 front-*.log"
}

// Run prints the sums by queue, or the waits and runs of one job.
func (c *lossesCommand) Run(s *session) error {
	lines, err := c.read(os.Stdin)
	if err != nil {
		return err
	}
	collector, err := s.collectLosses(lines)
	if err != nil {
		return &exitError{code: exitUsage, cause: err}
	}
	if c.Job == "" {
		return s.printLosses(collector.Summary())
	}
	job, err := collector.Job(c.Job)
	if err != nil {
		return &exitError{code: exitNotFound, cause: err}
	}
	return s.printChain(job)
}

// maxMalformedLines is the number of malformed lines that are reported one by one. Logs of a version that lacks a field
// may have one for each job.
const maxMalformedLines = 20

// collectLosses gathers the jobs from the lines, which may be of several processes one after the other. Malformed lines
// are reported and skipped. If they leave no job, the first one is the error.
func (s *session) collectLosses(lines []logLine) (*losses.Collector, error) {
	if len(lines) == 0 {
		return nil, errors.New("no line of the input is one of a daemon's log")
	}
	slices.SortStableFunc(lines, func(x, y logLine) int { return x.Time.Compare(y.Time) })
	collector := losses.NewCollector()
	var malformed []error
	for i := range lines {
		if err := collector.Add(lines[i].lossesLine()); err != nil {
			malformed = append(malformed, err)
		}
	}
	if len(malformed) > 0 && collector.Len() == 0 {
		return nil, malformed[0]
	}
	for _, err := range malformed[:min(len(malformed), maxMalformedLines)] {
		s.progress("skipped: %v", err)
	}
	if more := len(malformed) - maxMalformedLines; more > 0 {
		s.progress("skipped: %d more malformed lines", more)
	}
	return collector, nil
}

// lossesLine returns the line as package losses reads it.
func (l *logLine) lossesLine() *losses.Line {
	fields := make(map[string]string, len(l.Fields))
	for _, field := range l.Fields {
		fields[field.Key] = field.Value
	}
	return &losses.Line{Source: l.source, Time: l.Time, Message: l.Message, Fields: fields}
}

// printLosses writes the sums in the selected format.
func (s *session) printLosses(summary losses.Summary) error {
	if s.format != "table" {
		return s.printValue(summary)
	}
	for _, rows := range []table{
		resultRows(summary), causeRows(summary), boundRows(summary), decisionRows(summary), openRows(summary),
		leftOutRows(summary),
	} {
		if err := s.printTable(rows); err != nil {
			return err
		}
		if _, err := fmt.Fprintln(s.output); err != nil {
			return err
		}
	}
	return nil
}

// resultRows returns, for each queue, the number of its jobs by result.
func resultRows(summary losses.Summary) table {
	header := []string{"QUEUE", "JOBS"}
	for _, result := range losses.Results() {
		header = append(header, string(result))
	}
	rows := table{header}
	for _, queue := range summary.Queues {
		row := []string{queue.Queue, strconv.Itoa(queue.Jobs)}
		for _, result := range losses.Results() {
			row = append(row, strconv.Itoa(queue.Results[result]))
		}
		rows = append(rows, row)
	}
	return rows
}

// causeRows returns, for each queue, the seconds that its late and overdue jobs spent on each cause.
func causeRows(summary losses.Summary) table {
	header := []string{"SECONDS OF LATE JOBS"}
	for _, queue := range summary.Queues {
		header = append(header, queue.Queue)
	}
	rows := table{header}
	for _, cause := range losses.Causes() {
		row := []string{string(cause)}
		for _, queue := range summary.Queues {
			row = append(row, fmt.Sprintf("%.1f", queue.Spent[cause].Seconds()))
		}
		rows = append(rows, row)
	}
	return rows
}

// boundRows returns, for each queue, what was done in time and what any order could have done in time with the same
// processor time.
func boundRows(summary losses.Summary) table {
	rows := table{{"QUEUE", "JOBS IN TIME", "AT MOST", "WORK IN TIME", "AT MOST"}}
	for _, queue := range summary.Queues {
		b := queue.Bound
		rows = append(rows, []string{
			queue.Queue, strconv.Itoa(b.InTime), fmt.Sprintf("%.1f", b.MaxInTime),
			fmt.Sprintf("%.0f core s", b.InTimeWork.Seconds()), fmt.Sprintf("%.0f core s", b.MaxInTimeWork.Seconds()),
		})
	}
	return rows
}

// decisionRows returns, for each queue, what the coordinators decided about its jobs.
func decisionRows(summary losses.Summary) table {
	header := []string{"DECISIONS"}
	for _, reason := range losses.PromotionReasons() {
		header = append(header, "JOBS PROMOTED: "+string(reason))
	}
	rows := table{append(header, "HOLDS", "EXPIRED", "MOVES")}
	for _, queue := range summary.Queues {
		decisions := queue.Decisions
		row := []string{queue.Queue}
		for _, reason := range losses.PromotionReasons() {
			row = append(row, strconv.Itoa(decisions.Promoted[reason]))
		}
		row = append(row, strconv.Itoa(decisions.Holds), strconv.Itoa(decisions.HoldsExpired), strconv.Itoa(decisions.Moves))
		rows = append(rows, row)
	}
	return rows
}

// openRows returns, for each queue, the jobs without an end and how many of their tasks were done.
func openRows(summary losses.Summary) table {
	rows := table{{"JOBS WITHOUT AN END", "JOBS", "THEIR TASKS", "DONE"}}
	for _, queue := range summary.Queues {
		open := queue.Open
		rows = append(rows, []string{queue.Queue, strconv.Itoa(open.Jobs), strconv.Itoa(open.Tasks), strconv.Itoa(open.TasksDone)})
	}
	return rows
}

// leftOutRows returns the number of submissions that were not accepted, by reason, and of jobs that are left out.
func leftOutRows(summary losses.Summary) table {
	rows := table{{"NOT IN THE SUMS", "JOBS"}}
	for _, reason := range slices.Sorted(maps.Keys(summary.Refusals)) {
		rows = append(rows, []string{"not accepted: " + reason, strconv.Itoa(summary.Refusals[reason])})
	}
	return append(rows, []string{"accepted before the logs", strconv.Itoa(summary.WithoutAcceptance)})
}

// printChain writes the waits and runs of a job in the selected format.
func (s *session) printChain(job *losses.Job) error {
	chain := job.Chain()
	if s.format != "table" {
		return s.printValue(chain)
	}
	rows := table{{"SINCE SUBMISSION", "FOR", "CAUSE", "TASK", "RUN", "AGENT"}}
	for _, segment := range chain {
		rows = append(rows, []string{
			fmt.Sprintf("%+.3f s", segment.From.Sub(job.Submitted).Seconds()), fmt.Sprintf("%.3f s", segment.For.Seconds()),
			string(segment.Cause), dash(segment.Task), strconv.Itoa(segment.Run), dash(segment.Agent),
		})
	}
	if err := s.printTable(rows); err != nil {
		return err
	}
	_, err := fmt.Fprintf(s.output, "%s: objective %s%s\n", job.Result(), job.Objective, resultDetail(job))
	return err
}

// resultDetail tells why a job failed, or what was done of one without an end.
func resultDetail(job *losses.Job) string {
	switch result := job.Result(); {
	case result == losses.ResultFailed && job.Failure != nil:
		return fmt.Sprintf(", %d runs of task %s failed", job.Failure.Failures, job.Failure.Task)
	case result == losses.ResultOpen:
		return fmt.Sprintf(", %d of %d tasks done", job.TasksDone(), job.Tasks)
	default:
		return ""
	}
}
