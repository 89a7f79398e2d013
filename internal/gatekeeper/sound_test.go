package gatekeeper_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// unsoundHeads are heads of answers that are none in the protocol. Each is followed by a whole
// body, which must not reach a client.
func unsoundHeads(body string) map[string]string {
	lines := "Attempt: " + cutAttempt + "\r\nContent-Type: text/event-stream\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	return map[string]string{
		"status 000":             "HTTP/1.1 000 X\r\n" + lines + length,
		"status 600":             "HTTP/1.1 600 X\r\n" + lines + length,
		"status 999":             "HTTP/1.1 999 X\r\n" + lines + length,
		"version":                "HTTP/2.0 200 OK\r\n" + lines + length,
		"blank in a name":        "HTTP/1.1 200 OK\r\nFoo Bar: x\r\n" + lines + length,
		"blank before the colon": "HTTP/1.1 200 OK\r\n" + lines + strings.Replace(length, ":", " :", 1),
		"control byte in a name": "HTTP/1.1 200 OK\r\nFoo\x01: x\r\n" + lines + length,
		"first line with blank":  "HTTP/1.1 200 OK\r\n Foo: x\r\n" + lines + length,
		"refusal":                "HTTP/1.1 503 X\r\nNot-Run: 1\r\nFoo Bar: x\r\n" + lines + length,
		"failure":                "HTTP/1.1 500 X\r\nFoo Bar: x\r\n" + lines + length,
		"chunks in HTTP/1.0":     "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + lines + "\r\n",
		"length and chunks":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + lines + length,
	}
}

// TestUnsoundAnswerIsBroken guards against a client that gets an answer of a server in trouble
// whose status is out of range, whose head has a line that is no field, or whose end is not
// certain, for each kind of request.
func TestUnsoundAnswerIsBroken(t *testing.T) {
	body := completeStream(cutEvents)
	for name, head := range unsoundHeads(body) {
		t.Run(name, func(t *testing.T) {
			s, c := newSystem(t, time.Minute), &cutter{t: t}
			for _, service := range []string{"desk", "writers"} {
				s.addAliases(service, s.addEndpoint(service, c.serve), 40)
			}
			s.start()
			client := &rawClient{t: t, address: strings.TrimPrefix(s.server.URL, "http://")}
			defer client.close()
			checkCut(client, c, head+body, false)
		})
	}
}

// uploadBytes is the size of a request that no buffer of a connection holds.
const uploadBytes = 4 << 20

// TestAnswerResetDuringUploadIsNotWhole guards against a client that gets a part of an answer as
// all of it: the server answers a long upload at once, without a length, and resets the
// connection while the upload is under way. For each kind of request, and several moments.
func TestAnswerResetDuringUploadIsNotWhole(t *testing.T) {
	part := completeStream(cutEvents)
	part = part[:strings.Index(part, "\n\n")+2]
	for _, wait := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
		t.Run(wait.String(), func(t *testing.T) {
			s := newSystem(t, time.Minute)
			raw, attempts := resetUploads(t, part, wait)
			for _, service := range []string{"desk", "writers"} {
				s.addAliases(service, raw, 60)
			}
			s.start()
			s.declare(6)
			waitUntil(t, func() bool {
				response, _, err := s.call(http.MethodPost, "/orders/1", strings.Repeat("x", 2000))
				return err == nil && response.StatusCode != http.StatusRequestEntityTooLarge
			})
			for _, path := range []string{"/orders/1", "/look/1", "/once/1", "/verse/1"} {
				for range 4 {
					before := attempts.Load()
					status, body, err := uploadTo(t, s, path)
					assert.Assert(t, err != nil || status >= http.StatusInternalServerError, "%s: status %d, %q as a whole answer", path, status, body)
					assert.Assert(t, attempts.Load() > before, "%s: no endpoint got it: status %d, %v", path, status, err)
				}
			}
		})
	}
}

// resetUploads starts an endpoint that answers each request at once with a part of a body, and
// resets the connection after a while. It returns the number of requests too.
func resetUploads(t *testing.T, part string, wait time.Duration) (*fakeEndpoint, *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	attempts, done := &atomic.Int64{}, make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 1024))
			attempts.Add(1)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nAttempt: "+cutAttempt+"\r\nContent-Type: text/event-stream\r\n\r\n"+part)
			time.Sleep(wait)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	return &fakeEndpoint{server: &httptest.Server{URL: "http://" + l.Addr().String()}}, attempts
}

// uploadTo sends a long request on a connection of its own and returns the answer as far as it
// came, with an error if it is not framed as whole.
func uploadTo(t *testing.T, s *testSystem, path string) (status int, body string, err error) {
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.server.URL, "http://"))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	// An entry that refuses the body closes the connection while it is written.
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a.example\r\nKey: k1\r\nModel: m\r\nAttempt: %s\r\nContent-Length: %d\r\n\r\n%s", path, cutAttempt, uploadBytes, strings.Repeat("x", uploadBytes))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}
