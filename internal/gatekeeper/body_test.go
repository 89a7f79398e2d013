package gatekeeper_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"papayaseam/internal/exposer"
	"papayaseam/internal/limiter"
	"papayaseam/internal/transporter"

	"gotest.tools/v3/assert"
)

// listen starts a server for an entry within the default limits.
func (s *testSystem) listen() string {
	limits := transporter.NewLimits(limiter.NewBounds(), exposer.NewLogger(&s.logged, "entry"))
	server, err := transporter.Listen("127.0.0.1:0", s.entry, transporter.WithLimits(limits, limiter.PortMain))
	assert.NilError(s.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	go func() { ended <- server.Run(ctx) }()
	go func() { ended <- limits.Run(ctx) }()
	s.t.Cleanup(func() {
		cancel()
		<-ended
		<-ended
	})
	return server.Address()
}

// Guards against an entry that reads, asks for or waits for the body of a request that it
// refuses anyway, and against one that waits for a body past the request's deadline.
func TestBodyIsReadOnlyForRequestsThatCanBeServed(t *testing.T) {
	s := newSystem(t, time.Minute)
	e := s.addEndpoint("desk", respond(http.StatusOK, "printed"))
	s.start()
	address := s.listen()
	cases := map[string]struct {
		head, body, want string
	}{
		"unknown key":      {"Key: forged\r\nExpect: 100-continue\r\nContent-Length: 500", "", "HTTP/1.1 401 "},
		"length too large": {"Key: k1\r\nExpect: 100-continue\r\nContent-Length: 1001", "", "HTTP/1.1 413 "},
		"stops short":      {"Key: k1\r\nLeft-Ms: 300\r\nContent-Length: 500", "x", "HTTP/1.1 408 "},
		"chunks stop":      {"Key: k1\r\nLeft-Ms: 300\r\nTransfer-Encoding: chunked", "1\r\nx\r\n", "HTTP/1.1 408 "},
		"whole":            {"Key: k1\r\nConnection: close\r\nExpect: 100-continue\r\nContent-Length: 3", "abc", "HTTP/1.1 100 "},
	}
	for name, c := range cases {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
		_, err = fmt.Fprintf(conn, "POST /orders/1 HTTP/1.1\r\nHost: a.example\r\nAttempt: a1\r\n%s\r\n\r\n%s", c.head, c.body)
		assert.NilError(t, err)
		data, _ := io.ReadAll(conn)
		_ = conn.Close()
		got := string(data)
		assert.Assert(t, strings.HasPrefix(got, c.want), "%s: %s", name, got)
		assert.Assert(t, strings.Contains(got, "Connection: close"), "%s: %s", name, got)
	}
	assert.Equal(t, e.requestCount(), 1)
	assert.Equal(t, e.bodies[0], "abc")
}
