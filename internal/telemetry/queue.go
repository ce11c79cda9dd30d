// Package telemetry provides the log, the metrics and health endpoints, and TLS configuration that
// every process of the system uses in the same way.
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

// ErrStopped reports a flush of a queue whose Run has ended.
var ErrStopped = errors.New("telemetry: log queue is stopped")

// maxBatchBytes bounds the lines that are written together.
const maxBatchBytes = 16 << 10

// maxPooledLine is the largest buffer kept for reuse, so that one long line does not pin memory.
const maxPooledLine = 16 << 10

var (
	droppedLines = metrics.NewCounter("clementine_log_lines_dropped_total")
	writeErrors  = metrics.NewCounter("clementine_log_write_errors_total")
)

// Queue is a writer that never blocks: lines wait in a bounded queue that one goroutine drains.
// A line that finds the queue full is dropped, counted and reported in the log later.
type Queue struct {
	output io.Writer
	lines  chan *bytes.Buffer
	// limit bounds waiting, the lines that are taken but not written yet.
	limit   int64
	waiting atomic.Int64
	flushes chan chan struct{}
	stopped chan struct{}
	buffers sync.Pool
	// unreported counts dropped lines that no line of the log mentions yet.
	unreported atomic.Uint64
	report     func(dropped uint64) []byte
}

// NewQueue returns a queue of at most capacity lines beside the one that is being written. Run drains it to the output.
func NewQueue(output io.Writer, capacity int) *Queue {
	return &Queue{
		output:  output,
		lines:   make(chan *bytes.Buffer, capacity+1),
		limit:   int64(capacity) + 1,
		flushes: make(chan chan struct{}),
		stopped: make(chan struct{}),
		buffers: sync.Pool{New: func() any { return new(bytes.Buffer) }},
		report:  textReport,
	}
}

func textReport(dropped uint64) []byte {
	return fmt.Appendf(nil, "level=warn msg=\"log queue was full\" dropped_lines=%d\n", dropped)
}

func jsonReport(dropped uint64) []byte {
	return fmt.Appendf(nil, `{"level":"warn","msg":"log queue was full","dropped_lines":%d}`+"\n", dropped)
}

// Write queues a copy of the line. It never blocks and always reports success, because a caller can
// do nothing about a full queue.
func (q *Queue) Write(line []byte) (int, error) {
	buffer := q.buffers.Get().(*bytes.Buffer)
	buffer.Reset()
	buffer.Write(line)
	if q.waiting.Add(1) > q.limit {
		q.waiting.Add(-1)
		q.release(buffer)
		q.unreported.Add(1)
		droppedLines.Inc()
		return len(line), nil
	}
	q.lines <- buffer
	return len(line), nil
}

// Run writes queued lines until the context ends, then writes what is still queued.
func (q *Queue) Run(ctx context.Context) error {
	defer close(q.stopped)
	for {
		select {
		case buffer := <-q.lines:
			q.write(buffer)
		case done := <-q.flushes:
			q.drain()
			close(done)
		case <-ctx.Done():
			q.drain()
			return ctx.Err()
		}
	}
}

// Flush returns when the lines queued before the call are written. It returns the context's error,
// or ErrStopped if Run has ended, which flushes on its own.
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

// drain writes the lines that are queued at the time of the call, so that a steady stream of lines
// cannot keep it from returning.
func (q *Queue) drain() {
	for range len(q.lines) {
		select {
		case buffer := <-q.lines:
			q.write(buffer)
		default:
			// The write before took the rest along.
		}
	}
	q.reportDropped()
}

// write writes a line together with those that wait behind it, since each write costs a system call.
func (q *Queue) write(buffer *bytes.Buffer) {
	q.reportDropped()
	count := int64(1)
	for buffer.Len() < maxBatchBytes {
		select {
		case next := <-q.lines:
			buffer.Write(next.Bytes())
			q.release(next)
			count++
			continue
		default:
		}
		break
	}
	if _, err := q.output.Write(buffer.Bytes()); err != nil {
		writeErrors.Inc()
	}
	q.waiting.Add(-count)
	q.release(buffer)
}

func (q *Queue) reportDropped() {
	dropped := q.unreported.Swap(0)
	if dropped == 0 {
		return
	}
	if _, err := q.output.Write(q.report(dropped)); err != nil {
		writeErrors.Inc()
	}
}

func (q *Queue) release(buffer *bytes.Buffer) {
	if buffer.Cap() <= maxPooledLine {
		q.buffers.Put(buffer)
	}
}
