package gatekeeper_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLeavingEndpointGetsNothingMoreBehindACut guards against an entry without control
// that sends on to an endpoint whose answers say that it leaves.
func TestLeavingEndpointGetsNothingMoreBehindACut(t *testing.T) {
	for _, c := range []struct{ service, path string }{{"desk", "/orders/1"}, {"desk", "/look/1"}, {"writers", "/verse/1"}} {
		s := newSystem(t, time.Minute)
		answer := func(header string) http.HandlerFunc {
			return func(w http.ResponseWriter, _ *http.Request) {
				if header != "" {
					w.Header().Set(header, "1")
				}
				writeEvents(w, 1, 2)
			}
		}
		leaving := s.addEndpoint(c.service, answer("Leaving"))
		staying := s.addEndpoint(c.service, answer(""))
		s.start()
		s.setConfirmed(false)
		for range 30 {
			response, _, err := s.call(http.MethodPost, c.path, "x")
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusOK)
		}
		assert.Equal(t, leaving.requestCount(), 1, c.path)
		assert.Equal(t, staying.requestCount(), 29, c.path)
	}
}

// TestEndpointThatWantsNoRequestsIsLeftAlone guards against requests to an endpoint
// within the time for which it asked for none, on streams and on requests that must not
// be repeated.
func TestEndpointThatWantsNoRequestsIsLeftAlone(t *testing.T) {
	const asked = 500 * time.Millisecond
	for _, c := range []struct{ service, path string }{{"desk", "/orders/1"}, {"writers", "/verse/1"}, {"writers", "/once/1"}} {
		s := newSystem(t, time.Minute)
		away := s.addEndpoint(c.service, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Stay-Away", asked.String())
			rejectNotExecuted(w, r)
		})
		s.addEndpoint(c.service, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 2) })
		s.start()
		call := func() {
			response, _, err := s.call(http.MethodPost, c.path, "x")
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusOK)
		}
		var asking time.Time
		for away.requestCount() == 0 {
			asking = time.Now()
			call()
		}
		for {
			call()
			if time.Since(asking) >= asked {
				break
			}
			assert.Equal(t, away.requestCount(), 1, c.path)
		}
		for away.requestCount() == 1 {
			assert.Assert(t, time.Since(asking) < 20*asked, "the endpoint was left alone for good")
			call()
		}
	}
}

// TestClientIsToldWhenEndpointsWantRequestsAgain guards against a client that returns
// while all endpoints still want no requests, or that waits for its deadline.
func TestClientIsToldWhenEndpointsWantRequestsAgain(t *testing.T) {
	const asked = 5 * time.Second
	s := newSystem(t, time.Minute)
	e := s.addEndpoint("desk", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Stay-Away", asked.String())
		rejectNotExecuted(w, r)
	})
	s.start()
	told := map[string]bool{}
	for range 10 {
		start := time.Now()
		response, body, err := s.call(http.MethodPost, "/orders/1", "x")
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable, body)
		after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, after > 0.8*asked.Seconds() && after < 1.6*asked.Seconds(), "told to return after %g s", after)
		assert.Assert(t, time.Since(start) < time.Second)
		told[response.Header.Get("Retry-After")] = true
	}
	assert.Equal(t, e.requestCount(), 1)
	assert.Assert(t, len(told) > 5, "all clients are told to return at the same time")
}
