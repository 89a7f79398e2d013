package transporter

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"papayaseam/internal/limiter"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

const plainRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// readAnswer reads the head of an answer.
func readAnswer(t *testing.T, conn net.Conn) string {
	data := make([]byte, 4096)
	n, err := conn.Read(data)
	assert.NilError(t, err)
	return string(data[:n])
}

// closed reports whether the server has closed a connection, after what it has sent.
func closed(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	_, err := io.Copy(io.Discard, conn)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// TestConnectionsInUseOutliveAFlood opens more connections than the port accepts: those that
// send nothing are closed, the one that carried a request stays.
func TestConnectionsInUseOutliveAFlood(t *testing.T) {
	bounds := smallBounds()
	bounds.MaxDescriptors = 64
	l, address := runLimited(t, bounds, func(http.ResponseWriter, *http.Request) {})
	used := connect(t, address, plainRequest)
	assert.Assert(t, strings.HasPrefix(readAnswer(t, used), "HTTP/1.1 200 "))
	waitFor(t, "the connection waits", func() bool {
		l.ports[0].mu.Lock()
		defer l.ports[0].mu.Unlock()
		_, views := l.ports[0].view(nil, nil)
		return len(views) == 1 && views[0].Waiting
	})
	most := bounds.Connections(limiter.PortMain)
	silent := make([]net.Conn, 0, 2*most)
	for range 2 * most {
		silent = append(silent, connect(t, address, ""))
	}
	waitFor(t, "the first silent connection is closed", func() bool { return closed(silent[0]) })
	assert.Assert(t, !closed(silent[len(silent)-1]))
	_ = used.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := io.WriteString(used, plainRequest)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(readAnswer(t, used), "HTTP/1.1 200 "))
	l.ports[0].mu.Lock()
	defer l.ports[0].mu.Unlock()
	assert.Assert(t, len(l.ports[0].connections) <= most)
}

// Guards against a request in progress that is cut for a new connection.
func TestNewConnectionIsRefusedWhereAllAreInUse(t *testing.T) {
	bounds := smallBounds()
	bounds.MaxDescriptors = 2
	release := make(chan struct{})
	_, address := runLimited(t, bounds, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		<-release
	})
	defer close(release)
	first := connect(t, address, plainRequest)
	assert.Assert(t, strings.HasPrefix(readAnswer(t, first), "HTTP/1.1 200 "))
	second := connect(t, address, "")
	waitFor(t, "the second connection is closed", func() bool { return closed(second) })
	assert.Assert(t, !closed(first))
}

func TestConnectionsOfOneAddressAreBounded(t *testing.T) {
	bounds := smallBounds()
	bounds.PerAddress = 2
	_, address := runLimited(t, bounds, func(http.ResponseWriter, *http.Request) {})
	conns := []net.Conn{connect(t, address, ""), connect(t, address, ""), connect(t, address, "")}
	waitFor(t, "the third connection is closed", func() bool { return closed(conns[2]) })
	_ = conns[0].Close()
	waitFor(t, "another one is accepted", func() bool { return !closed(connect(t, address, "")) })
}

// Guards against large heads without an end that hold memory together.
func TestLargeHeadsTogetherAreBounded(t *testing.T) {
	bounds := smallBounds()
	bounds.HeadTime = time.Hour // Only the bound of all heads ends one.
	l, address := runLimited(t, bounds, func(http.ResponseWriter, *http.Request) {})
	head := "GET / HTTP/1.1\r\nHost: a\r\nX-Field: " + strings.Repeat("x", 60<<10)
	bound := int64(l.bounds.HeadBytes())
	var conns []net.Conn
	for range 2 * bound / (60 << 10) {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		conns = append(conns, conn)
		_, _ = io.WriteString(conn, head)
	}
	waitFor(t, "some are closed", func() bool {
		n := 0
		for _, conn := range conns {
			if closed(conn) {
				n++
			}
		}
		return n > 0 && l.headBytes.Load() <= bound
	})
	for _, conn := range conns {
		_ = conn.Close()
	}
	waitFor(t, "nothing is held", func() bool { return l.headBytes.Load() == 0 })
	conn := connect(t, address, head+"\r\n\r\n")
	assert.Assert(t, strings.HasPrefix(readAnswer(t, conn), "HTTP/1.1 200 "))
	waitFor(t, "the head is not held with its request", func() bool { return l.headBytes.Load() == 0 })
}

// Guards against a handler that waits for good for a client that does not read.
func TestWriteWithoutProgressEnds(t *testing.T) {
	bounds := smallBounds()
	bounds.WriteTime = 300 * time.Millisecond
	ended := make(chan error, 1)
	_, address := runLimited(t, bounds, func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write(bytes.Repeat([]byte("x"), 64<<20))
		ended <- err
	})
	connect(t, address, plainRequest)
	select {
	case err := <-ended:
		assert.Assert(t, err != nil)
	case <-time.After(20 * time.Second):
		t.Fatal("the handler still writes")
	}
}

// Guards against a client that holds its connection with the rest of a body that nobody reads.
func TestRestOfARefusedBodyIsNotAwaited(t *testing.T) {
	bounds := smallBounds()
	bounds.HeadTime, bounds.BodyTime = 300*time.Millisecond, 300*time.Millisecond
	_, address := runLimited(t, bounds, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusUnauthorized)
		_, _ = w.Write(bytes.Repeat([]byte("x"), 10_000))
	})
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		conn := connect(t, address, method+" / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nx")
		answer(conn)
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		assert.Assert(t, closed(conn), method)
	}
}
