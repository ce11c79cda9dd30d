package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/configuration"
	"clementineflow/internal/resource"
)

// Limits of a trace.
const (
	// MaxLineBytes holds a configuration document, which is at most 1 MB in CBOR, as JSON.
	MaxLineBytes = 4 << 20
	// MaxLines and MaxBytes bound the memory of a decoded trace.
	MaxLines = 1_000_000
	MaxBytes = 128 << 20
	// MaxLength bounds the time of a replay.
	MaxLength = 7 * 24 * time.Hour
	// minEvery bounds the number of derived heartbeats.
	minEvery = 100 * time.Millisecond
	// maxQuantity keeps sums of sizes within 64 bits.
	maxQuantity = 1 << 50
	// maxStream bounds the requests of one line.
	maxStream = 1_000_000
	// maxSlowdown is far above any slowdown that has been observed.
	maxSlowdown = 1000
)

// Trace is a decoded trace.
type Trace struct {
	Header       Header
	Events       []Line
	Expectations []Line
}

// Decode reads a trace. It returns a *LineError for the first line that cannot be used, or the error
// of the reader.
func Decode(reader io.Reader) (*Trace, error) {
	d := &decoder{trace: &Trace{}}
	scanner := bufio.NewScanner(io.LimitReader(reader, MaxBytes+1))
	scanner.Buffer(make([]byte, 0, 64<<10), MaxLineBytes)
	for scanner.Scan() {
		d.number++
		d.bytes += len(scanner.Bytes()) + 1
		if err := d.line(scanner.Bytes()); err != nil {
			return nil, err
		}
	}
	err := scanner.Err()
	if errors.Is(err, bufio.ErrTooLong) {
		d.number++
		return nil, d.fail(ErrLimit, fmt.Sprintf("more than %d bytes", MaxLineBytes))
	}
	if err != nil {
		return nil, errors.Wrap(err, "trace")
	}
	if d.number == 0 {
		d.number = 1
		return nil, d.fail(ErrHeader, "the trace is empty")
	}
	return d.trace, nil
}

// decoder holds the state of one decoding.
type decoder struct {
	trace  *Trace
	number int
	bytes  int
	at     Duration
}

func (d *decoder) fail(cause error, detail string) error {
	return &LineError{Line: d.number, Cause: cause, Detail: detail}
}

func (d *decoder) line(data []byte) error {
	if d.number > MaxLines || d.bytes > MaxBytes {
		return d.fail(ErrLimit, fmt.Sprintf("more than %d lines or %d bytes", MaxLines, MaxBytes))
	}
	line := Line{number: d.number}
	strict := json.NewDecoder(bytes.NewReader(data))
	strict.DisallowUnknownFields()
	if err := strict.Decode(&line); err != nil {
		return d.fail(ErrSyntax, err.Error())
	}
	if _, err := strict.Token(); !errors.Is(err, io.EOF) {
		return d.fail(ErrSyntax, "text after the object")
	}
	if count(line.bodies()) != 1 {
		return d.fail(ErrBody, fmt.Sprintf("%d bodies", count(line.bodies())))
	}
	if d.number == 1 || line.Header != nil {
		return d.header(&line)
	}
	if line.Expect != nil {
		return d.expectation(line)
	}
	return d.event(line)
}

func count(set []bool) int {
	total := 0
	for _, is := range set {
		if is {
			total++
		}
	}
	return total
}

func (d *decoder) header(line *Line) error {
	switch {
	case line.Header == nil:
		return d.fail(ErrHeader, "missing on the first line")
	case d.number != 1:
		return d.fail(ErrHeader, "only the first line is one")
	case line.Header.Version != Version:
		return d.fail(ErrVersion, fmt.Sprintf("%d, known is %d", line.Header.Version, Version))
	case line.Header.Region == "":
		return d.fail(ErrHeader, "no region")
	}
	if document := line.Header.Configuration; document != nil {
		if err := configuration.Validate(document); err != nil {
			return d.fail(ErrValue, err.Error())
		}
	}
	d.trace.Header = *line.Header
	return nil
}

