package soaker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRequestInAnEvacuatedDomainIsFound guards against a soak that passes although requests
// reach servers after their evacuation, or that reports those before and after it.
func TestRequestInAnEvacuatedDomainIsFound(t *testing.T) {
	start := EvacuatedMsg{Domain: "d", Active: true, Now: time.Minute}
	end := EvacuatedMsg{Domain: "d", Now: 2 * time.Minute}
	at := func(now time.Duration, domain string) Observation {
		return ArrivedMsg{Request: "r", Server: "s", Domain: domain, Now: now}
	}
	for name, c := range map[string]struct {
		observed []Observation
		broken   bool
	}{
		"while it is phased out":     {[]Observation{start, at(time.Minute+evacuateTime, "d")}, false},
		"too late":                   {[]Observation{start, at(time.Minute+evacuateTime+1, "d")}, true},
		"elsewhere":                  {[]Observation{start, at(time.Minute+evacuateTime+1, "e")}, false},
		"after its end":              {[]Observation{start, end, at(3*time.Minute, "d")}, false},
		"acknowledged a second time": {[]Observation{start, EvacuatedMsg{Domain: "d", Active: true, Now: time.Minute + evacuateTime}, at(time.Minute+evacuateTime+1, "d")}, true},
	} {
		checker := NewChecker()
		for _, o := range c.observed {
			checker.Update(o)
		}
		assert.Equal(t, len(checker.Violations()) > 0, c.broken, name)
	}
}

// TestColdServerGetsABoundedNumberOfRequests guards against a soak that passes although a
// cold server is flooded.
func TestColdServerGetsABoundedNumberOfRequests(t *testing.T) {
	play := func(n int, gap, from time.Duration) bool {
		checker := NewChecker()
		checker.Update(ColdMsg{Server: "s", Now: time.Minute, Until: time.Minute + 3*time.Second})
		for i := range n {
			checker.Update(ArrivedMsg{Request: "r", Server: "s", Now: from + time.Duration(i)*gap})
		}
		return len(checker.Violations()) > 0
	}
	assert.Assert(t, !play(coldRequests, time.Millisecond, time.Minute))
	assert.Assert(t, play(coldRequests+1, time.Millisecond, time.Minute))
	assert.Assert(t, !play(3*coldRequests, time.Second/coldRequests+time.Microsecond, time.Minute))
	assert.Assert(t, !play(2*coldRequests, time.Millisecond, time.Minute+4*time.Second))
}
