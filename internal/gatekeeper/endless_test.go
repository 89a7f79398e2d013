package gatekeeper_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// forever writes until the caller closes the connection.
func forever(w http.ResponseWriter, r *http.Request, piece string) {
	for r.Context().Err() == nil {
		if _, err := io.WriteString(w, piece); err != nil {
			return
		}
	}
}

// endlessFrom answers a resumed call to the end, and any first call with some
// events and then a piece for ever.
func endlessFrom(piece string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.Atoi(r.Header.Get("Last-Event"))
		if from > 0 {
			events(w, from+1, 6)
			return
		}
		events(w, 1, 3)
		forever(w, r, piece)
	}
}

func TestEndlessEventIsCutAndTheStreamGoesOnElsewhere(t *testing.T) {
	for _, piece := range []string{strings.Repeat("x", 1000), "data: " + strings.Repeat("x", 1000) + "\n"} {
		s := newSystem(t, time.Minute)
		s.add("writers", endlessFrom(piece))
		s.add("writers", endlessFrom(piece))
		s.start()
		_, body, err := s.call(http.MethodPost, "/verse/1", "prompt")
		assert.NilError(t, err)
		assert.Equal(t, body, wholeStream(6))
	}
}

// TestEndlessSlowEventIsCut has an endpoint that sends a line now and then, and
// never the end of its event.
func TestEndlessSlowEventIsCut(t *testing.T) {
	slow := func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.Atoi(r.Header.Get("Last-Event"))
		if from > 0 {
			events(w, from+1, 6)
			return
		}
		events(w, 1, 3)
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
	s.add("writers", slow)
	s.add("writers", slow)
	s.start()
	_, body, err := s.call(http.MethodPost, "/verse/1", "prompt")
	assert.NilError(t, err)
	assert.Equal(t, body, wholeStream(6))
}

func TestEndlessBodyIsCutAndASafeRequestIsAnsweredElsewhere(t *testing.T) {
	s := newSystem(t, time.Minute)
	s.add("desk", func(w http.ResponseWriter, r *http.Request) { forever(w, r, strings.Repeat("x", 32<<10)) })
	s.add("desk", answer(200, "found"))
	s.start()
	for range 4 {
		response, body, err := s.call(http.MethodGet, "/look/1", "")
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, 200)
		assert.Equal(t, body, "found")
	}
}

// TestEndlessBodyOfAnOrderNeverLooksWhole is for requests that may run once: no
// part of the bytes is passed on as the answer.
func TestEndlessBodyOfAnOrderNeverLooksWhole(t *testing.T) {
	s := newSystem(t, time.Minute)
	e := s.add("desk", func(w http.ResponseWriter, r *http.Request) { forever(w, r, strings.Repeat("x", 32<<10)) })
	s.start()
	response, _, err := s.call(http.MethodPost, "/orders/1", "x")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	assert.Equal(t, e.count(), 1)
}
