package exposer

import (
	"bytes"
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestBlockedPipeMakesNoWriterWait(t *testing.T) {
	r, w, err := os.Pipe()
	assert.NilError(t, err)
	q := NewQueue(w)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- q.Run(ctx) }()
	logger := NewLogger(q, "entry-1")
	const lines = 3 * queueLines
	written := make(chan struct{})
	go func() {
		defer close(written)
		for i := range lines {
			logger.Info("request", "n", i, "text", strings.Repeat("x", 200))
		}
	}()
	select {
	case <-written:
	case <-time.After(20 * time.Second):
		t.Fatal("a writer waits for a pipe that nobody reads")
	}
	assert.Assert(t, q.dropped.Load() > 0)
	var out bytes.Buffer
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = out.ReadFrom(r)
	}()
	time.Sleep(10 * time.Millisecond)
	cancel()
	<-ended
	q.Flush(10 * time.Second)
	assert.NilError(t, w.Close())
	<-read
	assert.Assert(t, strings.Contains(out.String(), "log lines dropped"))
	assert.Assert(t, strings.Count(out.String(), "msg=request") >= queueLines)
}

func TestLinesKeepTheirOrder(t *testing.T) {
	var out bytes.Buffer
	q := NewQueue(&out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, err := q.Write([]byte(line))
		assert.NilError(t, err)
	}
	q.Flush(time.Second)
	assert.Equal(t, out.String(), "a\nb\nc\n")
}
