package transporter

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// controlMemory is what the target allows a control process in all.
const controlMemory = 128 << 20

// roundTripper answers each request with the response that it returns.
type roundTripper func() *http.Response

func (f roundTripper) RoundTrip(*http.Request) (*http.Response, error) { return f(), nil }

// endlessBody repeats a byte after its first one. Close waits until all bodies are closed,
// so that none is released before all have read what they may.
type endlessBody struct {
	first, rest byte
	read        *atomic.Int64
	open        *sync.WaitGroup
}

func (b *endlessBody) Read(data []byte) (int, error) {
	for i := range data {
		data[i] = b.rest
	}
	if b.first != 0 {
		data[0], b.first = b.first, 0
	}
	b.read.Add(int64(len(data)))
	return len(data), nil
}

func (b *endlessBody) Close() error {
	b.open.Done()
	b.open.Wait()
	return nil
}

// TestEndlessInnerAnswersTogetherHoldLittle guards against a process that keeps what faulty
// ones send in place of an answer until its memory is used up. The bodies are JSON so far:
// a string without an end, and white space.
func TestEndlessInnerAnswersTogetherHoldLittle(t *testing.T) {
	const calls = 16
	for _, bytes := range [][2]byte{{'"', 'x'}, {' ', ' '}} {
		var read atomic.Int64
		var open sync.WaitGroup
		open.Add(calls)
		client := newClient(roundTripper(func() *http.Response {
			return &http.Response{StatusCode: http.StatusOK, Body: &endlessBody{first: bytes[0], rest: bytes[1], read: &read, open: &open}}
		}))
		errs := make(chan error, calls)
		for range calls {
			go func() {
				var out string
				errs <- client.Get(t.Context(), "http://127.0.0.1:1/", &out)
			}()
		}
		for range calls {
			err := <-errs
			assert.Check(t, errors.Is(err, ErrBroken), "%v", err)
			assert.Check(t, errors.Is(err, ErrHeld) || errors.Is(err, ErrEndless), "%v", err)
		}
		assert.Assert(t, read.Load() <= controlMemory, "%d bytes were held at once", read.Load())
		assert.Equal(t, client.answers.left.Load(), int64(innerPoolBytes), "what was held is released")
	}
}

// endlessServer writes a beginning and then a chunk to each connection until it is closed.
func endlessServer(t *testing.T, beginning, chunk string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, err = io.WriteString(conn, beginning)
			for err == nil {
				_, err = io.WriteString(conn, chunk)
			}
			_ = conn.Close()
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	return l.Addr().String()
}

// TestEndlessBytesOfAnyFormAreCut guards against a process that never stops sending bytes
// that are no answer, in a head or in a body: nothing is kept beyond the bounds of a head
// and of a message, and the connection is closed while the call's time is not over.
func TestEndlessBytesOfAnyFormAreCut(t *testing.T) {
	line := strings.Repeat("y", 1000)
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		beginning, chunk string
		most             int
	}{
		"no line":             {"", line, maxHeaderBytes},
		"no line of HTTP":     {"", line + "\r\n", maxHeaderBytes},
		"status line":         {"HTTP/1.1 200 ", line, maxHeaderBytes},
		"header line":         {"HTTP/1.1 200 OK\r\nX: ", line, maxHeaderBytes},
		"header lines":        {"HTTP/1.1 200 OK\r\n", "X: " + line + "\r\n", maxHeaderBytes},
		"continued line":      {"HTTP/1.1 200 OK\r\nX: y\r\n", " " + line + "\r\n", maxHeaderBytes},
		"interim answers":     {"", "HTTP/1.1 103 Early Hints\r\nLink: " + line + "\r\n\r\n", maxHeaderBytes},
		"empty interim":       {"", "HTTP/1.1 100 Continue\r\n\r\n", maxHeaderBytes},
		"chunk size":          {chunked, "0", maxInnerBytes},
		"chunk extension":     {chunked + "1;", line, maxInnerBytes},
		"chunk extensions":    {chunked, "1;" + line + "\r\n \r\n", maxInnerBytes},
		"trailer line":        {chunked + "0\r\nX: ", line, maxInnerBytes},
		"trailer lines":       {chunked + "0\r\n", "X: " + line + "\r\n", maxInnerBytes},
		"string":              {"HTTP/1.1 200 OK\r\n\r\n\"", line, maxInnerBytes},
		"white space":         {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat(" ", 1000), maxInnerBytes},
		"string in chunks":    {chunked + "1\r\n\"\r\n", "3e8\r\n" + line + "\r\n", maxInnerBytes},
		"error of any length": {"HTTP/1.1 500 Sorry\r\n\r\n", line, maxHeaderBytes},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			address := endlessServer(t, c.beginning, c.chunk)
			before := readBytes.Get()
			client := NewClient()
			var out string
			err := client.Get(ctx, "http://"+address+"/", &out)
			client.http.CloseIdleConnections()
			assert.Assert(t, err != nil)
			assert.NilError(t, ctx.Err(), "the call was ended by its time only")
			// The framing of chunks and the library's buffers add a part.
			read := int(readBytes.Get() - before)
			assert.Assert(t, read <= c.most+c.most/8, "%d bytes were read: %s", read, fmt.Sprint(err))
		})
	}
}
