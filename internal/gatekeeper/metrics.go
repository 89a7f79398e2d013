package gatekeeper

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// kinds are the words for kinds of routes in metrics.
var kinds = [...]string{"safe", "unsafe", "streaming"}

// measure counts a request that has ended and how long its parts took.
func (e *exchange) measure(first, total time.Duration) {
	kind := kinds[e.route.Kind]
	metrics.GetOrCreateCounter(fmt.Sprintf(`papayaseam_requests_total{kind=%q,outcome=%q}`, kind, e.outcome)).Inc()
	if e.attempts > 1 {
		metrics.GetOrCreateCounter(fmt.Sprintf(`papayaseam_retries_total{kind=%q}`, kind)).Add(e.attempts - 1)
	}
	if e.outcome == "refused" {
		metrics.GetOrCreateCounter(fmt.Sprintf(`papayaseam_refusals_total{reason=%q}`, e.reason)).Inc()
	}
	if first > 0 {
		metrics.GetOrCreateHistogram(fmt.Sprintf(`papayaseam_first_event_seconds{kind=%q}`, kind)).Update(first.Seconds())
		metrics.GetOrCreateHistogram(fmt.Sprintf(`papayaseam_longest_gap_seconds{kind=%q}`, kind)).Update(e.gap.Seconds())
	}
	metrics.GetOrCreateHistogram(fmt.Sprintf(`papayaseam_request_seconds{kind=%q}`, kind)).Update(total.Seconds())
}
