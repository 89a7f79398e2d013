package gatekeeper

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// kindLabels are the metric label values of the kinds of routes.
var kindLabels = [...]string{"safe", "unsafe", "streaming"}

// recordMetrics counts a finished request. FirstEvent is the time until its first
// event, 0 if none was forwarded, and total is its duration.
func (e *exchange) recordMetrics(firstEvent, total time.Duration) {
	kind := kindLabels[e.route.Kind]
	metrics.GetOrCreateCounter(fmt.Sprintf(`papayaseam_requests_total{kind=%q,outcome=%q}`, kind, e.outcome)).Inc()
	if e.attempts > 1 {
		metrics.GetOrCreateCounter(fmt.Sprintf(`papayaseam_retries_total{kind=%q}`, kind)).Add(e.attempts - 1)
	}
	if e.outcome == "refused" {
		metrics.GetOrCreateCounter(fmt.Sprintf(`papayaseam_refusals_total{reason=%q}`, e.reason)).Inc()
	}
	if firstEvent > 0 {
		metrics.GetOrCreateHistogram(fmt.Sprintf(`papayaseam_first_event_seconds{kind=%q}`, kind)).Update(firstEvent.Seconds())
		metrics.GetOrCreateHistogram(fmt.Sprintf(`papayaseam_longest_gap_seconds{kind=%q}`, kind)).Update(e.longestGap.Seconds())
	}
	metrics.GetOrCreateHistogram(fmt.Sprintf(`papayaseam_request_seconds{kind=%q}`, kind)).Update(total.Seconds())
}
