package gatekeeper_test

import (
	"net/http"
	"strconv"
	"sync"
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

// restedEndpoint turns every request away and asks for rest. It records when.
type restedEndpoint struct {
	mu       sync.Mutex
	arrivals []time.Time
}

func (e *restedEndpoint) handle(asked time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		e.arrivals = append(e.arrivals, time.Now())
		e.mu.Unlock()
		w.Header().Set("Stay-Away", asked.String())
		rejectNotExecuted(w, r)
	}
}

// mostInOneRest returns the largest number of requests that arrived between half a second
// after an answer and the end of the time for which it asked.
func (e *restedEndpoint) mostInOneRest(asked time.Duration) int {
	most := 0
	for _, answered := range e.arrivals {
		n := 0
		for _, at := range e.arrivals {
			if since := at.Sub(answered); since >= 500*time.Millisecond && since < asked {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestConcurrentRequestsLeaveRestedEndpointsAlone guards against repeats of many clients
// that pile up at endpoints which asked for rest, whether or not another endpoint serves.
func TestConcurrentRequestsLeaveRestedEndpointsAlone(t *testing.T) {
	const asked, clients = time.Second, 16
	for _, alone := range []bool{false, true} {
		s := newSystem(t, time.Minute)
		rested := []*restedEndpoint{{}, {}}
		for _, e := range rested {
			s.addEndpoint("writers", e.handle(asked))
		}
		if !alone {
			s.addEndpoint("writers", func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 2) })
		}
		s.start()
		ended := make(chan bool, clients)
		end := time.Now().Add(2500 * time.Millisecond)
		for range clients {
			go func() {
				for time.Now().Before(end) {
					_, _, _ = s.call(http.MethodPost, "/verse/1", "x")
					time.Sleep(5 * time.Millisecond)
				}
				ended <- true
			}()
		}
		for range clients {
			<-ended
		}
		for _, e := range rested {
			assert.Assert(t, len(e.arrivals) >= 2, "the endpoint got %d requests", len(e.arrivals))
			assert.Assert(t, e.mostInOneRest(asked) <= 2, "alone %t: %d requests in one rest", alone, e.mostInOneRest(asked))
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
