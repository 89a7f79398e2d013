package quarantiner_test

import (
	"fmt"
	"testing"

	"papayaseam/internal/messenger"
	"papayaseam/internal/quarantiner"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// keptBoots is the number of boots that a record keeps.
const keptBoots = 8

func runs(boots ...string) quarantiner.ReportMsg {
	return report(messenger.QuarantineCommand{Running: boots})
}

// TestHoldEndsWithTheProofThatABootRunsOn guards against sound content that stays held
// for crashes that were cuts.
func TestHoldEndsWithTheProofThatABootRunsOn(t *testing.T) {
	for withdrawn := range 3 {
		table := quarantiner.New()
		for i := range 3 {
			table.Update(crashUnder(fmt.Sprint("boot", i), prompt(i, fmt.Sprint("r", i), "popular")))
		}
		assert.Assert(t, table.Held("popular"))
		effects := table.Update(runs(fmt.Sprint("boot", withdrawn)))
		assert.Equal(t, len(effects), 1)
		assert.Assert(t, !table.Held("popular"))
		assert.Equal(t, table.Crashes("popular"), 2)
		table.Update(crashUnder(fmt.Sprint("boot", withdrawn), prompt(2, "r4", "popular")))
		assert.Assert(t, table.Held("popular"), "a crash of the same boot afterwards does not count")
	}
}

// TestBootsLostTogetherCountUntilTheLastRunsOn guards against a loss of several boots
// that counts for nothing, or for ever, once the one that counted runs on.
func TestBootsLostTogetherCountUntilTheLastRunsOn(t *testing.T) {
	table := quarantiner.New()
	for i := range 12 {
		table.Update(crash(fmt.Sprint("boot", i), 0, "popular"))
	}
	for i := range 11 {
		table.Update(runs(fmt.Sprint("boot", i)))
		assert.Equal(t, table.Crashes("popular"), 1, "after boot %d", i)
	}
	table.Update(runs("boot11"))
	assert.Assert(t, table.Empty())
}

// TestLapsedHoldOutlivesTheProofForLaterBoots guards against forgetting that content was
// held before, when one later crash under it turns out to be a cut.
func TestLapsedHoldOutlivesTheProofForLaterBoots(t *testing.T) {
	table := quarantiner.New()
	for i := range 3 {
		table.Update(crash(fmt.Sprint("boot", i), i, "deadly"))
	}
	table.Update(report(messenger.QuarantineCommand{Lapsed: []string{"deadly"}}))
	table.Update(crash("boot3", 2, "deadly"))
	assert.Assert(t, table.Held("deadly"))
	table.Update(runs("boot3"))
	assert.Assert(t, !table.Held("deadly"))
	table.Update(crash("boot4", 2, "deadly"))
	assert.Assert(t, table.Held("deadly"))
}

// TestWithdrawalsReachCopies guards against copies that keep counts of their own which
// the table has withdrawn, and against a list of them that grows without end.
func TestWithdrawalsReachCopies(t *testing.T) {
	table := quarantiner.New()
	table.Update(runs("boot0", "boot1"))
	revision := table.Revision()
	table.Update(runs("boot1"))
	assert.DeepEqual(t, table.ChangesSince(revision).Running, []messenger.RunningBoot{{Boot: "boot1", Modified: revision + 1}})
	restored := quarantiner.New()
	restored.Update(quarantiner.ApplyMsg{Changes: table.Snapshot()})
	assert.DeepEqual(t, restored.Snapshot(), table.Snapshot())
	for i := range 1000 {
		table.Update(runs(fmt.Sprint("boot", i)))
	}
	assert.Equal(t, len(table.Snapshot().Running), 64)
}

// TestWithdrawnCrashesLeaveNothing reports random crashes, some at the same time, and
// withdraws all of them in any order. No content may stay suspected, and of the boots that
// a record keeps, none may count after its withdrawal.
func TestWithdrawnCrashesLeaveNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := quarantiner.New()
		key := rapid.SampledFrom([]string{"a", "b", "c"})
		n := rapid.IntRange(1, 20).Draw(t, "crashes")
		var boots []string
		for i := range n {
			boot := fmt.Sprint("boot", i)
			boots = append(boots, boot)
			table.Update(crash(boot, rapid.IntRange(0, 2).Draw(t, "known"), key.Draw(t, "key"), key.Draw(t, "key")))
		}
		for i, boot := range rapid.Permutation(boots).Draw(t, "order") {
			table.Update(runs(boot))
			for _, r := range table.Records() {
				if n <= keptBoots && r.Crashes > n-i-1 {
					t.Fatalf("%d crashes of %d boots: %v", r.Crashes, n-i-1, r)
				}
			}
		}
		if !table.Empty() || table.HeldCount() > 0 {
			t.Fatalf("left: %v", table.Records())
		}
	})
}

// TestBootNameIsParsed guards against questions to another boot than the reported one.
func TestBootNameIsParsed(t *testing.T) {
	instance, born, ok := quarantiner.ParseBootName(quarantiner.BootName("i-1/x", 1792178441392))
	assert.Assert(t, ok)
	assert.Equal(t, instance, "i-1/x")
	assert.Equal(t, born, 1792178441392)
	for _, name := range []string{"", "i-1", "i-1/", "i-1/x"} {
		_, _, ok = quarantiner.ParseBootName(name)
		assert.Assert(t, !ok, name)
	}
}
