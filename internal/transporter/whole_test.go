package transporter

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// endless gives bytes for ever, and counts them.
type endless struct{ read atomic.Int64 }

func (e *endless) Read(data []byte) (int, error) {
	e.read.Add(int64(len(data)))
	return len(data), nil
}

func TestEndlessBodyIsCutAtItsBound(t *testing.T) {
	const most = 1 << 20
	p := NewPool(4 << 20)
	body := &endless{}
	_, held, err := p.Read(body, most)
	assert.Assert(t, errors.Is(err, ErrEndless), "%v", err)
	assert.Equal(t, held, 0)
	assert.Assert(t, body.read.Load() <= most+1)
	assert.Equal(t, p.left.Load(), int64(4<<20), "all that was held is released")
}

// TestEndlessBodiesTogetherHoldLittle has 200 bodies without an end at once: what
// they hold stays within the pool and a small part each.
func TestEndlessBodiesTogetherHoldLittle(t *testing.T) {
	const (
		bodies = 200
		pool   = 8 << 20
	)
	p := NewPool(pool)
	gate := make(chan struct{})
	ended := make(chan error, bodies)
	var holding, most atomic.Int64
	for range bodies {
		go func() {
			<-gate
			counted := readerFunc(func(data []byte) (int, error) {
				raise(&most, holding.Add(int64(len(data))))
				return len(data), nil
			})
			read := int64(0)
			_, _, err := p.Read(readerFunc(func(data []byte) (int, error) {
				read += int64(len(data))
				return counted(data)
			}), 16<<20)
			holding.Add(-read)
			ended <- err
		}()
	}
	close(gate)
	for range bodies {
		err := <-ended
		assert.Assert(t, errors.Is(err, ErrHeld) || errors.Is(err, ErrEndless), "%v", err)
	}
	assert.Assert(t, most.Load() <= pool+bodies*freeBytes, "%d bytes held at once", most.Load())
	assert.Equal(t, p.left.Load(), int64(pool))
}

// raise makes a maximum at least n.
func raise(most *atomic.Int64, n int64) {
	for {
		seen := most.Load()
		if n <= seen || most.CompareAndSwap(seen, n) {
			return
		}
	}
}

type readerFunc func(data []byte) (int, error)

func (f readerFunc) Read(data []byte) (int, error) { return f(data) }

func TestWholeBodyIsReadAndReleased(t *testing.T) {
	p := NewPool(4 << 20)
	want := bytes.Repeat([]byte("parchment"), 50_000)
	data, held, err := p.Read(bytes.NewReader(want), 1<<20)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(data, want))
	assert.Assert(t, held > 0)
	p.Release(held)
	assert.Equal(t, p.left.Load(), int64(4<<20))
	_, _, err = p.Read(io.MultiReader(strings.NewReader("par"), errReader{}), 1<<20)
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF))
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestEndlessHeadIsCut has a process that sends header lines for ever.
func TestEndlessHeadIsCut(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	served := make(chan int, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			served <- 0
			return
		}
		n, _ := io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		line := "X: " + strings.Repeat("y", 1000) + "\r\n"
		for err == nil {
			var sent int
			sent, err = io.WriteString(conn, line)
			n += sent
		}
		served <- n
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	err = NewClient().Get(ctx, "http://"+l.Addr().String(), &struct{}{})
	assert.Assert(t, errors.Is(err, ErrBroken), "%v", err)
	assert.NilError(t, ctx.Err())
	// Beyond the bound only what the system's buffers take is ever sent.
	assert.Assert(t, <-served < 64<<20)
}

// TestEndlessRestOfAnInnerAnswerIsNotRead has a process that goes on after its
// answer.
func TestEndlessRestOfAnInnerAnswerIsNotRead(t *testing.T) {
	left := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(left)
		_, _ = io.WriteString(w, "{}")
		for r.Context().Err() == nil {
			if _, err := w.Write(make([]byte, 4096)); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	assert.NilError(t, NewClient().Get(t.Context(), server.URL, &struct{}{}))
	<-left
}
