package gatekeeper_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
)

const (
	// cutEvents is the number of events in a stream that an endpoint cuts.
	cutEvents = 2
	// cutAttempt is the attempt of each request.
	cutAttempt = "a1"
	// cutAliases is the number of endpoints that share one address, above twice the cuts
	// of an answer, so that some are never in backoff.
	cutAliases = 600
)

// rawAnswer is an answer as an endpoint writes it to a connection.
type rawAnswer struct {
	header string
	body   string
	// closes means that the answer has no length and ends with its connection.
	closes bool
}

func (a rawAnswer) bytes() string { return a.header + a.body }

// rawAnswers returns an answer in each framing.
func rawAnswers(body string) map[string]rawAnswer {
	const lines = " 200 OK\r\nAttempt: " + cutAttempt + "\r\nContent-Type: text/event-stream\r\n"
	half := len(body) / 2
	chunks := fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n", half, body[:half], len(body)-half, body[half:])
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	return map[string]rawAnswer{
		"length":             {header: "HTTP/1.1" + lines + length, body: body},
		"length, newlines":   {header: strings.ReplaceAll("HTTP/1.1"+lines+length, "\r\n", "\n"), body: body},
		"length, interim":    {header: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1" + lines + "Note: a\r\n \tb\r\n" + length, body: body},
		"chunks":             {header: "HTTP/1.1" + lines + "Transfer-Encoding: chunked\r\n\r\n", body: chunks + "\r\n"},
		"chunks, trailers":   {header: "HTTP/1.1" + lines + "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n", body: chunks + "Sum: 12\r\nMore: x\r\n\r\n"},
		"end of connection":  {header: "HTTP/1.1" + lines + "\r\n", body: body, closes: true},
		"connection: close":  {header: "HTTP/1.1" + lines + "Connection: close\r\n\r\n", body: body, closes: true},
		"HTTP/1.0":           {header: "HTTP/1.0" + lines + "\r\n", body: body, closes: true},
		"refusal, no length": {header: "HTTP/1.1 503 Service Unavailable\r\nAttempt: " + cutAttempt + "\r\nNot-Run: 1\r\n\r\n"},
	}
}

// addAliases announces further endpoints at the address of one.
func (s *testSystem) addAliases(service string, e *fakeEndpoint, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := s.response.Changes
	for i := range n {
		id := fmt.Sprint(service, "-alias-", i)
		changes.Endpoints = append(changes.Endpoints, messenger.EndpointView{Instance: id, Born: 1, Address: strings.TrimPrefix(e.server.URL, "http://"), Service: service, Slots: 8})
		if service == "writers" {
			changes.Groups = append(changes.Groups, messenger.GroupView{Name: "g" + id, Epoch: 1, Service: service, Model: "m", Members: []string{id}, Open: true})
		}
	}
}

// writeRaw writes bytes to the connection of a request and ends it, with a reset if
// reset is set.
func writeRaw(t *testing.T, w http.ResponseWriter, data string, reset bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if !assert.Check(t, err) {
		return
	}
	_, _ = io.WriteString(conn, data)
	if reset {
		assert.Check(t, conn.(*net.TCPConn).SetLinger(0))
	}
	_ = conn.Close()
}

// cutter cuts the answer to the first attempt of a request.
type cutter struct {
	t        *testing.T
	mu       sync.Mutex
	data     string // data is what is written before the cut.
	reset    bool   // reset means that the connection is reset, not closed.
	attempts int    // attempts is the number of attempts that arrived.
}

// set prepares for the next request.
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
	c.mu.Lock()
	c.attempts++
	first, data, reset := c.attempts == 1, c.data, c.reset
	c.mu.Unlock()
	if first {
		writeRaw(c.t, w, data, reset)
		return
	}
	from, _ := strconv.Atoi(r.Header.Get("Last-Event"))
	writeEvents(w, from+1, cutEvents)
}

