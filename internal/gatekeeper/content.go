package gatekeeper

import (
	"papayaseam/internal/chooser"
	"papayaseam/internal/messenger"
	"papayaseam/internal/quarantiner"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
)

// heldReason is the reason of refusals of requests that crash endpoints.
const heldReason = "its content crashed endpoints and is held for a while; change it or try again later"

// errHeld is the cancellation cause of an attempt whose content is held since it was
// sent.
var errHeld = errors.New("the content of the request crashed endpoints and is held")

var heldRefusals = metrics.NewCounter("papayaseam_held_requests_total")

// contentKey names content of a request.
type contentKey struct {
	key  string
	part int // part is the position of a part in the prompt, from 1; 0 for the whole request.
}

// identifyContent sets the fingerprint of a request and the keys of its content. The
// last part of a prompt is the request's own, so that the fingerprint stands for it.
func (e *exchange) identifyContent() {
	e.fingerprint = quarantiner.BodyFingerprint(e.body.Segments(), e.organisation, e.r.Host, e.r.Method, e.r.URL.RequestURI())
	e.content = []contentKey{{key: e.fingerprint}}
	parts := e.metadata.PromptParts
	for i := range max(0, len(parts)-1) {
		e.content = append(e.content, contentKey{key: quarantiner.PartKey(e.service.Name, parts[i]), part: i + 1})
	}
}

// trials returns the content of the current attempt for a crash report.
func (e *exchange) trials() []messenger.CrashTrial {
	var trials []messenger.CrashTrial
	for _, c := range e.content {
		trials = append(trials, messenger.CrashTrial{Key: c.key, Known: e.knownCrashes[c.key], Part: c.part})
	}
	return trials
}

// noteKnownCrashes remembers what is known under a request's content as an attempt is
// made; mu is held.
func (g *Gatekeeper) noteKnownCrashes(e *exchange) {
	e.knownCrashes = nil
	if !g.quarantine.suspects.Load() {
		return
	}
	e.knownCrashes = map[string]int{}
	for _, c := range e.content {
		e.knownCrashes[c.key] = g.quarantine.crashes(c.key)
	}
}

// isHeld reports whether the content of a request is held, and logs it; mu is held.
func (g *Gatekeeper) isHeld(e *exchange) bool {
	if !g.quarantine.suspects.Load() {
		return false
	}
	key := g.quarantine.heldKey(e.content, g.inTouch())
	if key == "" {
		return false
	}
	e.held = true
	heldRefusals.Inc()
	g.log.Info("request held", "attempt", e.metadata.AttemptID, "key", key, "crashes", g.quarantine.crashes(key), "attempts", e.attempts)
	return true
}

// recordCrash records that an endpoint crashed as a request began on it.
func (g *Gatekeeper) recordCrash(e *exchange, target chooser.Target) {
	trials := e.trials()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantine.recordCrash(quarantiner.BootName(target.ID, target.BootTime), trials)
	g.cancelHeld()
}

// noteBegun remembers which content of a request is suspected as its answer begins. If
// the attempt goes on, that content does not crash endpoints.
func (g *Gatekeeper) noteBegun(e *exchange) {
	e.suspected = nil
	if !g.quarantine.suspects.Load() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	e.suspected = g.quarantine.suspected(e.content)
}

// recordCompletion records that an attempt without events was answered. Content under
// which crashes were known as it was sent does not crash endpoints.
func (g *Gatekeeper) recordCompletion(e *exchange) {
	for key, crashes := range e.knownCrashes {
		if crashes > 0 {
			e.suspected = append(e.suspected, key)
		}
	}
	g.recordSurvival(e)
}

// recordSurvival records that the current attempt of a request ran on after it had
// begun.
func (g *Gatekeeper) recordSurvival(e *exchange) {
	if len(e.suspected) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantine.recordSurvival(e.suspected)
	e.suspected = nil
}

// cancelHeld cancels the streams that have not begun and whose content is held by
// now; mu is held.
func (g *Gatekeeper) cancelHeld() {
	inTouch := g.inTouch()
	for s := range g.streams {
		if !s.begun.Load() && g.quarantine.heldKey(s.content, inTouch) != "" {
			s.cancel(errHeld)
		}
	}
}
