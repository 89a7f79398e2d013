package gatekeeper

import (
	"context"
	"maps"
	"time"

	"papayaseam/internal/chooser"
	"papayaseam/internal/timekeeper"
	"papayaseam/internal/transporter"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
)

const (
	// listenerTimeout bounds the check of an endpoint's address. A refusal takes
	// one round trip; a machine without power answers nothing.
	listenerTimeout = 150 * time.Millisecond
	// checkTTL lets the requests that lose one endpoint together share a check.
	checkTTL = 250 * time.Millisecond
	// beginPeriod is how long after its first event an attempt may still be the
	// cause of its endpoint's crash.
	beginPeriod = 250 * time.Millisecond
)

var (
	endpointCrashes          = metrics.NewCounter("papayaseam_endpoint_crashes_total")
	requestsLostWithEndpoint = metrics.NewCounter("papayaseam_requests_lost_with_endpoint_total")
)

// bootKey identifies one boot of an endpoint.
type bootKey struct {
	id       string
	bootTime int
}

// listenerCheck is a check of whether an endpoint's address refuses connections,
// shared by the requests that lost theirs.
type listenerCheck struct {
	startedAt time.Duration
	done      chan struct{}
	refused   bool // refused may be read once done is closed.
}

// inspectBreak finds out whether an attempt whose connection broke may have lost the
// endpoint's process, and records this. A refusal does not prove it, since a cut may
// refuse connections as well; control looks for the proof. Attempts that this entry
// canceled say nothing about the endpoint.
func (g *Gatekeeper) inspectBreak(ctx context.Context, e *exchange, target chooser.Target) {
	g.noteBroken(ctx, e, target)
	if ctx.Err() != nil || g.isLeaving(target) || !g.isRefused(ctx, target) {
		return
	}
	requestsLostWithEndpoint.Inc()
	suspect := e.mayHaveCrashed()
	g.log.Info("request lost with its endpoint", "attempt", e.metadata.AttemptID, "fingerprint", e.fingerprint, "endpoint", target.ID, "boot", target.BootTime,
		"group", target.Group, "suspect", suspect, "observed", "refused", "proof", g.crashProof(target), "attempts", e.attempts, "parts", e.metadata.PromptParts)
	if suspect {
		g.recordCrash(e, target)
	}
}

// mayHaveCrashed reports whether the current attempt can have crashed its
// endpoint: a request that crashes endpoints does so as it begins.
func (e *exchange) mayHaveCrashed() bool {
	return e.attemptEventAt == 0 || timekeeper.Now()-e.attemptEventAt < beginPeriod
}

// isLeaving reports whether an endpoint announced that it stops, to control or in its
// answers, so that its end is no crash.
func (g *Gatekeeper) isLeaving(target chooser.Target) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.chooser.Leaves(target) {
		return true
	}
	for _, view := range g.fleet.Endpoints {
		if view.Instance == target.ID && view.Born == target.BootTime {
			return view.Leaving
		}
	}
	return false
}

// crashProof returns what proves to this entry that a boot has ended: a later boot of
// the same endpoint or at its address, or "none".
func (g *Gatekeeper) crashProof(target chooser.Target) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, view := range g.fleet.Endpoints {
		if view.Born > target.BootTime && (view.Instance == target.ID || view.Address == target.Address) {
			return "later-boot"
		}
	}
	return "none"
}

// isRefused reports whether the address of an endpoint refuses connections.
func (g *Gatekeeper) isRefused(ctx context.Context, target chooser.Target) bool {
	check, mine := g.shareCheck(bootKey{target.ID, target.BootTime})
	if mine {
		checkCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), listenerTimeout)
		defer cancel()
		check.refused = errors.Is(g.endpointClient.CheckListener(checkCtx, target.Address), transporter.ErrRefused)
		if check.refused {
			endpointCrashes.Inc()
		}
		close(check.done)
	}
	<-check.done
	return check.refused
}

// shareCheck returns the current check of a boot, and whether the caller must carry
// it out.
func (g *Gatekeeper) shareCheck(key bootKey) (check *listenerCheck, mine bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := timekeeper.Now()
	maps.DeleteFunc(g.checks, func(_ bootKey, c *listenerCheck) bool { return now-c.startedAt > checkTTL })
	if check = g.checks[key]; check != nil {
		return check, false
	}
	check = &listenerCheck{startedAt: now, done: make(chan struct{})}
	g.checks[key] = check
	return check, true
}
