package transporter

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"papayaseam/internal/limiter"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// smallBounds are bounds that a few clients reach: 4 MB for bodies.
func smallBounds() limiter.Bounds {
	b := limiter.NewBounds()
	b.MemoryMB = 16
	return b
}

// runLimited starts a server within bounds.
func runLimited(t *testing.T, bounds limiter.Bounds, handle http.HandlerFunc) (*Limits, string) {
	l := NewLimits(bounds, log.New(io.Discard))
	s, err := Listen("127.0.0.1:0", handle, WithLimits(l, limiter.PortMain))
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	go func() { ended <- s.Run(ctx) }()
	go func() { ended <- l.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
		<-ended
	})
	return l, s.Address()
}

// connect opens a connection, writes text to it and closes it when the test ends.
func connect(t *testing.T, address, text string) net.Conn {
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	return conn
}

// answer returns all that is received until the connection ends.
func answer(conn net.Conn) string {
	data, _ := io.ReadAll(conn)
	return string(data)
}

func (l *Limits) used() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Used()
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for limit := time.Now().Add(10 * time.Second); time.Now().Before(limit); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("waited in vain until %s", what)
}

// readOnly reads the body and answers its length.
func readOnly(most int, within time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(w, r, most, within)
		if err != nil {
			WriteBodyError(w, err)
			return
		}
		_, _ = fmt.Fprint(w, body.Len())
	}
}

// Guards against a body that differs from what was sent, whatever its framing and size.
func TestBodyIsReadWhole(t *testing.T) {
	l, address := runLimited(t, smallBounds(), func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(w, r, 1<<20, 0)
		if !assert.Check(t, err) {
			return
		}
		fromReader, err := io.ReadAll(body.Reader())
		assert.Check(t, err)
		whole, err := body.Bytes()
		assert.Check(t, err)
		assert.Check(t, bytes.Equal(whole, fromReader))
		assert.Check(t, body.Len() == len(whole))
		_, _ = w.Write(whole)
	})
	for _, size := range []int{0, 1, 4095, 4096, 4097, segmentBytes, segmentBytes + 1, 300_000, 1 << 20} {
		data := bytes.Repeat([]byte("0123456789"), size/10+1)[:size]
		for _, body := range []io.Reader{bytes.NewReader(data), io.MultiReader(bytes.NewReader(data))} {
			response, err := http.Post("http://"+address, "", body)
			assert.NilError(t, err)
			got, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			_ = response.Body.Close()
			assert.Assert(t, bytes.Equal(got, data), "size %d", size)
		}
	}
	waitFor(t, "nothing is held", func() bool { return l.used() == 0 })
}

