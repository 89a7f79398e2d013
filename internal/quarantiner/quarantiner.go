// Package quarantiner decides which content is kept from endpoints because it
// crashes them. Content is named by a key: a request by its fingerprint, which is the
// same whenever the request comes again. The package is a pure state machine: entries
// keep one table of what they saw themselves, the control log drives the one that all
// share.
//
// # Usage
//
//	t := quarantiner.New()
//	known := t.Crashes(key)                          // as the request is sent
//	t.Update(quarantiner.CrashMsg{Report: report})   // its endpoint crashed as it began
//	t.Update(quarantiner.SurvivedMsg{Keys: keys})    // it ran on after it had begun
//	if t.Held(key) { ... }                           // refuse it
//
// Requests that merely run beside the cause are told apart in three ways. Only what
// has just begun, or was about to, is reported. Crashes at about the same time, such as
// the loss of a failure domain, count once: a further one counts only for content that
// was sent when a crash under it was already known. And content that runs on after a
// known crash under it is no longer suspected.
package quarantiner

import (
	"cmp"
	"maps"
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
	live     int                                   // live is the number of records with a crash.
	held     int
	revision int
	pruned   int // pruned is the highest revision of a tombstone that was dropped.
}

// New returns an empty table.
func New(opts ...Option) *Table {
	t := &Table{options: defaults(), records: map[string]messenger.QuarantineRecord{}}
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
func (t *Table) Held(key string) bool { return t.isHeld(t.records[key]) }

// HeldCount returns the number of keys that are held.
func (t *Table) HeldCount() int { return t.held }

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

func (t *Table) isHeld(r messenger.QuarantineRecord) bool { return r.Crashes >= t.options.holdAfter }

// Update applies a message and returns the keys whose hold began or ended.
func (t *Table) Update(msg Msg) []Effect {
	var effects []Effect
	next := t.revision + 1
	switch msg := msg.(type) {
	case CrashMsg:
		for _, trial := range msg.Report.Trials {
			effects = append(effects, t.addCrash(msg.Report.Boot, trial, next)...)
		}
	case SurvivedMsg:
		for _, key := range msg.Keys {
			effects = append(effects, t.set(messenger.QuarantineRecord{Key: key, Modified: next})...)
		}
	case LapsedMsg:
		for _, key := range msg.Keys {
			effects = append(effects, t.lapse(key, next)...)
		}
	case ApplyMsg:
		effects = t.apply(msg.Changes)
	}
	t.prune()
	return effects
}

// addCrash counts a crash under a key, unless it was counted before or the content
// was sent before the first crash under it was known.
func (t *Table) addCrash(boot string, trial messenger.CrashTrial, revision int) []Effect {
	r := t.records[trial.Key]
	if slices.Contains(r.Boots, boot) || (r.Crashes > 0 && trial.Known == 0) {
		return nil
	}
	r.Key, r.Modified = trial.Key, revision
	r.Crashes++
	r.Boots = append(slices.Clone(r.Boots), boot)
	r.Boots = r.Boots[max(0, len(r.Boots)-maxBoots):]
	return t.set(r)
}

// lapse ends the hold of a key, so that the next crash under it starts a longer one,
// or forgets a key that is not held.
func (t *Table) lapse(key string, revision int) []Effect {
	r := t.records[key]
	if !t.isHeld(r) {
		return t.set(messenger.QuarantineRecord{Key: key, Modified: revision})
	}
	r.Crashes, r.Boots, r.Modified = t.options.holdAfter-1, nil, revision
	r.Holds++
	return t.set(r)
}

// set stores a record, or a tombstone in place of one.
func (t *Table) set(r messenger.QuarantineRecord) []Effect {
	old := t.records[r.Key]
	if r.Crashes == 0 && old.Crashes == 0 {
		return nil
	}
	t.records[r.Key] = r
	t.revision = max(t.revision, r.Modified)
	t.live += isLive(r) - isLive(old)
	switch {
	case t.isHeld(r) && !t.isHeld(old):
		t.held++
		return []Effect{HeldEffect{Record: r}}
	case t.isHeld(old) && !t.isHeld(r):
		t.held--
		return []Effect{ReleasedEffect{Record: old}}
	}
	return nil
}

func isLive(r messenger.QuarantineRecord) int { return min(r.Crashes, 1) }

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
		t.drop(r)
	}
}

// drop removes a record without a trace; those who have an older revision are sent
// the whole table.
func (t *Table) drop(r messenger.QuarantineRecord) {
	delete(t.records, r.Key)
	t.pruned = max(t.pruned, t.revision)
	t.live -= isLive(r)
	if t.isHeld(r) {
		t.held--
	}
}

func (t *Table) compareForPruning(a, b messenger.QuarantineRecord) int {
	if t.isHeld(a) != t.isHeld(b) {
		if t.isHeld(b) {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Modified, b.Modified), cmp.Compare(a.Key, b.Key))
}