// rawClient sends requests on one connection, as long as the entry keeps it.
type rawClient struct {
	t       *testing.T
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// call sends a request to a path. It returns what the entry's answer says, and an error if its
// framing does not show it as whole.
func (c *rawClient) call(path string) (status int, body string, err error) {
	if c.conn == nil {
		c.conn, err = net.Dial("tcp", c.address)
		assert.NilError(c.t, err)
		c.reader = bufio.NewReader(c.conn)
	}
	_, err = fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: a.example\r\nKey: k1\r\nModel: m\r\nAttempt: %s\r\nContent-Length: 1\r\n\r\nx", path, cutAttempt)
	assert.NilError(c.t, err)
	assert.NilError(c.t, c.conn.SetReadDeadline(time.Now().Add(20*time.Second)))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.close()
		return 0, "", err
	}
	assert.Assert(c.t, response.ContentLength >= 0 || len(response.TransferEncoding) > 0, "the answer ends with the connection")
	data, err := io.ReadAll(response.Body)
	if err != nil || response.Close {
		c.close()
	}
	return response.StatusCode, string(data), err
}

func (c *rawClient) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// TestCutAnswerIsNeverFramedAsWhole guards against a client that takes an answer for
// whole whose endpoint stopped in the middle of its head, body or trailers.
func TestCutAnswerIsNeverFramedAsWhole(t *testing.T) {
	for _, reset := range []bool{false, true} {
		tried := map[string]bool{} // Answers begin alike.
		for name, answer := range rawAnswers(completeStream(cutEvents)) {
			t.Run(fmt.Sprintf("%s, reset %t", name, reset), func(t *testing.T) {
				s, c := newSystem(t, time.Minute), &cutter{t: t}
				for _, service := range []string{"desk", "writers"} {
					s.addAliases(service, s.addEndpoint(service, c.serve), cutAliases)
				}
				s.start()
				client := &rawClient{t: t, address: strings.TrimPrefix(s.server.URL, "http://")}
				defer client.close()
				for cut := range answer.cuts(reset) {
					data := answer.bytes()[:cut]
					if !tried[data] {
						tried[data] = true
						checkCut(client, c, data, reset)
					}
				}
				c.set(answer.bytes(), false)
				status, body, err := client.call("/orders/1")
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusOK)
				assert.Equal(t, body, completeStream(cutEvents))
			})
		}
	}
}

// checkCut has an endpoint cut its answer to a request of each kind. Requests that are
// not retried earn the retries of the others.
func checkCut(client *rawClient, c *cutter, data string, reset bool) {
	for _, path := range []string{"/orders/1", "/look/1", "/once/1", "/verse/1"} {
		c.set(data, reset)
		status, body, err := client.call(path)
		where := fmt.Sprintf("%s, cut after %q: status %d, body %q, err %v", path, data, status, body, err)
		checkCutAnswer(c.t, path, status, body, err, where)
		assert.Equal(c.t, c.count(), map[bool]int{false: 1, true: 2}[isRepeatable(path)], where)
	}
}

// cuts returns the number of places at which a cut leaves the answer incomplete. A
// close within a body that ends with its connection is not among them.
func (a rawAnswer) cuts(reset bool) int {
	switch {
	case a.closes && reset:
		return len(a.bytes()) + 1
	case a.closes:
		return len(a.header)
	}
	return len(a.bytes())
}

func isRepeatable(path string) bool { return path == "/look/1" || path == "/verse/1" }

// checkCutAnswer checks what a client gets after the endpoint cut its first answer.
func checkCutAnswer(t *testing.T, path string, status int, body string, err error, where string) {
	t.Helper()
	complete := completeStream(cutEvents)
	switch {
	case isRepeatable(path):
		assert.NilError(t, err, where)
		assert.Equal(t, status, http.StatusOK, where)
		assert.Equal(t, body, complete, where)
	case err != nil:
		assert.Equal(t, path, "/once/1", where)
		assert.Assert(t, body != "" && strings.HasPrefix(complete, body) && strings.HasSuffix(body, "\n\n"), where)
	default:
		assert.Equal(t, status, http.StatusBadGateway, where)
	}
}
