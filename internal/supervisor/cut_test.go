package supervisor

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// rawAnswer is an answer as an endpoint writes it to a connection.
type rawAnswer struct {
	header string
	body   string
	// closes means that the answer has no length and ends with its connection.
	closes bool
}

// rawAnswers returns an answer in each framing.
func rawAnswers() map[string]rawAnswer {
	const (
		lines  = " 200 OK\r\nContent-Type: text/event-stream\r\nX-Note: some\r\n \tfolded\r\n"
		length = "Content-Length: 13\r\n\r\n"
		body   = "data: whole\n\n"
		chunks = "d\r\n" + body + "\r\n0\r\n"
	)
	return map[string]rawAnswer{
		"length":            {header: "HTTP/1.1" + lines + length, body: body},
		"length, newlines":  {header: strings.ReplaceAll("HTTP/1.1"+lines+length, "\r\n", "\n"), body: body},
		"length, interim":   {header: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1" + lines + length, body: body},
		"chunks":            {header: "HTTP/1.1" + lines + "Transfer-Encoding: chunked\r\n\r\n", body: chunks + "\r\n"},
		"chunks, trailers":  {header: "HTTP/1.1" + lines + "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n", body: chunks + "Sum: 12\r\nMore: x\r\n\r\n"},
		"end of connection": {header: "HTTP/1.1" + lines + "\r\n", body: body, closes: true},
		"connection: close": {header: "HTTP/1.1" + lines + "Connection: close\r\n\r\n", body: body, closes: true},
		"HTTP/1.0":          {header: "HTTP/1.0" + lines + "\r\n", body: body, closes: true},
	}
}

// cuts returns the number of places at which a cut leaves the answer incomplete. A
// close within a body that ends with its connection is not among them.
func (a rawAnswer) cuts(reset bool) int {
	switch {
	case a.closes && reset:
		return len(a.header+a.body) + 1
	case a.closes:
		return len(a.header)
	}
	return len(a.header + a.body)
}

// cutter is an endpoint that cuts its answers.
type cutter struct {
	t        *testing.T
	mu       sync.Mutex
	data     string // data is what is written before the cut.
	reset    bool   // reset means that the connection is reset, not closed.
	attempts int    // attempts is the number of attempts that arrived.
}

// set prepares for the next attempt.
func (c *cutter) set(data string, reset bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.data, c.reset, c.attempts = data, reset, 0
}

func (c *cutter) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attempts
}

func (c *cutter) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/announcement" {
		_, _ = fmt.Fprint(w, `{"started":"incarnation-1"}`)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts++
	conn, _, err := http.NewResponseController(w).Hijack()
	if !assert.Check(c.t, err) {
		return
	}
	_, _ = io.WriteString(conn, c.data)
	if c.reset {
		assert.Check(c.t, conn.(*net.TCPConn).SetLinger(0))
	}
	_ = conn.Close()
}

// verdict runs an attempt and returns its verdict.
func verdict(s *Supervisor, id string, repeatable bool) string {
	request := s.newRequest(id)
	request.Repeatable = repeatable
	frame := finalFrame(s.submit(request))
	<-s.ended
	return frame.Verdict
}

// TestCutAnswerIsNeverComplete guards against reporting an answer as complete, or the
// attempt as not run, when the endpoint stopped in the middle of the head, body or
// trailers.
func TestCutAnswerIsNeverComplete(t *testing.T) {
	for _, reset := range []bool{false, true} {
		for name, answer := range rawAnswers() {
			t.Run(fmt.Sprintf("%s, reset %t", name, reset), func(t *testing.T) {
				c := &cutter{t: t}
				s := newServing(t, c.serve)
				for cut := range answer.cuts(reset) {
					for _, repeatable := range []bool{false, true} {
						c.set((answer.header + answer.body)[:cut], reset)
						assert.Equal(t, verdict(s, fmt.Sprint("a", cut, repeatable), repeatable), "may-have-run", "cut after %q", c.data)
						assert.Equal(t, c.count(), 1, "cut after %q", c.data)
					}
				}
				c.set(answer.header+answer.body, false)
				assert.Equal(t, verdict(s, "whole", true), "answered")
			})
		}
	}
}

// TestAnswerWithoutFinalStatusIsBroken guards against reporting an answer as complete
// whose status is none or not final, with which no entry can answer a client.
func TestAnswerWithoutFinalStatusIsBroken(t *testing.T) {
	c := &cutter{t: t}
	s := newServing(t, c.serve)
	for _, line := range []string{"HTTP/1.1 000 ", "HTTP/1.1 099 Odd", "HTTP/1.1 101 Switching Protocols", "HTTP/1.0 101 Switching Protocols"} {
		c.set(line+"\r\nContent-Length: 0\r\n\r\n", false)
		assert.Equal(t, verdict(s, line, false), "may-have-run", line)
		assert.Equal(t, c.count(), 1, line)
	}
}
