package gatekeeper_test

import (
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
