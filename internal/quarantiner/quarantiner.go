// Package quarantiner decides which content is kept from endpoints because it
// crashes them. Content is named by a key: a whole request by its fingerprint, which is
// the same whenever the request comes again, or one part of the prompts of many
// requests. The package is a pure state machine: entries keep one table of what they
// saw themselves, the control log drives the one that all share.
//
// # Usage
//
//	t := quarantiner.New()
//	known := t.Crashes(key)                             // as the request is sent
//	t.Update(quarantiner.ReportMsg{Command: command})   // endpoints crashed, content ran on
//	if t.Held(key) { ... }                              // refuse it
//
// Content that merely runs beside the cause is told apart in four ways. Only what has
// just begun, or was about to, is reported. Crashes at about the same time, such as the
// loss of a failure domain, count once: a further one counts only for content that was
// sent when a crash under it was already known. Content that runs on after a known crash
// under it is no longer suspected. And a crash has one cause: a part is not held for
// crashes that all came with one request, or with one part further into the prompt.
//
// A report of a crash says that the connections to a boot broke and that its address
// refuses new ones, which a cut can do as well. It counts at once, because each further
// crash costs an endpoint, and is withdrawn under all content once the boot is known to
// run on.
package quarantiner

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"papayaseam/internal/messenger"
)

// maxBoots bounds the boots that are kept with a record.
const maxBoots = 8

// Table holds the crashes under each suspected content. It is not safe for
// concurrent use.
type Table struct {
	options  options
	records  map[string]messenger.QuarantineRecord // records without a crash are tombstones for ChangesSince.
	held     map[string]messenger.QuarantineRecord
	running  []messenger.RunningBoot // running holds the boots whose crashes were withdrawn last, oldest first.
	live     int                     // live is the number of records with a crash.
	revision int
	pruned   int // pruned is the revision at which a record was last dropped without a tombstone.
}

// New returns an empty table.
func New(opts ...Option) *Table {
	t := &Table{options: defaults(), records: map[string]messenger.QuarantineRecord{}, held: map[string]messenger.QuarantineRecord{}}
	for _, opt := range opts {
		opt(&t.options)
	}
	return t
}

// Empty reports whether no content is suspected.
func (t *Table) Empty() bool { return t.live == 0 }

// Crashes returns the number of crashes that count under a key.
func (t *Table) Crashes(key string) int { return t.records[key].Crashes }

// Held reports whether the content of a key is kept from endpoints.
func (t *Table) Held(key string) bool {
	_, ok := t.held[key]
	return ok
}

// HeldCount returns the number of keys that are held.
func (t *Table) HeldCount() int { return len(t.held) }

// Revision returns the revision of the last change.
func (t *Table) Revision() int { return t.revision }

// Records returns the records of suspected and held content, sorted by key.
func (t *Table) Records() []messenger.QuarantineRecord {
	var list []messenger.QuarantineRecord
	for _, key := range slices.Sorted(maps.Keys(t.records)) {
		if r := t.records[key]; r.Crashes > 0 {
			list = append(list, r)
		}
	}
	return list
}

// Update applies a message and returns the keys whose hold began or ended.
func (t *Table) Update(msg Msg) []Effect {
	before := t.revision
	switch msg := msg.(type) {
	case ReportMsg:
		t.applyReport(msg.Command)
	case ApplyMsg:
		t.apply(msg.Changes)
	}
	if t.revision == before {
		return nil
	}
	t.prune()
	return t.updateHeld()
}

// applyReport withdraws and counts crashes, then clears what ran on, since that began
// after them.
func (t *Table) applyReport(command messenger.QuarantineCommand) {
	next := t.revision + 1
	for _, boot := range command.Running {
		t.withdraw(boot, next)
	}
	for _, report := range command.Crashes {
		t.addCrash(report, next)
	}
	for _, key := range command.Survived {
		t.set(messenger.QuarantineRecord{Key: key, Modified: next})
	}
	for _, key := range command.Lapsed {
		t.lapse(key, next)
	}
}

// addCrash counts the crash of a boot under the content of the report. Requests that
// were beside content which is held by now are left out.
func (t *Table) addCrash(report messenger.CrashReport, revision int) {
	explained := t.explains(report)
	for _, trial := range report.Trials {
		held := t.Held(trial.Key)
		if explained && trial.Part == 0 && !held {
			continue
		}
		if held {
			trial.Known = max(trial.Known, 1)
		}
		t.countCrash(report.Boot, trial, revision)
	}
}

// explains reports whether content that is held was beginning on a crashed boot.
func (t *Table) explains(report messenger.CrashReport) bool {
	for _, r := range t.held {
		if slices.Contains(r.Boots, report.Boot) {
			return true
		}
	}
	return slices.ContainsFunc(report.Trials, func(trial messenger.CrashTrial) bool { return t.Held(trial.Key) })
}

// countCrash adds a boot to the record of a key. It counts once, and only for content
// that was sent when an earlier crash under it was known.
func (t *Table) countCrash(boot string, trial messenger.CrashTrial, revision int) {
	r := t.records[trial.Key]
	if slices.Contains(r.Boots, boot) {
		return
	}
	if r.Crashes == 0 {
		r = messenger.QuarantineRecord{Key: trial.Key, Part: trial.Part}
	}
	if r.Crashes == 0 || trial.Known > 0 {
		r.Crashes++
	} else {
		r.Beside = append(slices.Clone(r.Beside), boot)
	}
	r.Part = min(r.Part, trial.Part)
	r.Modified = revision
	r.Boots = append(slices.Clone(r.Boots), boot)
	excess := max(0, len(r.Boots)-maxBoots)
	r.Beside = without(r.Beside, r.Boots[:excess])
	r.Boots = r.Boots[excess:]
	t.set(r)
}