func (d *decoder) expectation(line Line) error {
	e := line.Expect
	if count(e.kinds()) != 1 {
		return d.fail(ErrBody, fmt.Sprintf("%d kinds of outcome", count(e.kinds())))
	}
	if last := time.Duration(e.lastTime()); last < 0 || last > MaxLength {
		return d.fail(ErrValue, "time of the outcome")
	}
	d.trace.Expectations = append(d.trace.Expectations, line)
	return nil
}

func (d *decoder) event(line Line) error {
	if line.At < d.at {
		return d.fail(ErrOrder, fmt.Sprintf("%s after %s", line.At, d.at))
	}
	if time.Duration(line.At) > MaxLength {
		return d.fail(ErrLimit, fmt.Sprintf("later than %s", MaxLength))
	}
	if reason := faultOf(&line); reason != "" {
		return d.fail(ErrValue, reason)
	}
	d.at = line.At
	d.trace.Events = append(d.trace.Events, line)
	return nil
}

// faultOf returns the first value of an event that is out of range, or "".
func faultOf(line *Line) string {
	switch {
	case line.WorkerJoined != nil:
		return joinedFault(line.WorkerJoined)
	case line.Submit != nil:
		return submitFault(line.Submit)
	case line.Request != nil:
		return requestFault(line.Request)
	case line.Requests != nil:
		stream := line.Requests
		if stream.Count < 1 || stream.Count > maxStream || stream.Every <= 0 || stream.Every > Duration(time.Hour) {
			return "requests.count or requests.every"
		}
		return requestFault(&stream.Request)
	case line.Report != nil:
		if _, ok := reportEvents[line.Report.Event]; !ok {
			return "report.event"
		}
	case line.Reply != nil:
		if _, ok := replyOutcomes[line.Reply.Outcome]; !ok {
			return "reply.outcome"
		}
	case line.Configuration != nil:
		if err := configuration.Validate(line.Configuration); err != nil {
			return err.Error()
		}
	}
	return ""
}

func joinedFault(joined *WorkerJoined) string {
	every := time.Duration(joined.Every)
	switch {
	case joined.Name == "":
		return "worker_joined.name"
	case every < 0 || every > 0 && every < minEvery:
		return "worker_joined.every: at least " + minEvery.String()
	case !usable(joined.Capacity):
		return "worker_joined.capacity"
	}
	return ""
}

func submitFault(submit *Submit) string {
	if _, ok := taskKinds[submit.Kind]; !ok {
		return "submit.kind"
	}
	if _, ok := priorities[submit.Priority]; !ok {
		return "submit.priority"
	}
	if !usable(submit.Size) {
		return "submit.size"
	}
	run := submit.Run
	if run == nil {
		return ""
	}
	if min(run.Time, run.Checkpoint, run.FailAfter) < 0 || max(run.Time, run.Checkpoint, run.FailAfter) > Duration(MaxLength) {
		return "submit.run: time"
	}
	if run.Slowdown < 0 || run.Slowdown > maxSlowdown || !usable(run.Use) {
		return "submit.run: slowdown or use"
	}
	return ""
}

func requestFault(request *Request) string {
	if _, ok := priorities[request.Priority]; !ok {
		return "request.priority"
	}
	if request.ID == "" || request.Service == "" {
		return "request.id or request.service"
	}
	if request.Timeout <= 0 || request.Timeout > Duration(time.Hour) || request.ServiceTime < 0 || request.ServiceTime > Duration(time.Hour) {
		return "request.timeout or request.service_time"
	}
	return ""
}

func usable(quantity resource.Quantity) bool {
	return quantity.Validate() == nil && max(quantity.MilliCPU, quantity.MemoryBytes, quantity.Accelerators) <= maxQuantity
}
