package gatekeeper

import (
	"time"

	"papayaseam/internal/timekeeper"
)

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
	g.log.Info("request", "attempt", e.call.Attempt, "route", e.route.Name, "outcome", e.outcome, "reason", e.reason,
		"attempts", e.attempts, "endpoint", e.target.ID, "group", e.target.Group, "load", e.load,
		"first-ms", first.Milliseconds(), "gap-ms", e.gap.Milliseconds(), "total-ms", (now - e.began).Milliseconds(), "deadline-ms", e.call.Deadline.Milliseconds())
}
