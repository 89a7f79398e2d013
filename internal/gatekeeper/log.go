package gatekeeper

import (
	"math"
	"time"

	"papayaseam/internal/timekeeper"
)

const hundred = 100

// logEnd writes one line for a request that was admitted or turned away.
func (g *Gatekeeper) logEnd(e *exchange) {
	if e.route.Name == "" {
		return
	}
	now := timekeeper.Now()
	first := time.Duration(0)
	if e.firstAt != 0 {
		first = e.firstAt - e.began
	}
	e.measure(first, now-e.began)
	g.log.Info("request", "attempt", e.call.AttemptID, "route", e.route.Name, "outcome", e.outcome, "reason", e.reason,
		"attempts", e.attempts, "endpoint", e.target.ID, "group", e.target.Group, "load", e.load, "full", math.Round(e.full*hundred)/hundred,
		"first-ms", first.Milliseconds(), "gap-ms", e.gap.Milliseconds(), "total-ms", (now - e.began).Milliseconds(), "deadline-ms", e.call.Timeout.Milliseconds())
}
