package quarantiner

import (
	"maps"
	"slices"

	"papayaseam/internal/messenger"
)

// Snapshot returns the whole table.
func (t *Table) Snapshot() messenger.QuarantineChanges {
	return messenger.QuarantineChanges{Revision: t.revision, Whole: true, Records: t.Records(), Running: t.runningSince(0)}
}

// ChangesSince returns what changed after a revision, or the whole table if that is
// no longer known. It returns nil if there is nothing new.
func (t *Table) ChangesSince(revision int) *messenger.QuarantineChanges {
	if revision >= t.revision {
		return nil
	}
	if revision < t.pruned || revision == 0 {
		changes := t.Snapshot()
		return &changes
	}
	changes := &messenger.QuarantineChanges{Revision: t.revision, Running: t.runningSince(revision)}
	for _, key := range slices.Sorted(maps.Keys(t.records)) {
		if r := t.records[key]; r.Modified > revision {
			changes.Records = append(changes.Records, r)
		}
	}
	return changes
}

// apply makes the changes that another process sent. Older ones are ignored.
func (t *Table) apply(changes messenger.QuarantineChanges) {
	if changes.Revision <= t.revision {
		return
	}
	if changes.Whole {
		t.removeMissing(changes)
	}
	for _, r := range changes.Records {
		t.set(r)
	}
	for _, running := range changes.Running {
		t.addRunning(running)
	}
	t.revision = changes.Revision
}

// removeMissing replaces the records that a whole table lacks by tombstones.
func (t *Table) removeMissing(changes messenger.QuarantineChanges) {
	present := map[string]bool{}
	for _, r := range changes.Records {
		present[r.Key] = true
	}
	for _, r := range t.Records() {
		if !present[r.Key] {
			t.set(messenger.QuarantineRecord{Key: r.Key, Modified: changes.Revision})
		}
	}
}
