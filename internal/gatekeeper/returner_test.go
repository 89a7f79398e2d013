package gatekeeper

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestClientRetriesAreDistinguishedFromVaryingTimeouts guards against treating first
// requests as retries: their timeouts vary from 5 s to 6 s, and a retry has at most
// 4.5 s left.
func TestClientRetriesAreDistinguishedFromVaryingTimeouts(t *testing.T) {
	d := newClientRetryDetector()
	for ms := 6000; ms >= 5000; ms -= 50 {
		assert.Assert(t, !d.isRetry("verse", time.Duration(ms)*time.Millisecond, time.Second), "first request with %d ms", ms)
	}
	for ms := 4490; ms >= 3000; ms -= 50 {
		assert.Assert(t, d.isRetry("verse", time.Duration(ms)*time.Millisecond, time.Second), "repeated request with %d ms", ms)
	}
	assert.Assert(t, !d.isRetry("other", 3*time.Second, time.Second), "routes have separate timeouts")
	assert.Assert(t, !d.isRetry("verse", 0, time.Second), "no timeout is known")
}

func TestLongestTimeoutExpires(t *testing.T) {
	d := newClientRetryDetector()
	assert.Assert(t, !d.isRetry("verse", 8*time.Second, time.Second))
	assert.Assert(t, d.isRetry("verse", 5*time.Second, 2*time.Second))
	assert.Assert(t, !d.isRetry("verse", 5*time.Second, 2*time.Second+maxTimeoutAge))
	assert.Assert(t, !d.isRetry("verse", 5*time.Second, 3*time.Second+maxTimeoutAge))
}
