package gatekeeper

import "time"

// maxTimeoutAge is how long the longest timeout of a route stays valid after it
// was last seen, since clients and the timeouts in their configuration change.
const maxTimeoutAge = 30 * time.Second

// clientRetryDetector distinguishes requests that a client sends again after a
// rejection from first requests. The timeout of a repeated request is shorter than
// the longest timeout of its route by at least the delay that the client was told
// to wait. The timeouts of first requests vary by less than that. It is not safe
// for concurrent use.
type clientRetryDetector struct{ longest map[string]observedTimeout }

type observedTimeout struct {
	timeout    time.Duration
	observedAt time.Duration
}

func newClientRetryDetector() *clientRetryDetector {
	return &clientRetryDetector{longest: map[string]observedTimeout{}}
}

// isRetry reports whether a client sends a request again, given the remaining
// timeout that the client states.
func (d *clientRetryDetector) isRetry(route string, timeout, now time.Duration) bool {
	if timeout <= 0 {
		return false
	}
	longest := d.longest[route]
	if timeout >= longest.timeout || now-longest.observedAt > maxTimeoutAge {
		longest = observedTimeout{timeout, now}
		d.longest[route] = longest
	}
	return timeout <= longest.timeout-clientRetryDelay
}
