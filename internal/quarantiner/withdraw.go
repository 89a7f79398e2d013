package quarantiner

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"papayaseam/internal/messenger"
)

// maxRunning bounds the withdrawals that are passed on to copies. A copy that misses
// some keeps its own counts until they lapse.
const maxRunning = 64

// BootName names one boot of an endpoint in reports.
func BootName(instance string, born int) string { return fmt.Sprint(instance, "/", born) }

// ParseBootName returns the endpoint and the start of the boot that a report names, or
// false if it names none.
func ParseBootName(boot string) (instance string, born int, ok bool) {
	i := strings.LastIndexByte(boot, '/')
	if i < 0 {
		return "", 0, false
	}
	born, err := strconv.Atoi(boot[i+1:])
	return boot[:i], born, err == nil
}

// Boots returns the boots of which crashes count, sorted.
func (t *Table) Boots() []string {
	var boots []string
	for _, r := range t.records {
		boots = append(boots, r.Boots...)
	}
	slices.Sort(boots)
	return slices.Compact(boots)
}

// withdraw removes the crashes of a boot that runs on.
func (t *Table) withdraw(boot string, revision int) {
	for _, r := range t.Records() {
		if slices.Contains(r.Boots, boot) {
			t.set(withoutCrash(r, boot, revision))
		}
	}
	t.addRunning(messenger.RunningBoot{Boot: boot, Modified: revision})
}

// withoutCrash returns a record without the crash of one boot, and without those whose
// boots are no longer kept. If it was the only one that counted, one that was lost at the
// same time counts instead.
func withoutCrash(r messenger.QuarantineRecord, boot string, revision int) messenger.QuarantineRecord {
	if !slices.Contains(r.Beside, boot) {
		r.Crashes--
	}
	removed := []string{boot}
	r.Boots, r.Beside, r.Modified = without(r.Boots, removed), without(r.Beside, removed), revision
	if r.Holds == 0 {
		r.Crashes = min(r.Crashes, len(r.Boots))
	}
	if r.Crashes <= 0 && len(r.Boots) > 0 {
		r.Crashes, r.Beside = 1, without(r.Beside, r.Boots[:1])
	}
	return r
}

// addRunning keeps a withdrawal for the copies of the table.
func (t *Table) addRunning(running messenger.RunningBoot) {
	t.running = slices.DeleteFunc(t.running, func(other messenger.RunningBoot) bool { return other.Boot == running.Boot })
	t.running = append(t.running, running)
	slices.SortStableFunc(t.running, func(a, b messenger.RunningBoot) int { return cmp.Compare(a.Modified, b.Modified) })
	t.running = t.running[max(0, len(t.running)-maxRunning):]
	t.revision = max(t.revision, running.Modified)
}

// runningSince returns the withdrawals after a revision.
func (t *Table) runningSince(revision int) []messenger.RunningBoot {
	var list []messenger.RunningBoot
	for _, running := range t.running {
		if running.Modified > revision {
			list = append(list, running)
		}
	}
	return list
}
