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

// Evacuate commits an order that nothing more be sent to the endpoints of a failure
// domain, or revokes it. It returns nil if what it requests was in force at some moment
// after the call, an *UnknownDomainError if there is no such failure domain, and
// ErrOutcomeUnknown if the same order should be sent again.
func (d *Director) Evacuate(ctx context.Context, domain string, active bool) error {
	answer := d.handleEvacuate(ctx, messenger.EvacuationRequest{Evacuation: &messenger.Evacuation{FailureDomain: domain, Active: active}})
	switch {
	case answer.Accepted:
		return nil
	case answer.Unknown:
		return &UnknownDomainError{Domain: domain, Known: answer.FailureDomains}
	}
	return ErrOutcomeUnknown
}

// handleEvacuate carries out an order at the leader; other processes forward it.
func (d *Director) handleEvacuate(ctx context.Context, request messenger.EvacuationRequest) messenger.EvacuationAnswer {
	if request.Evacuation == nil {
		return messenger.EvacuationAnswer{}
	}
	if d.maybeLate() {
		countEvacuationOrder(*request.Evacuation, "late")
		d.log.Info("evacuation order not carried out; it may have been sent before this process stood still", "failure-domain", request.Evacuation.FailureDomain, "active", request.Evacuation.Active)
		return messenger.EvacuationAnswer{}
	}
	if _, leading := d.leaderAddress(); !leading {
		request.Hops++
		answer, _ := forwardToLeader[messenger.EvacuationAnswer](ctx, d, "/fleet/evacuate", request.Hops, commandTimeout, request)
		return answer
	}
	order := messenger.Evacuation{FailureDomain: request.Evacuation.FailureDomain, Active: request.Evacuation.Active}
	if known, certain := d.knownDomains(); !slices.Contains(known, order.FailureDomain) {
		countEvacuationOrder(order, "unknown")
		return messenger.EvacuationAnswer{Unknown: certain, FailureDomains: known}
	}
	err := d.commitEvacuation(ctx, order)
	result := "accepted"
	if err != nil {
		result = "failed"
	}
	countEvacuationOrder(order, result)
	d.log.Info("evacuation ordered", "failure-domain", order.FailureDomain, "active", order.Active, "err", err)
	return messenger.EvacuationAnswer{Accepted: err == nil}
}

func countEvacuationOrder(order messenger.Evacuation, result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`papayaseam_evacuation_orders_total{active="%t",result=%q}`, order.Active, result)).Inc()
}

// commitEvacuation returns nil once an order is or was in force after the call. Where the
// failure domain is in that state already, a quorum confirms this without a log entry. The
// state is read after the confirmation, because a new leader may not have applied yet what
// an earlier one acknowledged.
func (d *Director) commitEvacuation(ctx context.Context, order messenger.Evacuation) error {
	if d.isEvacuated(order.FailureDomain) == order.Active {
		if err := d.confirm(ctx); err != nil {
			return err
		}
		if d.isEvacuated(order.FailureDomain) == order.Active {
			return nil
		}
	}
	if d.maybeLate() {
		return ErrOutcomeUnknown
	}
	_, err := d.commit(ctx, messenger.FleetCommand{Evacuation: &order})
	return err
}

// isEvacuated reports whether a failure domain is evacuated by the applied state.
func (d *Director) isEvacuated(domain string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Evacuations().Evacuated(domain)
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
