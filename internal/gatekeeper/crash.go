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
	// listenerTimeout bounds the check for an endpoint's process. A refusal takes
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

// processCheck is a check of whether an endpoint's process has ended, shared by
// the requests that lost their connection to it.
type processCheck struct {
	startedAt time.Duration
	done      chan struct{}
	ended     bool // ended may be read once done is closed.
}

// inspectBreak finds out whether an attempt whose connection broke lost the
// endpoint's process or the connection only, and records the former. Attempts that
// this entry canceled say nothing about the endpoint.
func (g *Gatekeeper) inspectBreak(ctx context.Context, e *exchange, target chooser.Target) {
	if ctx.Err() != nil || g.isLeaving(target) || !g.processEnded(ctx, target) {
		return
	}
	requestsLostWithEndpoint.Inc()
	suspect := e.mayHaveCrashed()
	g.log.Info("request lost with its endpoint", "attempt", e.metadata.AttemptID, "fingerprint", e.fingerprint, "endpoint", target.ID, "boot", target.BootTime,
		"group", target.Group, "suspect", suspect, "attempts", e.attempts, "parts", e.metadata.PromptParts)
	if suspect {
		g.recordCrash(e, target)
	}
}

// mayHaveCrashed reports whether the current attempt can have crashed its
// endpoint: a request that crashes endpoints does so as it begins.
func (e *exchange) mayHaveCrashed() bool {
	return e.attemptEventAt == 0 || timekeeper.Now()-e.attemptEventAt < beginPeriod
}

// isLeaving reports whether an endpoint announced that it stops, so that its end is
// no crash.
func (g *Gatekeeper) isLeaving(target chooser.Target) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, view := range g.fleet.Endpoints {
		if view.Instance == target.ID && view.Born == target.BootTime {
			return view.Leaving
		}
	}
	return false
}

// processEnded reports whether nothing listens any more at the address of an
// endpoint.
func (g *Gatekeeper) processEnded(ctx context.Context, target chooser.Target) bool {
	check, mine := g.shareCheck(bootKey{target.ID, target.BootTime})
	if mine {
		checkCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), listenerTimeout)
		defer cancel()
		check.ended = errors.Is(g.endpointClient.CheckListener(checkCtx, target.Address), transporter.ErrRefused)
		if check.ended {
			endpointCrashes.Inc()
		}
		close(check.done)
	}
	<-check.done
	return check.ended
}

// shareCheck returns the current check of a boot, and whether the caller must carry
// it out.
func (g *Gatekeeper) shareCheck(key bootKey) (check *processCheck, mine bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := timekeeper.Now()
	maps.DeleteFunc(g.checks, func(_ bootKey, c *processCheck) bool { return now-c.startedAt > checkTTL })
	if check = g.checks[key]; check != nil {
		return check, false
	}
	check = &processCheck{startedAt: now, done: make(chan struct{})}
	g.checks[key] = check
	return check, true
}
