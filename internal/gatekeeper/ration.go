package gatekeeper

import (
	"papayaseam/internal/chooser"
	"papayaseam/internal/describer"
	"papayaseam/internal/messenger"
	"papayaseam/internal/rationer"
	"papayaseam/internal/throttler"
	"papayaseam/internal/timekeeper"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
)

var (
	aboveShareRefusals = metrics.NewCounter(`papayaseam_rationed_requests_total{rule="organisation"}`)
	lessUrgentRefusals = metrics.NewCounter(`papayaseam_rationed_requests_total{rule="priority"}`)
	tooEarlyRefusals   = metrics.NewCounter(`papayaseam_rationed_requests_total{rule="repeated"}`)
)

// noPlaceReason is the reason of refusals where all of the slots that first requests may
// use are in use.
const noPlaceReason = "no endpoint has a free place"

// planRationing applies a configuration to the rationer, and logs for which services
// priorities and shares of organisations are in effect.
func (g *Gatekeeper) planRationing(config *describer.Configuration) {
	services, explanations := rationer.Plan(g.cfg.OrganisationShares, config)
	g.log.Info("priorities and organisation shares", "version", config.Version, "services", explanations)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rationer.Update(rationer.ConfigurationMsg{Services: services})
}

// countDemand returns what a request adds to the measured demand for its model, and
// remembers it for the rationer where its service is rationed; mu is held.
func (g *Gatekeeper) countDemand(e *exchange, model describer.Model) float64 {
	work := estimateWork(*e.service.Engine, model, e.metadata)
	if !g.rationer.Rations(e.service.Name) {
		return work
	}
	e.rationed = true
	e.ration = rationer.Request{
		Service: e.service.Name, Model: model.Name, Organisation: e.organisation, Kind: e.route.Name, Fingerprint: xxhash.Sum64String(e.fingerprint),
		Priority: e.priority, Work: work, Returned: e.clientRetry, Now: e.startedAt,
	}
	return work * g.rationer.DemandFactor(e.ration)
}

// decideRation asks the rationer how a request's first attempt is treated, and limits
// the capacity that it may use; mu is held.
func (g *Gatekeeper) decideRation(e *exchange, request *chooser.Request) {
	if !e.rationed || e.attempts > 0 {
		return
	}
	e.ration.Now, e.ration.Utilization = request.Now, e.utilization
	g.rationer.Update(rationer.RequestMsg{Request: e.ration})
	e.decision = g.rationer.Decide(e.ration)
	request.Fill = e.decision.Fill
}

// throttles reports whether a request is turned away because first events are late. Of
// a rationed service the less urgent requests are turned away first; mu is held.
func (g *Gatekeeper) throttles(e *exchange, model string) bool {
	if !e.rationed {
		return !g.throttler.Admits(model, e.utilization, g.random())
	}
	fraction := g.rationer.Fraction(e.ration, g.throttler.AdmittedFraction(model))
	return e.utilization >= throttler.MinThrottleUtilization && g.random() >= fraction
}

// shortageReason returns why a request with at least one candidate found no place: the
// slots are in use, or those that are free are kept for others; mu is held.
func (g *Gatekeeper) shortageReason(e *exchange, request chooser.Request) string {
	if !e.rationed || e.attempts > 0 || request.Fill >= 1 {
		return noPlaceReason
	}
	request.Fill = 1
	if _, free := g.chooser.Pick(request); free {
		return string(e.decision.Reason)
	}
	return noPlaceReason
}

// recordRation tells the rationer whether a request's first attempt is made; mu is held.
func (g *Gatekeeper) recordRation(e *exchange) {
	if !e.rationed || e.attempts > 0 {
		return
	}
	if e.failureReason == "" {
		g.rationer.Update(rationer.AdmittedMsg{Request: e.ration})
		return
	}
	g.rationer.Update(rationer.RefusedMsg{Request: e.ration, Short: e.failureReason == noPlaceReason && e.urgency() == chooser.Normal})
	switch rationer.Reason(e.failureReason) {
	case rationer.AboveShare:
		aboveShareRefusals.Inc()
	case rationer.LessUrgent:
		lessUrgentRefusals.Inc()
	case rationer.TooEarly:
		tooEarlyRefusals.Inc()
	}
}

// applyServed tells the rationer which fraction of their requests all entries sent to
// endpoints; mu is held.
func (g *Gatekeeper) applyServed(shares []messenger.ServedShare) {
	for _, share := range shares {
		g.rationer.Update(rationer.ServedMsg{Now: timekeeper.Now(), Service: share.Service, Fraction: share.Fraction})
	}
}