// lapse ends the hold of a key, so that the next crash under it starts a longer one,
// or forgets a key that is not held. Crashes that a hold explained count under
// nothing else after it.
func (t *Table) lapse(key string, revision int) {
	r, ok := t.held[key]
	if !ok {
		t.set(messenger.QuarantineRecord{Key: key, Modified: revision})
		return
	}
	for _, other := range t.Records() {
		if !t.Held(other.Key) {
			t.set(withoutBoots(other, r.Boots, revision))
		}
	}
	r.Crashes, r.Boots, r.Beside, r.Modified = t.options.holdAfter-1, nil, nil, revision
	r.Holds++
	t.set(r)
}

// withoutBoots returns a record without the crashes of the given boots, unless it was
// held before.
func withoutBoots(r messenger.QuarantineRecord, boots []string, revision int) messenger.QuarantineRecord {
	kept := without(r.Boots, boots)
	if r.Holds > 0 || len(kept) == len(r.Boots) {
		return r
	}
	r.Crashes, r.Boots, r.Beside, r.Modified = min(r.Crashes, len(kept)), kept, without(r.Beside, boots), revision
	return r
}

// without returns the boots that are not in another list.
func without(boots, other []string) []string {
	return slices.DeleteFunc(slices.Clone(boots), func(boot string) bool { return slices.Contains(other, boot) })
}

// set stores a record, or a tombstone in place of one.
func (t *Table) set(r messenger.QuarantineRecord) {
	old := t.records[r.Key]
	if r.Crashes == 0 && old.Crashes == 0 {
		return
	}
	if r.Crashes == 0 {
		r = messenger.QuarantineRecord{Key: r.Key, Modified: r.Modified}
	}
	t.records[r.Key] = r
	t.revision = max(t.revision, r.Modified)
	t.live += isLive(r) - isLive(old)
}

func isLive(r messenger.QuarantineRecord) int { return min(r.Crashes, 1) }

// updateHeld decides anew what is held, the most specific content first.
func (t *Table) updateHeld() []Effect {
	var candidates []messenger.QuarantineRecord
	for _, r := range t.records {
		if r.Crashes >= t.options.holdAfter {
			candidates = append(candidates, r)
		}
	}
	slices.SortFunc(candidates, func(a, b messenger.QuarantineRecord) int {
		return cmp.Or(cmp.Compare(specificity(b), specificity(a)), cmp.Compare(a.Key, b.Key))
	})
	old := t.held
	t.held = map[string]messenger.QuarantineRecord{}
	for _, r := range candidates {
		_, wasHeld := old[r.Key]
		if r.Part == 0 || r.Holds > 0 || (t.isCause(r) && (wasHeld || t.unexplained(r) >= t.options.holdAfter)) {
			t.held[r.Key] = r
		}
	}
	return heldChanges(old, t.held)
}

// specificity is higher for content that fewer requests share: whole requests, then
// parts by their position.
func specificity(r messenger.QuarantineRecord) int {
	if r.Part == 0 {
		return math.MaxInt
	}
	return r.Part
}

// isCause reports whether no single content that is more specific was beginning on all
// boots that crashed under a part.
func (t *Table) isCause(part messenger.QuarantineRecord) bool {
	for _, other := range t.records {
		if specificity(other) > specificity(part) && len(without(part.Boots, other.Boots)) == 0 {
			return false
		}
	}
	return true
}

// unexplained returns the number of crashes under a part that did not come with a held
// part further into the prompt.
func (t *Table) unexplained(part messenger.QuarantineRecord) int {
	boots := part.Boots
	for _, other := range t.held {
		if other.Part > part.Part {
			boots = without(boots, other.Boots)
		}
	}
	return len(boots)
}

// heldChanges returns the effects of a change of what is held, sorted by key.
func heldChanges(before, after map[string]messenger.QuarantineRecord) []Effect {
	var effects []Effect
	for _, key := range slices.Sorted(maps.Keys(after)) {
		if _, ok := before[key]; !ok {
			effects = append(effects, HeldEffect{Record: after[key]})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(before)) {
		if _, ok := after[key]; !ok {
			effects = append(effects, ReleasedEffect{Record: before[key]})
		}
	}
	return effects
}

// prune drops the oldest records beyond the bounds, held ones last.
func (t *Table) prune() {
	if t.live <= t.options.maxRecords && len(t.records)-t.live <= t.options.maxRecords {
		return
	}
	var live, tombstones []messenger.QuarantineRecord
	for _, r := range t.records {
		if r.Crashes > 0 {
			live = append(live, r)
		} else {
			tombstones = append(tombstones, r)
		}
	}
	slices.SortFunc(live, t.compareForPruning)
	slices.SortFunc(tombstones, t.compareForPruning)
	for _, r := range slices.Concat(live[:max(0, len(live)-t.options.maxRecords)], tombstones[:max(0, len(tombstones)-t.options.maxRecords)]) {
		delete(t.records, r.Key)
		t.live -= isLive(r)
		t.pruned = t.revision
	}
}

func (t *Table) compareForPruning(a, b messenger.QuarantineRecord) int {
	if t.Held(a.Key) != t.Held(b.Key) {
		if t.Held(b.Key) {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Modified, b.Modified), cmp.Compare(a.Key, b.Key))
}
