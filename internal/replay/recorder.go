package replay

import (
	"bytes"
	"context"
	"os"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
)

// recorderQueue bounds the lines that wait to be written.
const recorderQueue = 4096

var droppedLines = metrics.GetOrCreateCounter("clementine_trace_lines_dropped_total")

// Recorder writes a trace of an entry's inputs. Record never blocks: lines that find the queue or the
// file full are dropped and counted. Its methods are safe for concurrent use.
type Recorder struct {
	file    *os.File
	limit   int64
	written int64

	mu    sync.Mutex // orders the times of the lines
	began time.Time
	lines chan Line
}

// NewRecorder creates the file, which is replaced if it exists, and writes the header. The file never
// exceeds the limit in bytes.
func NewRecorder(path string, limit int64, header Header) (*Recorder, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "trace")
	}
	header.Version = Version
	r := &Recorder{file: file, limit: limit, began: time.Now(), lines: make(chan Line, recorderQueue)}
	if err := r.write(&Line{Header: &header}); err != nil {
		_ = file.Close()
		return nil, err
	}
	return r, nil
}

// Record queues an event at the present time. A nil recorder records nothing.
func (r *Recorder) Record(line Line) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	line.At = Duration(time.Since(r.began).Round(time.Microsecond))
	select {
	case r.lines <- line:
	default:
		droppedLines.Inc()
	}
}

// Run writes queued lines until the context ends, and then closes the file. Lines beyond the limit are
// dropped and counted, so that a failed disk or a full trace never affects the entry.
func (r *Recorder) Run(ctx context.Context) error {
	defer func() { _ = r.file.Close() }()
	for {
		select {
		case line := <-r.lines:
			r.writeOrDrop(&line)
		case <-ctx.Done():
			r.flush()
			return nil
		}
	}
}

// flush writes the lines that wait.
func (r *Recorder) flush() {
	for {
		select {
		case line := <-r.lines:
			r.writeOrDrop(&line)
		default:
			return
		}
	}
}

func (r *Recorder) writeOrDrop(line *Line) {
	if err := r.write(line); err != nil {
		droppedLines.Inc()
	}
}

func (r *Recorder) write(line *Line) error {
	var encoded bytes.Buffer
	if err := Encode(&encoded, line); err != nil {
		return errors.Wrap(err, "trace")
	}
	if r.written+int64(encoded.Len()) > r.limit {
		r.limit = r.written // a later, shorter line would leave a gap
		return ErrLimit
	}
	count, err := r.file.Write(encoded.Bytes())
	r.written += int64(count)
	return errors.Wrap(err, "trace")
}
