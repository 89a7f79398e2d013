package gatekeeper

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestClientsThatComeBackAreToldFromThoseWithVaryingLimits(t *testing.T) {
	r := newReturners()
	for ms := 6000; ms >= 5000; ms -= 50 {
		assert.Assert(t, !r.returned("verse", time.Duration(ms)*time.Millisecond, time.Second), "a first call with %d ms", ms)
	}
	for ms := 4490; ms >= 3000; ms -= 50 {
		assert.Assert(t, r.returned("verse", time.Duration(ms)*time.Millisecond, time.Second), "back with %d ms", ms)
	}
	assert.Assert(t, !r.returned("other", 3*time.Second, time.Second), "each route has its own limits")
	assert.Assert(t, !r.returned("verse", 0, time.Second), "no limit is told")
}

func TestLongestLimitIsForgotten(t *testing.T) {
	r := newReturners()
	assert.Assert(t, !r.returned("verse", 8*time.Second, time.Second))
	assert.Assert(t, r.returned("verse", 5*time.Second, 2*time.Second))
	assert.Assert(t, !r.returned("verse", 5*time.Second, 2*time.Second+longestLife))
	assert.Assert(t, !r.returned("verse", 5*time.Second, 3*time.Second+longestLife))
}
