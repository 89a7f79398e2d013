package gatekeeper

import (
	"fmt"
	"strings"
	"time"

	"papayaseam/internal/chooser"
	"papayaseam/internal/evacuator"
	"papayaseam/internal/messenger"
	"papayaseam/internal/timekeeper"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
)

const (
	// phaseOutShare is the part of the bound on an evacuation over which its requests end,
	// from the moment at which the entry learns of it.
	phaseOutShare = 0.4
	// contactShare bounds the phase-out of an entry that learned late: it ends at this part
	// of the bound after the last confirmation without the evacuation, which was committed
	// later. The rest is for requests that are being sent, and for slow machines.
	contactShare = 0.6
	// maxLoggedDomains bounds the names in one log line.
	maxLoggedDomains = 8
)

// evacuatedReason is why a request is refused that only evacuated endpoints serve.
const evacuatedReason = "all endpoints that serve it are in evacuated failure domains"

// applyEvacuations takes newer evacuations of control. Like the view of the fleet, they
// need no confirmation: a process knows none that was not committed. The lock mu is held.
func (g *Gatekeeper) applyEvacuations(list messenger.EvacuationList, now time.Duration) {
	if !g.evacuations.Update(evacuator.ApplyMsg{List: list}) {
		return
	}
	domains := g.evacuations.Domains()
	end := g.phaseOutEnd(now)
	g.chooser.Update(chooser.EvacuationMsg{Now: now, Domains: domains, PhaseOutEnd: end})
	g.anyEvacuated.Store(len(domains) > 0)
	metrics.GetOrCreateGauge("papayaseam_evacuated_domains", nil).Set(float64(len(domains)))
	g.log.Info("evacuations applied", "revision", list.Revision, "evacuated", len(domains),
		"failure-domains", strings.Join(domains[:min(len(domains), maxLoggedDomains)], ","), "phase-out-ms", max(end-now, 0).Milliseconds())
}

// phaseOutEnd returns when the last request may be sent to a failure domain of whose
// evacuation this entry learns now. An entry without a configuration has sent nothing that
// could be phased out.
func (g *Gatekeeper) phaseOutEnd(now time.Duration) time.Duration {
	active := g.active.Load()
	if active == nil || active.config == nil {
		return now
	}
	share := func(part float64) time.Duration { return time.Duration(part * float64(g.cfg.EvacuateWithin)) }
	return min(now+share(phaseOutShare), active.confirmedAt+share(contactShare))
}

// errEvacuated is returned for an attempt at an endpoint whose failure domain has become
// closed since the endpoint was picked.
var errEvacuated = errors.New("the endpoint's failure domain is evacuated; trying another endpoint")

// closedFrom returns from when on no request may be sent to an endpoint, or false if its
// failure domain is not evacuated. It takes no lock while none is.
func (g *Gatekeeper) closedFrom(target chooser.Target) (time.Duration, bool) {
	if !g.anyEvacuated.Load() {
		return 0, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.chooser.PhaseOutEnd(target)
}

// isClosed reports whether no request may be sent to an endpoint because its failure domain
// is evacuated. It is checked right before a request is sent, since the process may have
// been suspended after the endpoint was picked.
func (g *Gatekeeper) isClosed(target chooser.Target) bool {
	end, ok := g.closedFrom(target)
	return ok && timekeeper.Now() >= end
}

// recordSentToEvacuated counts a request that was sent to an evacuated failure domain, and
// logs one that was sent after the end of its phase-out: the phase-out ended between the
// last check and the send.
func (g *Gatekeeper) recordSentToEvacuated(e *exchange, target chooser.Target, sentAt time.Duration) {
	end, ok := g.closedFrom(target)
	if !ok || sentAt == 0 {
		return
	}
	during := "phase-out"
	if sentAt > end {
		during = "evacuation"
		g.log.Warn("request sent to an evacuated failure domain", "attempt", e.metadata.AttemptID, "endpoint", target.ID,
			"chosen-ms", (e.chosenAt - end).Milliseconds(), "sent-ms", (sentAt - end).Milliseconds())
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`papayaseam_requests_sent_to_evacuated_total{during=%q}`, during)).Inc()
}
