package gatekeeper_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"
)

// crash ends the process of a fake endpoint as seen from outside: its connections
// break and nothing listens at its address.
func (e *fakeEndpoint) crash(w http.ResponseWriter, r *http.Request) {
	e.crashed.Store(true)
	_ = e.server.Listener.Close()
	abortConnection(w, r)
}

// addCrashingEndpoint starts an endpoint of the writers that crashes when it begins a
// request whose path has the given suffix, and serves all others.
func (s *testSystem) addCrashingEndpoint(suffix string) *fakeEndpoint {
	var e *fakeEndpoint
	e = s.addEndpoint("writers", func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, suffix) {
			e.crash(w, r)
		}
		writeEvents(w, 1, 2)
	})
	return e
}

// metricLine returns the exposed line of a metric, or "" if there is none.
func metricLine(name string) string {
	var out strings.Builder
	metrics.WritePrometheus(&out, false)
	for line := range strings.Lines(out.String()) {
		if strings.HasPrefix(line, name+" ") {
			return line
		}
	}
	return ""
}

// TestCrashIsToldFromLostConnection guards against a count of crashes that includes
// endpoints which only lost a connection.
func TestCrashIsToldFromLostConnection(t *testing.T) {
	const name = "papayaseam_endpoint_crashes_total"
	s := newSystem(t, time.Minute)
	s.addEndpoint("writers", abortConnection)
	s.start()
	before := metricLine(name)
	_, _, err := s.call(http.MethodPost, "/verse/1", "prompt")
	assert.NilError(t, err)
	assert.Equal(t, metricLine(name), before)

	s = newSystem(t, time.Minute)
	s.addCrashingEndpoint("/deadly")
	s.start()
	_, _, err = s.call(http.MethodPost, "/verse/deadly", "prompt")
	assert.NilError(t, err)
	assert.Assert(t, metricLine(name) != before)
}

// endedEndpoints returns how many endpoints have crashed.
func (s *testSystem) endedEndpoints() int {
	ended := 0
	for _, e := range s.endpoints {
		if e.crashed.Load() {
			ended++
		}
	}
	return ended
}

// TestRequestThatCrashesEndpointsIsHeldAfterThree guards against a request that
// crashes what runs it and comes again and again, each time as a new client attempt,
// until no endpoint is left.
func TestRequestThatCrashesEndpointsIsHeldAfterThree(t *testing.T) {
	s := newSystem(t, time.Minute)
	for range 8 {
		s.addCrashingEndpoint("/deadly")
	}
	s.start()
	for i := range 8 {
		_, _, _ = s.call(http.MethodPost, "/verse/deadly", "prompt", "Attempt", fmt.Sprint("deadly", i))
		response, body, err := s.call(http.MethodPost, fmt.Sprint("/verse/", i), "prompt", "Attempt", fmt.Sprint("sound", i))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, body, completeStream(2))
	}
	assert.Equal(t, s.endedEndpoints(), 3)
}
