package exposer

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// queueLines bounds the lines that wait while the reader of the logs stands
// still; at 300 bytes each they are a little over a megabyte.
const queueLines = 4096

// droppedLines counts lines that found the queue full.
var droppedLines = metrics.NewCounter("papayaseam_log_lines_dropped_total")

// Queue passes log lines on without ever making their writer wait. Lines that
// find it full are dropped, counted, and told of by one line later.
type Queue struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewQueue returns a queue before a writer; Run passes the lines on.
func NewQueue(out io.Writer) *Queue { return &Queue{out: out, lines: make(chan []byte, queueLines)} }

// Write takes one line.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- slices.Clone(line):
	default:
		q.dropped.Add(1)
		droppedLines.Inc()
	}
	return len(line), nil
}

// Run passes lines on until the context ends.
func (q *Queue) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case line := <-q.lines:
			q.pass(line)
		}
	}
}

func (q *Queue) pass(line []byte) {
	_, _ = q.out.Write(line)
	if n := q.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(q.out, "time=%s level=warn msg=\"log lines dropped\" count=%d\n", time.Now().UTC().Format(logTime), n)
	}
}

// Flush passes on what still waits, until a moment; call it after Run.
func (q *Queue) Flush(within time.Duration) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case line := <-q.lines:
				q.pass(line)
			default:
				return
			}
		}
	}()
	select {
	case <-done:
	case <-time.After(within):
	}
}
