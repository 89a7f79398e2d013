package gatekeeper

import (
	"math/rand/v2"
	"time"

	"papayaseam/internal/chooser"
	"papayaseam/internal/describer"
	"papayaseam/internal/messenger"
	"papayaseam/internal/sharer"
	"papayaseam/internal/timekeeper"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
)

// errNoShare is returned for an attempt at a cold endpoint for which this entry's share
// of the rate has expired since the endpoint was picked, or at one that broke meanwhile.
var errNoShare = errors.New("the endpoint is cold, or may be, and this entry holds no share of its rate; trying another endpoint")

var (
	coldRequests      = metrics.NewCounter("papayaseam_cold_requests_total")
	coldSharesExpired = metrics.NewCounter("papayaseam_cold_shares_expired_total")
)

// applyShares takes over this entry's shares of cold endpoints' rates from the response to
// a request that was sent at sentAt. They are valid from then on, since the leader counts
// them from a later time.
func (g *Gatekeeper) applyShares(response messenger.FleetResponse, sentAt time.Duration) {
	active := g.active.Load()
	if len(response.Shares) == 0 || active == nil {
		return
	}
	msg := chooser.ShareMsg{Now: timekeeper.Now(), Until: sentAt + sharer.Validity}
	for _, share := range response.Shares {
		service, _ := active.config.Service(share.Service)
		msg.Shares = append(msg.Shares, chooser.ColdShare{Service: share.Service, FailureDomain: share.FailureDomain, Rate: share.Share * service.ColdRate})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.chooser.Update(msg)
}

// recordPlainDemand counts a request to a service without groups, if its cold endpoints
// are limited; mu is held.
func (g *Gatekeeper) recordPlainDemand(service describer.Service) {
	if service.ColdRate > 0 {
		g.demand[demandKey{service.Name, ""}]++
	}
}

// maySend reports whether the endpoint of an attempt is warm, or this entry still holds a
// share of its rate, and whether it did not break meanwhile. It is checked right before the request is sent.
func (g *Gatekeeper) maySend(e *exchange, target chooser.Target) bool {
	if e.service.ColdRate <= 0 {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.chooser.HoldsShare(target, timekeeper.Now()) {
		coldSharesExpired.Inc()
		return false
	}
	if g.chooser.IsCold(target) {
		coldRequests.Inc()
	}
	return true
}

// allCold reports whether the endpoints that serve a request are cold and may get none
// now, and sets when the client should retry: once one may get a request, but no later
// than usual; mu is held.
func (g *Gatekeeper) allCold(e *exchange, request chooser.Request) bool {
	wait, all := g.chooser.AllCold(request.Service, request.Model, e.service.ColdTime, request.Now)
	if !all {
		return false
	}
	if wait > 0 {
		spread := time.Duration(clientReturnSpread * rand.Float64() * float64(wait))
		e.endpointsReturnIn = min(wait+spread, clientRetryDelay)
	}
	return true
}
