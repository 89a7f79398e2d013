package gatekeeper

import (
	"slices"
	"sync/atomic"
	"time"

	"papayaseam/internal/messenger"
	"papayaseam/internal/quarantiner"

	"github.com/charmbracelet/log"
)

const (
	// maxPendingReports bounds the crashes that wait to be reported.
	maxPendingReports = 64
	// maxTrialsPerReport bounds the content that is reported with one crash.
	maxTrialsPerReport = 512
)

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
	q.logEffects("entry", q.own.Update(reportMsg(messenger.QuarantineCommand{
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
	q.logEffects("entry", q.own.Update(reportMsg(messenger.QuarantineCommand{Survived: keys})))
	q.refresh()
	if len(q.pending.Survived)+len(keys) <= maxTrialsPerReport {
		q.pending.Survived = append(q.pending.Survived, keys...)
		q.poke()
	}
}

// apply brings the copy of the control log's table up to date. What control no longer
// suspects is not suspected here either, and boots that control found running have not
// crashed.
func (q *quarantine) apply(changes messenger.QuarantineChanges) {
	before := q.shared.Records()
	q.logEffects("control", q.shared.Update(quarantiner.ApplyMsg{Changes: changes}))
	var cleared []string
	for _, r := range before {
		if q.shared.Crashes(r.Key) == 0 {
			cleared = append(cleared, r.Key)
		}
	}
	var running []string
	for _, r := range changes.Running {
		running = append(running, r.Boot)
	}
	q.logEffects("entry", q.own.Update(reportMsg(messenger.QuarantineCommand{Survived: cleared, Running: running})))
	q.refresh()
}

// lapse ends the suspicions and holds of this entry's own table whose time is over.
func (q *quarantine) lapse(now time.Duration) {
	q.own.Update(reportMsg(messenger.QuarantineCommand{Lapsed: q.ownTimer.Lapsed(now, q.own.Records())}))
	q.refresh()
}

func reportMsg(command messenger.QuarantineCommand) quarantiner.ReportMsg {
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

// putBack keeps the crashes that could not be reported for the next attempt. Content
// that runs on is seen again.
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
