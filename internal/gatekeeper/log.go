package gatekeeper

import (
	"math"
	"time"

	"papayaseam/internal/timekeeper"
)

// roundingFactor rounds to two decimals.
const roundingFactor = 100

// logRequest logs and measures a finished request whose route is known.
func (g *Gatekeeper) logRequest(e *exchange) {
	if e.route.Name == "" {
		return
	}
	now := timekeeper.Now()
	firstEvent := time.Duration(0)
	if e.firstEventAt != 0 {
		firstEvent = e.firstEventAt - e.startedAt
	}
	e.recordMetrics(firstEvent, now-e.startedAt)
	g.log.Info("request finished", "attempt", e.metadata.AttemptID, "route", e.route.Name, "outcome", e.outcome, "reason", e.reason,
		"attempts", e.attempts, "endpoint", e.target.ID, "group", e.target.Group, "load", e.firstEndpointLoad, "full", math.Round(e.utilization*roundingFactor)/roundingFactor,
		"first-ms", firstEvent.Milliseconds(), "gap-ms", e.longestGap.Milliseconds(), "total-ms", (now - e.startedAt).Milliseconds(), "deadline-ms", e.metadata.Timeout.Milliseconds())
}
