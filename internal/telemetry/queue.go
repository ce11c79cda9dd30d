// Package telemetry provides the logger, the HTTP server for metrics and health, and the TLS configuration
// that all processes of the system share.
package telemetry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
)

// ErrStopped reports a flush after the queue's Run has returned.
var ErrStopped = errors.New("telemetry: log queue is stopped")

// maxBatchBytes is the size at which a batch of lines is written.
const maxBatchBytes = 16 << 10

const (
	// maxPooledBytes is the capacity of the largest buffer kept for reuse, so that a short line does not hold the memory of
	// a long one.
	maxPooledBytes = 1 << 10
	// bytesPerLine is the memory of the queue for each line of its capacity. Most lines are shorter.
	bytesPerLine = 1 << 10
)

var (
	droppedLines = metrics.NewCounter("clementine_log_lines_dropped_total")
	writeErrors  = metrics.NewCounter("clementine_log_write_errors_total")
)

// Queue is a writer that never blocks: it stores lines in a bounded queue that one goroutine writes to the
// output. If the queue is full, the line is dropped and counted, and a later log line reports the number.
type Queue struct {
	output io.Writer
	lines  chan *bytes.Buffer
	// maxPending is the maximum of pending, the number of lines accepted but not written yet.
	maxPending int64
	pending    atomic.Int64
	// maxPendingBytes is the maximum of pendingBytes, the memory of these lines.
	maxPendingBytes int64
	pendingBytes    atomic.Int64
	flushes         chan chan struct{}
	stopped         chan struct{}
	buffers         sync.Pool
	// unreported is the number of dropped lines that the log does not report yet.
	unreported   atomic.Uint64
	formatReport func(dropped uint64) []byte
}

// NewQueue returns a queue that holds at most capacity lines, of bytesPerLine in the mean, in addition to the one that is
// being written.
// Run writes the lines to the output.
func NewQueue(output io.Writer, capacity int) *Queue {
	return &Queue{
		output:          output,
		lines:           make(chan *bytes.Buffer, capacity+1),
		maxPending:      int64(capacity) + 1,
		maxPendingBytes: (int64(capacity) + 1) * bytesPerLine,
		flushes:         make(chan chan struct{}),
		stopped:         make(chan struct{}),
		buffers:         sync.Pool{New: func() any { return new(bytes.Buffer) }},
		formatReport:    formatTextReport,
	}
}

func formatTextReport(dropped uint64) []byte {
	return fmt.Appendf(nil, "level=warn msg=\"log queue was full\" dropped_lines=%d\n", dropped)
}

func formatJSONReport(dropped uint64) []byte {
	return fmt.Appendf(nil, `{"level":"warn","msg":"log queue was full","dropped_lines":%d}`+"\n", dropped)
}

// Write queues a copy of the line. It never blocks and always reports success, because the caller cannot
// handle a full queue.
func (q *Queue) Write(line []byte) (int, error) {
	buffer := q.buffers.Get().(*bytes.Buffer)
	buffer.Reset()
	buffer.Write(line)
	if !q.reserve(int64(buffer.Cap())) {
		q.releaseBuffer(buffer)
		q.unreported.Add(1)
		droppedLines.Inc()
		return len(line), nil
	}
	q.lines <- buffer
	return len(line), nil
}

// reserve takes the place of a line with the given memory in bytes, or reports that the queue is full. A line that needs more
// than all of the queue is queued if it is the only one.
func (q *Queue) reserve(bytes int64) bool {
	lines, held := q.pending.Add(1), q.pendingBytes.Add(bytes)
	if lines <= q.maxPending && (held <= q.maxPendingBytes || lines == 1) {
		return true
	}
	q.release(1, bytes)
	return false
}

// release gives back the places of lines and their memory in bytes.
func (q *Queue) release(lines, bytes int64) {
	q.pending.Add(-lines)
	q.pendingBytes.Add(-bytes)
}

// Run writes queued lines until ctx is done, then writes the remaining lines and returns the context's error.
func (q *Queue) Run(ctx context.Context) error {
	defer close(q.stopped)
	for {
		select {
		case buffer := <-q.lines:
			q.writeBatch(buffer)
		case done := <-q.flushes:
			q.drain()
			close(done)
		case <-ctx.Done():
			q.drain()
			return ctx.Err()
		}
	}
}

// Flush waits until the lines queued before the call are written. It returns the context's error if ctx is
// done first, or ErrStopped if Run has returned, which writes all remaining lines itself.
func (q *Queue) Flush(ctx context.Context) error {
	done := make(chan struct{})
	select {
	case q.flushes <- done:
	case <-q.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// drain writes the lines that are queued at the time of the call. It ignores later lines, so that it returns
// even if lines keep arriving.
func (q *Queue) drain() {
	for range len(q.lines) {
		select {
		case buffer := <-q.lines:
			q.writeBatch(buffer)
		default:
			// An earlier batch already included the remaining lines.
		}
	}
	q.writeDropReport()
}

// writeBatch writes a line together with the lines queued after it, to save system calls.
func (q *Queue) writeBatch(buffer *bytes.Buffer) {
	q.writeDropReport()
	count, held := int64(1), int64(buffer.Cap())
	for buffer.Len() < maxBatchBytes {
		select {
		case next := <-q.lines:
			buffer.Write(next.Bytes())
			held += int64(next.Cap())
			q.releaseBuffer(next)
			count++
			continue
		default:
		}
		break
	}
	if _, err := q.output.Write(buffer.Bytes()); err != nil {
		writeErrors.Inc()
	}
	q.release(count, held)
	q.releaseBuffer(buffer)
}

func (q *Queue) writeDropReport() {
	dropped := q.unreported.Swap(0)
	if dropped == 0 {
		return
	}
	if _, err := q.output.Write(q.formatReport(dropped)); err != nil {
		writeErrors.Inc()
	}
}

func (q *Queue) releaseBuffer(buffer *bytes.Buffer) {
	if buffer.Cap() <= maxPooledBytes {
		q.buffers.Put(buffer)
	}
}
