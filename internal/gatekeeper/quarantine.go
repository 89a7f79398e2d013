package gatekeeper

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"papayaseam/internal/chooser"
	"papayaseam/internal/messenger"
	"papayaseam/internal/quarantiner"
	"papayaseam/internal/timekeeper"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
)

const (
	// reportDelay lets the requests that one crash breaks share a report.
	reportDelay = 5 * time.Millisecond
	// reportTimeout allows for a commit through the leader.
	reportTimeout = 900 * time.Millisecond
	// reportRetryDelay is the time between attempts to report without control.
	reportRetryDelay = 200 * time.Millisecond
	// maxPendingReports bounds the crashes that wait to be reported.
	maxPendingReports = 64
	// maxTrialsPerReport bounds the content that is reported with one crash.
	maxTrialsPerReport = 512
	// lapseInterval is the time between checks for holds that are over.
	lapseInterval = time.Second
)

// heldReason is the reason of refusals of requests that crash endpoints.
const heldReason = "its content crashed endpoints and is held for a while; change it or try again later"

// errHeld is the cancellation cause of an attempt whose content is held since it was
// sent.
var errHeld = errors.New("the content of the request crashed endpoints and is held")

var heldRefusals = metrics.NewCounter("papayaseam_held_requests_total")

// quarantine is what this entry knows of content that crashes endpoints. It has one
// table of the crashes that it saw itself, which holds also without control, and a
// copy of the one in the control log. Its fields are guarded by the entry's mu.
type quarantine struct {
	log      *log.Logger
	own      *quarantiner.Table
	shared   *quarantiner.Table
	ownTimer *quarantiner.Timer
	suspects atomic.Bool // suspects means that a table is not empty.
	pending  messenger.QuarantineCommand
	wake     chan struct{}
}

func newQuarantine(logger *log.Logger) *quarantine {
	return &quarantine{
		log: logger, own: quarantiner.New(), shared: quarantiner.New(), ownTimer: quarantiner.NewTimer(), wake: make(chan struct{}, 1),
	}
}

// crashes returns how many crashes are known under a key.
func (q *quarantine) crashes(key string) int { return max(q.own.Crashes(key), q.shared.Crashes(key)) }

// heldKey returns the first key of a request's content that is held, or "" if none is.
// What this entry saw itself does not tell a part from those that it comes with, and
// holds parts only while control is out of reach.
func (q *quarantine) heldKey(content []contentKey, inTouch bool) string {
	for _, c := range content {
		if q.shared.Held(c.key) || (q.own.Held(c.key) && (c.part == 0 || !inTouch)) {
			return c.key
		}
	}
	return ""
}

// suspected returns the keys under which crashes are known.
func (q *quarantine) suspected(content []contentKey) []string {
	var suspected []string
	for _, c := range content {
		if q.crashes(c.key) > 0 {
			suspected = append(suspected, c.key)
		}
	}
	return suspected
}

// recordCrash adds the content of a request to the crash of its endpoint.
func (q *quarantine) recordCrash(boot string, trials []messenger.CrashTrial) {
	q.logEffects("entry", q.own.Update(report(messenger.QuarantineCommand{
		Crashes: []messenger.CrashReport{{Boot: boot, Trials: trials}},
	})))
	q.refresh()
	pending := q.pendingReport(boot)
	if pending == nil || len(pending.Trials)+len(trials) > maxTrialsPerReport {
		q.log.Warn("crash not reported to control; too much is waiting", "boot", boot)
		return
	}
	pending.Trials = append(pending.Trials, trials...)
	q.poke()
}

// pendingReport returns the report of a crash that has not been sent yet, or nil if
// too many wait.
func (q *quarantine) pendingReport(boot string) *messenger.CrashReport {
	for i := range q.pending.Crashes {
		if q.pending.Crashes[i].Boot == boot {
			return &q.pending.Crashes[i]
		}
	}
	if len(q.pending.Crashes) >= maxPendingReports {
		return nil
	}
	q.pending.Crashes = append(q.pending.Crashes, messenger.CrashReport{Boot: boot})
	return &q.pending.Crashes[len(q.pending.Crashes)-1]
}

// recordSurvival clears the keys that are still suspected.
func (q *quarantine) recordSurvival(keys []string) {
	keys = slices.DeleteFunc(keys, func(key string) bool { return q.crashes(key) == 0 })
	if len(keys) == 0 {
		return
	}
	q.logEffects("entry", q.own.Update(report(messenger.QuarantineCommand{Survived: keys})))
	q.refresh()
	if len(q.pending.Survived)+len(keys) <= maxTrialsPerReport {
		q.pending.Survived = append(q.pending.Survived, keys...)
		q.poke()
	}
}

