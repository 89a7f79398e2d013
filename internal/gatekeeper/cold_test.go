package gatekeeper_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// newColdSystem is newSystem with a configuration that limits cold endpoints.
func newColdSystem(t *testing.T) *testSystem {
	s := newSystem(t, time.Minute)
	s.declare(5)
	return s
}

// waitReady waits until the entry serves, and has the view.
func (s *testSystem) waitReady() {
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if s.entry.Ready() {
			return poll.Success()
		}
		return poll.Continue("not ready")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
	s.waitSyncs(2)
}

// addColdEndpoint starts an endpoint that the view reports as cold or warm.
func (s *testSystem) addColdEndpoint(service string, cold bool) *fakeEndpoint {
	e := s.addEndpoint(service, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 2) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.response.Changes.Endpoints[len(s.response.Changes.Endpoints)-1].Cold = cold
	return e
}

// share makes control give the entry a share of the cold endpoints' rate, and waits until
// it has it.
func (s *testSystem) share(part float64) {
	s.mu.Lock()
	s.response.Shares = nil
	for _, service := range []string{"desk", "writers"} {
		s.response.Shares = append(s.response.Shares, messenger.ColdShare{Service: service, Share: part})
	}
	s.mu.Unlock()
	s.waitSyncs(3)
}

// waitSyncs waits for a number of further sync requests.
func (s *testSystem) waitSyncs(n int) {
	from := s.syncCount()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if s.syncCount() >= from+n {
			return poll.Success()
		}
		return poll.Continue("no sync")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
}

var coldPaths = map[string]string{"/orders/1": "desk", "/look/1": "desk", "/verse/1": "writers"}

// TestColdEndpointGetsNothingFromAnEntryWithoutAShare guards against an entry that sends
// to a cold endpoint what others may send there, and against clients that wait for nothing
// or come back long after the endpoint is warm.
func TestColdEndpointGetsNothingFromAnEntryWithoutAShare(t *testing.T) {
	for path, service := range coldPaths {
		s := newColdSystem(t)
		cold := s.addColdEndpoint(service, true)
		s.waitReady()
		for range 5 {
			response, body, err := s.call(http.MethodPost, path, "x")
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
			assert.Assert(t, strings.HasPrefix(body, "not run:"), body)
			after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
			assert.NilError(t, err)
			assert.Assert(t, after > 0 && after <= 1.5, "%g", after)
		}
		warm := s.addColdEndpoint(service, false)
		s.waitSyncs(3)
		for range 5 {
			response, _, err := s.call(http.MethodPost, path, "x")
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusOK)
		}
		assert.Equal(t, cold.requestCount(), 0)
		assert.Equal(t, warm.requestCount(), 5)
	}
}

// TestColdEndpointGetsTheEntrysShareOfItsRate guards against an entry that sends more than
// its share, counting repeats, and against one that does not use it.
func TestColdEndpointGetsTheEntrysShareOfItsRate(t *testing.T) {
	s := newColdSystem(t)
	cold := s.addColdEndpoint("desk", true)
	s.waitReady()
	begun := time.Now()
	s.share(0.25)
	refused := 0
	for time.Since(begun) < 1500*time.Millisecond {
		response, _, err := s.call(http.MethodPost, "/orders/1", "x")
		assert.NilError(t, err)
		if response.StatusCode == http.StatusServiceUnavailable {
			refused++
		}
	}
	most := 1 + 32*0.25*time.Since(begun).Seconds()
	assert.Assert(t, float64(cold.requestCount()) <= most, "%d requests, at most %.1f are allowed", cold.requestCount(), most)
	assert.Assert(t, cold.requestCount() > 1)
	assert.Assert(t, refused > 0)
}

// TestEntryApartFromControlSendsNothingToColdEndpoints guards against an entry that goes on
// to use a share which control has given to others since.
func TestEntryApartFromControlSendsNothingToColdEndpoints(t *testing.T) {
	s := newColdSystem(t)
	cold := s.addColdEndpoint("desk", true)
	s.waitReady()
	s.share(1)
	s.setConfirmed(false)
	s.waitSyncs(1)
	time.Sleep(time.Second)
	before := cold.requestCount()
	for begun := time.Now(); time.Since(begun) < 300*time.Millisecond; {
		response, _, err := s.call(http.MethodPost, "/orders/1", "x")
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	}
	assert.Equal(t, cold.requestCount(), before)
}