// Guards against a body that is read, or asked for, though its announced length is above the
// limit.
func TestAnnouncedLengthIsRefusedUnread(t *testing.T) {
	_, address := runLimited(t, smallBounds(), readOnly(1000, 0))
	conn := connect(t, address, "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 1001\r\n\r\n")
	got := answer(conn)
	assert.Assert(t, strings.HasPrefix(got, "HTTP/1.1 413 "), got)
	assert.Assert(t, strings.Contains(got, "Connection: close"), got)
	conn = connect(t, address, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"+strings.Repeat("64\r\n"+strings.Repeat("x", 100)+"\r\n", 11))
	assert.Assert(t, strings.HasPrefix(answer(conn), "HTTP/1.1 413 "))
}

// Guards against a body that a client does not finish and that is waited for past the deadline
// of its request.
func TestLateBodyGetsRequestTimeout(t *testing.T) {
	l, address := runLimited(t, smallBounds(), readOnly(1<<20, 100*time.Millisecond))
	for _, size := range []int{100, 500_000} {
		got := answer(connect(t, address, fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\nx", size)))
		assert.Assert(t, strings.HasPrefix(got, "HTTP/1.1 408 "), got)
		assert.Assert(t, strings.Contains(got, "Connection: close"), got)
	}
	assert.Equal(t, l.used(), 0)
}

// Guards against a client that sends a byte now and then and is waited for without an end.
func TestSlowBodyEndsAtTheLeastRate(t *testing.T) {
	bounds := smallBounds()
	bounds.BodyTime, bounds.MinRate = 200*time.Millisecond, 1<<20
	_, address := runLimited(t, bounds, readOnly(1<<20, 0))
	got := answer(connect(t, address, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nx"))
	assert.Assert(t, strings.HasPrefix(got, "HTTP/1.1 408 "), got)
}

// TestStalledBodyIsEvictedForAnother has clients that stop short and hold the whole budget, and
// then one that sends all: it is served, and one of them is told that its request has not run.
func TestStalledBodyIsEvictedForAnother(t *testing.T) {
	l, address := runLimited(t, smallBounds(), readOnly(2<<20, 0))
	part := strings.Repeat("x", 1<<20)
	var stalled []net.Conn
	for range 4 {
		stalled = append(stalled, connect(t, address, fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(part)+1, part)))
	}
	waitFor(t, "the budget is held", func() bool { return l.used() >= 3<<20 })
	waitFor(t, "a whole body is served", func() bool {
		response, err := http.Post("http://"+address, "", strings.NewReader(part))
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	evicted := 0
	for _, conn := range stalled {
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		if got := answer(conn); strings.HasPrefix(got, "HTTP/1.1 503 ") && strings.Contains(got, "Retry-After: ") && strings.Contains(got, "Connection: close") {
			evicted++
		}
	}
	assert.Assert(t, evicted > 0)
	for _, conn := range stalled {
		_ = conn.Close()
	}
	waitFor(t, "nothing is held", func() bool { return l.used() == 0 })
}

// Guards against a budget that shrinks with each handler that panics, or whose client leaves
// partway.
func TestBytesReturnOnceWhereTheHandlerFails(t *testing.T) {
	data := strings.Repeat("x", 200_000)
	handled := make(chan struct{}, 1)
	l, address := runLimited(t, smallBounds(), func(w http.ResponseWriter, r *http.Request) {
		defer func() { handled <- struct{}{} }()
		body, err := ReadBody(w, r, 1<<20, 0)
		if err != nil {
			WriteBodyError(w, err)
			return
		}
		if r.URL.Path == "/released" {
			body.Release()
			body.Release()
		}
		panic(http.ErrAbortHandler)
	})
	for _, path := range []string{"/", "/released"} {
		_, err := http.Post("http://"+address+path, "", strings.NewReader(data))
		assert.Assert(t, err != nil)
		<-handled
		waitFor(t, "nothing is held", func() bool { return l.used() == 0 })
	}
	conn := connect(t, address, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 200001\r\n\r\n"+data)
	waitFor(t, "the body is held", func() bool { return l.used() > 0 })
	_ = conn.Close()
	<-handled
	waitFor(t, "nothing is held", func() bool { return l.used() == 0 })
}

// Guards against small requests that are refused because large ones hold the whole budget.
func TestSmallBodyIsServedWithoutBudget(t *testing.T) {
	l, address := runLimited(t, smallBounds(), readOnly(1<<20, 0))
	l.update(limiter.BeginMsg{ID: 1 << 40})
	assert.Assert(t, l.ask(1<<40, l.bounds.BodyBytes()))
	l.update(limiter.CompleteMsg{ID: 1 << 40})
	for size, want := range map[int]int{limiter.FreeBodyBytes: http.StatusOK, limiter.FreeBodyBytes + 1: http.StatusServiceUnavailable} {
		response, err := http.Post("http://"+address, "", strings.NewReader(strings.Repeat("x", size)))
		assert.NilError(t, err)
		_ = response.Body.Close()
		assert.Equal(t, response.StatusCode, want, "size %d", size)
		assert.Equal(t, response.Header.Get("Retry-After") != "", want == http.StatusServiceUnavailable)
	}
}

// Guards against copies of large bodies that together hold more than their budget, and against
// one above it that is never made.
func TestCopiesOfLargeBodiesWaitForTheirTurn(t *testing.T) {
	l := NewLimits(smallBounds(), log.New(io.Discard))
	b := &Body{limits: l, size: 4 << 20}
	release, err := b.AwaitWork(t.Context(), 4)
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = b.AwaitWork(ctx, 1)
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded))
	release()
	release()
	again, err := b.AwaitWork(t.Context(), 1)
	assert.NilError(t, err)
	again()
	assert.Equal(t, l.work.left.Load(), int64(l.bounds.WorkBytes()))
}
