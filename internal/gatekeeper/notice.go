package gatekeeper

import (
	"fmt"
	"math/rand/v2"
	"time"

	"papayaseam/internal/chooser"
	"papayaseam/internal/timekeeper"

	"github.com/VictoriaMetrics/metrics"
)

// clientReturnSpread is the part of their wait by which clients are told to return
// later, at random, so that they do not return together.
const clientReturnSpread = 0.25

// recordSentWhileAway records a request that was sent although its endpoint had said that
// it takes none: chosen before the entry knew, or after.
func (g *Gatekeeper) recordSentWhileAway(e *exchange, target chooser.Target, sentAt time.Duration) {
	g.mu.Lock()
	since, ok := g.chooser.AwaySince(target, sentAt)
	g.mu.Unlock()
	if !ok || sentAt <= since {
		return
	}
	chosen := "before"
	if e.chosenAt > since {
		chosen = "after"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`papayaseam_requests_sent_while_away_total{chosen=%q}`, chosen)).Inc()
	g.log.Warn("request sent to an endpoint that takes none", "attempt", e.metadata.AttemptID, "endpoint", target.ID, "boot", target.BootTime,
		"chosen", chosen, "chosen-ms", (e.chosenAt - since).Milliseconds(), "sent-ms", (sentAt - since).Milliseconds())
}

// recordNotice acts at once on what an endpoint said of itself in its answer, whether
// or not control knows it.
func (g *Gatekeeper) recordNotice(target chooser.Target, metadata ResponseMetadata) {
	if metadata.Malformed != "" {
		countNotice("malformed")
		g.log.Warn("header of an endpoint is not valid and ignored", "endpoint", target.ID, "header", metadata.Malformed)
	}
	if !metadata.Leaving && metadata.StayAway <= 0 {
		return
	}
	now := timekeeper.Now()
	g.mu.Lock()
	known := g.chooser.StaysAway(target, now)
	g.chooser.Update(chooser.NoticeMsg{Now: now, ID: target.ID, BootTime: target.BootTime, Leaving: metadata.Leaving, StayAway: metadata.StayAway})
	away := g.chooser.AwayCount(now)
	g.mu.Unlock()
	metrics.GetOrCreateGauge("papayaseam_endpoints_away", nil).Set(float64(away))
	if metadata.Leaving {
		countNotice("leaving")
	}
	if metadata.StayAway > 0 {
		countNotice("stay-away")
	}
	if known {
		return
	}
	g.log.Info("endpoint wants no requests", "endpoint", target.ID, "boot", target.BootTime, "group", target.Group, "leaving", metadata.Leaving, "away-ms", metadata.StayAway.Milliseconds(), "away", away)
}

func countNotice(kind string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`papayaseam_endpoint_notices_total{kind=%q}`, kind)).Inc()
}

// allStayAway reports whether all endpoints that serve a request want none now, and
// when the client should retry; mu is held.
func (g *Gatekeeper) allStayAway(e *exchange, request chooser.Request) bool {
	wait, ok := g.chooser.ReturnIn(request.Service, request.Model, request.Now)
	if !ok {
		return false
	}
	e.endpointsReturnIn = wait + time.Duration(clientReturnSpread*rand.Float64()*float64(wait))
	return true
}
