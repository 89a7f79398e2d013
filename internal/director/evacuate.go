package director

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"papayaseam/internal/messenger"

	"github.com/VictoriaMetrics/metrics"
)

// maxDomainBytes bounds the names that an order can put into the log.
const maxDomainBytes = 256

// maxQuotedName bounds what an error quotes of a name from outside.
const maxQuotedName = 64

// UnknownDomainError means that there is no such failure domain; sending the order again
// does not help.
type UnknownDomainError struct {
	Domain string
	Known  []string // Known are the known failure domains, sorted.
}

// Error names the known failure domains.
func (e *UnknownDomainError) Error() string {
	return fmt.Sprintf("there is no failure domain %.*q; known are: %s", maxQuotedName, e.Domain, strings.Join(e.Known, ", "))
}

// UnboundOrderError means that an order on a failure domain does not say after which other
// ones it was sent, or that one was carried out since. The caller should send it again with
// After, if it still wants it.
type UnboundOrderError struct{ After int }

// Error says how to send the order again.
func (e *UnboundOrderError) Error() string {
	return fmt.Sprintf("the order is not bound to the newest one on its failure domain; send it again after log index %d", e.After)
}

// Evacuate commits an order that nothing more be sent to the endpoints of a failure
// domain, or revokes it. It is carried out only if there was no other order on that domain
// after the log index order.After. It returns nil once what it requests is or was in force
// after the call, an *UnboundOrderError if order.After is absent or too old, an
// *UnknownDomainError if there is no such failure domain, and ErrOutcomeUnknown if the same
// order should be sent again.
func (d *Director) Evacuate(ctx context.Context, order messenger.Evacuation) error {
	answer := d.handleEvacuate(ctx, messenger.EvacuationRequest{Evacuation: &order})
	switch {
	case answer.Accepted:
		return nil
	case answer.Unknown:
		return &UnknownDomainError{Domain: order.FailureDomain, Known: answer.FailureDomains}
	case answer.After != 0:
		return &UnboundOrderError{After: answer.After}
	}
	return ErrOutcomeUnknown
}

// handleEvacuate carries out an order at the leader; other processes forward it.
func (d *Director) handleEvacuate(ctx context.Context, request messenger.EvacuationRequest) messenger.EvacuationAnswer {
	if request.Evacuation == nil {
		return messenger.EvacuationAnswer{}
	}
	if _, leading := d.leaderAddress(); !leading {
		request.Hops++
		answer, _ := forwardToLeader[messenger.EvacuationAnswer](ctx, d, "/fleet/evacuate", request.Hops, commandTimeout, request)
		return answer
	}
	order := messenger.Evacuation{FailureDomain: request.Evacuation.FailureDomain, Active: request.Evacuation.Active, After: request.Evacuation.After}
	if known, certain := d.knownDomains(); !slices.Contains(known, order.FailureDomain) {
		countEvacuationOrder(order, "unknown")
		return messenger.EvacuationAnswer{Unknown: certain, FailureDomains: known}
	}
	carriedOut, err := d.commitEvacuation(ctx, order)
	switch {
	case err != nil:
		countEvacuationOrder(order, "failed")
		d.log.Info("evacuation order failed", "failure-domain", order.FailureDomain, "active", order.Active, "after", order.After, "err", err)
		return messenger.EvacuationAnswer{}
	case !carriedOut:
		last, applied := d.lastOrder(order.FailureDomain)
		countEvacuationOrder(order, "unbound")
		d.log.Info("evacuation order sent back; it does not name the last order or the log after it", "failure-domain", order.FailureDomain, "active", order.Active, "after", order.After, "last", last, "applied", applied)
		return messenger.EvacuationAnswer{After: applied}
	}
	countEvacuationOrder(order, "accepted")
	d.log.Info("evacuation ordered", "failure-domain", order.FailureDomain, "active", order.Active, "after", order.After)
	return messenger.EvacuationAnswer{Accepted: true}
}

func countEvacuationOrder(order messenger.Evacuation, result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`papayaseam_evacuation_orders_total{active="%t",result=%q}`, order.Active, result)).Inc()
}

