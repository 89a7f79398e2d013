package gatekeeper_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sendRaw sends a request in bytes of its own and returns the response's status, or 0 if
// there was none.
func (s *testSystem) sendRaw(t *testing.T, method, target, header, body string) int {
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.server.URL, "http://"))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: a.example\r\nKey: k1\r\nAttempt: a1\r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n%s", method, target, header, len(body), body)
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// forwarded returns the requests that reached an endpoint, with their bodies.
func (e *fakeEndpoint) forwarded() (requests []*http.Request, bodies []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests, e.bodies
}

// TestTargetReachesTheEndpointByteForByte guards against a path or query that the library
// escapes, decodes or cleans on the way, and against routes that are chosen by another path
// than the one that the endpoint gets.
func TestTargetReachesTheEndpointByteForByte(t *testing.T) {
	s := newSystem(t, time.Minute)
	e := s.addEndpoint("desk", respond(200, "printed"))
	s.start()
	for target, status := range map[string]int{
		"/orders/a|b": 200, "/orders/a%2fb|c": 200, "/orders/%2F1": 200, "/orders//1": 200, "/orders/../x": 200, "/orders/./x": 200,
		"/orders/1?": 200, "/orders/1?a=b;c": 200, "/orders/1?a=%zz|": 200, "/orders/1;v=2": 200, "/orders/\"<>^`{}": 200, "/orders/%7C%7c": 200,
		"/orders/caf\xc3\xa9\xff": 200, "/orders/1#part": 200, "/orders/http://b.example/": 200, "/orders/?http://b.example": 200,
		"/orders%2F1": 404, "/order%73/1": 404, "//orders/1": 404, "/": 404, "*": 404, "/orders": 404,
	} {
		before := e.requestCount()
		assert.Equal(t, s.sendRaw(t, http.MethodPost, target, "", "x"), status, target)
		requests, _ := e.forwarded()
		if status != 200 {
			assert.Equal(t, len(requests), before, target)
			continue
		}
		assert.Equal(t, requests[before].RequestURI, target)
	}
	assert.Equal(t, s.sendRaw(t, http.MethodPost, "http://a.example/orders/a|b?c", "", "x"), 200)
	requests, _ := e.forwarded()
	assert.Equal(t, requests[len(requests)-1].RequestURI, "/orders/a|b?c")
}

// FuzzRequestReachesTheEndpointUnchanged sends requests of any form through an entry. What
// reaches the endpoint has the method, target and body that were sent.
func FuzzRequestReachesTheEndpointUnchanged(f *testing.F) {
	for _, target := range []string{
		"a|b", "%2F1", "a%2fb|c", "/x", "../x", "?", "?a;b", "?%zz", ";", "*", "\xff", "#", "%", "%zz", " ", "\t", "a b", "//", "?//", "\x7f", "é",
	} {
		f.Add("POST", target, "X-Kept", "body")
	}
	for _, method := range []string{"GET", "PUT", "DELETE", "OPTIONS", "TRACE", "CONNECT", "post", "PURGE!", "M-SEARCH", "PRI", "HEAD"} {
		f.Add(method, "1", "X-Kept", "")
	}
	for _, name := range []string{"x-kept", "Te", "Trailer", "Upgrade", "Expect", "X_Kept", "Transfer-Encoding", "Content-Encoding", "Cookie"} {
		f.Add("POST", "1", name, "body")
	}
	s := newSystem(f, time.Minute)
	e := s.addEndpoint("desk", respond(200, "printed"))
	s.start()
	f.Fuzz(func(t *testing.T, method, target, name, body string) {
		if strings.ContainsAny(method+target+name, "\r\n") || strings.ContainsAny(name, ": ") || strings.ContainsAny(method, " \t") {
			t.Skip("another request")
		}
		switch strings.ToLower(name) {
		case "host", "key", "attempt", "content-length", "connection", "transfer-encoding", "expect", "left-ms", "model", "last-event", "parts", "":
			t.Skip("a header with a meaning of its own")
		}
		target = "/orders/" + target
		requests, _ := e.forwarded()
		before := len(requests)
		status := s.sendRaw(t, method, target, name+": 1\r\n", body)
		requests, bodies := e.forwarded()
		if len(requests) == before {
			assert.Assert(t, status == 0 || status >= 400, "status %d without an endpoint", status)
			return
		}
		assert.Equal(t, len(requests), before+1)
		last := requests[before]
		assert.Equal(t, last.Method, method)
		assert.Equal(t, last.RequestURI, target)
		assert.Equal(t, bodies[before], body)
	})
}