// apply brings the copy of the control log's table up to date. What control no longer
// suspects is not suspected here either.
func (q *quarantine) apply(changes messenger.QuarantineChanges) {
	before := q.shared.Records()
	q.logEffects("control", q.shared.Update(quarantiner.ApplyMsg{Changes: changes}))
	var cleared []string
	for _, r := range before {
		if q.shared.Crashes(r.Key) == 0 {
			cleared = append(cleared, r.Key)
		}
	}
	q.own.Update(report(messenger.QuarantineCommand{Survived: cleared}))
	q.refresh()
}

// lapse ends the suspicions and holds of this entry's own table whose time is over.
func (q *quarantine) lapse(now time.Duration) {
	q.own.Update(report(messenger.QuarantineCommand{Lapsed: q.ownTimer.Lapsed(now, q.own.Records())}))
	q.refresh()
}

func report(command messenger.QuarantineCommand) quarantiner.ReportMsg {
	return quarantiner.ReportMsg{Command: command}
}

func (q *quarantine) refresh() {
	q.suspects.Store(!q.own.Empty() || !q.shared.Empty())
}

func (q *quarantine) poke() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// takePending returns what is to be reported and clears it.
func (q *quarantine) takePending() messenger.QuarantineCommand {
	pending := q.pending
	q.pending = messenger.QuarantineCommand{}
	return pending
}

// putBack keeps what could not be reported for the next attempt.
func (q *quarantine) putBack(command messenger.QuarantineCommand) {
	q.pending.Crashes = append(command.Crashes, q.pending.Crashes...)
	q.pending.Crashes = q.pending.Crashes[max(0, len(q.pending.Crashes)-maxPendingReports):]
}

func (q *quarantine) logEffects(source string, effects []quarantiner.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case quarantiner.HeldEffect:
			q.log.Warn("content held; endpoints crashed as it began", "key", effect.Record.Key, "crashes", effect.Record.Crashes, "boots", effect.Record.Boots, "holds", effect.Record.Holds, "source", source)
		case quarantiner.ReleasedEffect:
			q.log.Info("content no longer held", "key", effect.Record.Key, "crashes", effect.Record.Crashes, "source", source)
		}
	}
}

// contentKey names content of a request.
type contentKey struct {
	key  string
	part int // part is the position of a part in the prompt, from 1; 0 for the whole request.
}

// identifyContent sets the fingerprint of a request and the keys of its content. The
// last part of a prompt is the request's own, so that the fingerprint stands for it.
func (e *exchange) identifyContent() {
	e.fingerprint = quarantiner.Fingerprint(e.organisation, e.r.Host, e.r.Method, e.r.URL.RequestURI(), string(e.body))
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
	g.quarantine.recordCrash(fmt.Sprint(target.ID, "/", target.BootTime), trials)
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

// inTouch reports whether control confirmed the configuration recently.
func (g *Gatekeeper) inTouch() bool {
	active := g.active.Load()
	return active != nil && g.recentlyConfirmed(active)
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

// runQuarantine reports crashes to control as they are seen, and ends holds, until the
// context ends.
func (g *Gatekeeper) runQuarantine(ctx context.Context) {
	ticker := time.NewTicker(lapseInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.mu.Lock()
			g.quarantine.lapse(timekeeper.Now())
			g.mu.Unlock()
		case <-g.quarantine.wake:
			g.reportQuarantine(ctx)
		}
	}
}

// reportQuarantine sends what waits to the first control process that commits it, and
// keeps it for later if there is none.
func (g *Gatekeeper) reportQuarantine(ctx context.Context) {
	sleep(ctx, reportDelay)
	g.mu.Lock()
	command := g.quarantine.takePending()
	addresses := g.controlAddresses()
	g.mu.Unlock()
	for _, address := range addresses {
		var answer messenger.QuarantineAnswer
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		err := g.controlClient.Call(callCtx, "http://"+address+"/fleet/quarantine", command, &answer)
		cancel()
		if err == nil && answer.Accepted {
			return
		}
		g.log.Debug("control process did not commit crashes under requests", "control", address, "err", err)
	}
	g.log.Warn("crashes under requests not reported; trying again", "crashes", len(command.Crashes))
	sleep(ctx, reportRetryDelay)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantine.putBack(command)
	g.quarantine.poke()
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