// commitEvacuation reports whether an order was carried out. Only the log decides: the check
// here keeps orders out of it that are certain to be rejected. A new leader may not have
// applied yet what the order names, so that a quorum confirms the applied index first.
// Otherwise a log entry is written even if the failure domain is in that state already,
// since earlier orders that are still on the way must not be carried out afterwards.
func (d *Director) commitEvacuation(ctx context.Context, order messenger.Evacuation) (carriedOut bool, err error) {
	if !d.isBound(order) {
		if err := d.confirm(ctx); err != nil {
			return false, err
		}
		if !d.isBound(order) {
			return false, nil
		}
	}
	return d.commit(ctx, messenger.FleetCommand{Evacuation: &order})
}

// isBound reports whether an order names the last one that was applied on its failure
// domain, or a later point of the log.
func (d *Director) isBound(order messenger.Evacuation) bool {
	last, applied := d.lastOrder(order.FailureDomain)
	return order.After > 0 && order.After >= last && order.After <= applied
}

// lastOrder returns the log indexes of the last applied order on a failure domain and of
// the last applied entry.
func (d *Director) lastOrder(domain string) (index, applied int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Evacuations().LastIndex(domain), d.appliedIndex
}

// knownDomains returns the failure domains that may be evacuated, sorted: those of the
// settings and those that had an order before, so that an accepted order is never
// refused. Without settings, each one counts in which an endpoint announced itself; the
// answer is certain once the leader has heard the endpoints.
func (d *Director) knownDomains() (domains []string, certain bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := map[string]bool{}
	for _, domain := range d.cfg.FailureDomains {
		known[domain] = true
	}
	for _, r := range d.state.Evacuations().Records() {
		known[r.FailureDomain] = true
	}
	certain = len(d.cfg.FailureDomains) > 0
	if !certain {
		for _, view := range d.state.Endpoints() {
			known[view.FailureDomain] = true
		}
		for _, e := range d.tracker().Endpoints() {
			known[e.View.FailureDomain] = true
		}
		certain = d.fleet.settled
	}
	maps.DeleteFunc(known, func(domain string, _ bool) bool { return domain == "" || len(domain) > maxDomainBytes })
	return slices.Sorted(maps.Keys(known)), certain
}

// evacuationChange is the last order on a failure domain as this process learned of it.
type evacuationChange struct {
	revision int
	active   bool
	at       time.Duration
}

// evacuationsChanged records when evacuations began or were revoked, and wakes the entries that
// wait for a change and the next plan. The caller holds mu.
func (d *Director) evacuationsChanged() {
	evacuations := d.state.Evacuations()
	for _, r := range evacuations.Records() {
		if d.evacuationChanges[r.FailureDomain].revision < r.Modified {
			d.evacuationChanges[r.FailureDomain] = evacuationChange{revision: r.Modified, active: r.Active, at: now()}
		}
	}
	maps.DeleteFunc(d.evacuationChanges, func(domain string, _ evacuationChange) bool { return !evacuations.Known(domain) })
	domains := evacuations.Domains()
	setGauge("papayaseam_evacuated_domains", float64(len(domains)))
	d.log.Info("evacuations changed", "revision", evacuations.Revision(), "evacuated", len(domains), "failure-domains", firstNames(domains))
	d.fleet.notifyWaiters()
	d.triggerPlan()
}

// hasNewEvacuations reports whether the evacuations are newer than a caller's. The caller
// holds mu.
func (d *Director) hasNewEvacuations(request messenger.FleetRequest) bool {
	return !followsLog(request) && d.state.Evacuations().Revision() > request.Evacuations
}

// applyEvacuations takes the evacuations of the leader at a process without a log. The
// caller holds mu.
func (d *Director) applyEvacuations(list messenger.EvacuationList) {
	before := d.state.Evacuations().Revision()
	d.state.ApplyEvacuations(list)
	if d.state.Evacuations().Revision() != before {
		d.evacuationsChanged()
	}
}

// maxLoggedNames bounds the names in one log line.
const maxLoggedNames = 8

// firstNames returns the first names of a list for the log.
func firstNames(names []string) string {
	return strings.Join(names[:min(len(names), maxLoggedNames)], ",")
}
