package gatekeeper_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// writeForever writes a chunk repeatedly until the client closes the connection.
func writeForever(w http.ResponseWriter, r *http.Request, chunk string) {
	for r.Context().Err() == nil {
		if _, err := io.WriteString(w, chunk); err != nil {
			return
		}
	}
}

// endlessFirstStream completes a resumed stream. It answers a first request with
// three events, followed by the chunk repeated without end.
func endlessFirstStream(chunk string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.Atoi(r.Header.Get("Last-Event"))
		if from > 0 {
			writeEvents(w, from+1, 6)
			return
		}
		writeEvents(w, 1, 3)
		writeForever(w, r, chunk)
	}
}

// TestEndlessEventIsCutAndStreamResumesElsewhere guards against an endpoint that
// fills the memory of the entry with one event, in a single line or in many.
func TestEndlessEventIsCutAndStreamResumesElsewhere(t *testing.T) {
	for _, chunk := range []string{strings.Repeat("x", 1000), "data: " + strings.Repeat("x", 1000) + "\n"} {
		s := newSystem(t, time.Minute)
		s.addEndpoint("writers", endlessFirstStream(chunk))
		s.addEndpoint("writers", endlessFirstStream(chunk))
		s.start()
		_, body, err := s.call(http.MethodPost, "/verse/1", "prompt")
		assert.NilError(t, err)
		assert.Equal(t, body, completeStream(6))
	}
}

// TestEndlessSlowEventIsCut guards against an endpoint that keeps sending lines of
// one event, too slowly to reach the size limit.
func TestEndlessSlowEventIsCut(t *testing.T) {
	slow := func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.Atoi(r.Header.Get("Last-Event"))
		if from > 0 {
			writeEvents(w, from+1, 6)
			return
		}
		writeEvents(w, 1, 3)
		for r.Context().Err() == nil {
			_, _ = io.WriteString(w, "data: x\n")
			_ = http.NewResponseController(w).Flush()
			select {
			case <-r.Context().Done():
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	s := newSystem(t, time.Minute)
	s.addEndpoint("writers", slow)
	s.addEndpoint("writers", slow)
	s.start()
	_, body, err := s.call(http.MethodPost, "/verse/1", "prompt")
	assert.NilError(t, err)
	assert.Equal(t, body, completeStream(6))
}

func TestEndlessBodyOfSafeRequestIsRetriedElsewhere(t *testing.T) {
	s := newSystem(t, time.Minute)
	s.addEndpoint("desk", func(w http.ResponseWriter, r *http.Request) { writeForever(w, r, strings.Repeat("x", 32<<10)) })
	s.addEndpoint("desk", respond(200, "found"))
	s.start()
	for range 4 {
		response, body, err := s.call(http.MethodGet, "/look/1", "")
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, 200)
		assert.Equal(t, body, "found")
	}
}

// TestEndlessBodyOfUnsafeRequestIsNotForwarded guards against forwarding the
// first bytes of an endless body as a complete response. An unsafe request is not
// retried either.
func TestEndlessBodyOfUnsafeRequestIsNotForwarded(t *testing.T) {
	s := newSystem(t, time.Minute)
	e := s.addEndpoint("desk", func(w http.ResponseWriter, r *http.Request) { writeForever(w, r, strings.Repeat("x", 32<<10)) })
	s.start()
	response, _, err := s.call(http.MethodPost, "/orders/1", "x")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	assert.Equal(t, e.requestCount(), 1)
}

// TestLongLineIsNoEnd guards against a piece of an event that is forwarded because its
// first line ends where the read buffer does, so that the line's end looks like an empty
// line.
func TestLongLineIsNoEnd(t *testing.T) {
	const bufferBytes = 4 << 10
	event := func(length int, end string) string {
		const field = "data: "
		return field + strings.Repeat("x", length-len(field)) + end + "id: 1" + end + end
	}
	for _, length := range []int{bufferBytes - 1, bufferBytes, bufferBytes + 1, 2 * bufferBytes} {
		for _, end := range []string{"\n", "\r\n"} {
			whole := event(length, end)
			var attempts atomic.Int32
			s := newSystem(t, time.Minute)
			for range 2 {
				s.addEndpoint("writers", func(w http.ResponseWriter, r *http.Request) {
					if attempts.Add(1) > 1 {
						_, _ = io.WriteString(w, whole)
						return
					}
					_, _ = io.WriteString(w, whole[:strings.Index(whole, "id")])
					_ = http.NewResponseController(w).Flush()
					abortConnection(w, r)
				})
			}
			s.start()
			_, body, err := s.call(http.MethodPost, "/verse/1", "prompt")
			assert.NilError(t, err)
			assert.Assert(t, body == whole, "got %d of %d bytes, with a line of %d and end %q", len(body), len(whole), length, end)
		}
	}
}
