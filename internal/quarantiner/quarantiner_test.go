package quarantiner_test

import (
	"fmt"
	"testing"
	"time"

	"papayaseam/internal/messenger"
	"papayaseam/internal/quarantiner"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// crash reports that a boot crashed as content with the given keys began on it, all
// sent when this number of crashes was known.
func crash(boot string, known int, keys ...string) quarantiner.ReportMsg {
	c := messenger.CrashReport{Boot: boot}
	for _, key := range keys {
		c.Trials = append(c.Trials, messenger.CrashTrial{Key: key, Known: known})
	}
	return report(messenger.QuarantineCommand{Crashes: []messenger.CrashReport{c}})
}

func report(command messenger.QuarantineCommand) quarantiner.ReportMsg {
	return quarantiner.ReportMsg{Command: command}
}

// TestContentIsHeldAfterThreeCrashes guards against content that crashes endpoint
// after endpoint because nobody counts.
func TestContentIsHeldAfterThreeCrashes(t *testing.T) {
	table := quarantiner.New()
	for i, want := range []bool{false, false, true, true} {
		table.Update(crash(fmt.Sprint("boot", i), i, "deadly"))
		assert.Equal(t, table.Held("deadly"), want, "after %d crashes", i+1)
	}
	assert.Equal(t, table.HeldCount(), 1)
	assert.Assert(t, !table.Held("sound"))
}

// TestBootCountsOnceHoweverManyReportIt guards against a crash that several entries
// report, each with its own requests.
func TestBootCountsOnceHoweverManyReportIt(t *testing.T) {
	table := quarantiner.New()
	for range 5 {
		table.Update(crash("boot", 1, "deadly"))
	}
	assert.Equal(t, table.Crashes("deadly"), 1)
}

// TestLossOfManyEndpointsHoldsNothing guards against holding content that was running
// on several endpoints of a failure domain as it was lost.
func TestLossOfManyEndpointsHoldsNothing(t *testing.T) {
	table := quarantiner.New()
	for i := range 10 {
		table.Update(crash(fmt.Sprint("boot", i), 0, "popular"))
	}
	assert.Equal(t, table.Crashes("popular"), 1)
}

// TestContentThatRunsOnIsNotSuspected guards against holding popular content that is
// running beside the cause of every crash.
func TestContentThatRunsOnIsNotSuspected(t *testing.T) {
	table := quarantiner.New()
	for i := range 10 {
		table.Update(crash(fmt.Sprint("boot", i), i, "popular", "deadly"))
		table.Update(report(messenger.QuarantineCommand{Survived: []string{"popular"}}))
	}
	assert.Assert(t, table.Held("deadly"))
	assert.Equal(t, table.Crashes("popular"), 0)
	table.Update(report(messenger.QuarantineCommand{Survived: []string{"deadly"}}))
	assert.Assert(t, !table.Held("deadly"), "content in flight as its hold began, and that ran on, is sound")
}

// TestNextCrashAfterAHoldStartsALongerOne guards against content that is tried three
// times again after each hold.
func TestNextCrashAfterAHoldStartsALongerOne(t *testing.T) {
	table, timer := quarantiner.New(), quarantiner.NewTimer()
	for i := range 3 {
		table.Update(crash(fmt.Sprint("boot", i), i, "deadly"))
	}
	now := time.Duration(0)
	for hold := quarantiner.FirstHold; hold < 10*quarantiner.FirstHold; hold *= 2 {
		assert.Assert(t, table.Held("deadly"))
		assert.Equal(t, len(timer.Lapsed(now, table.Records())), 0)
		assert.Equal(t, len(timer.Lapsed(now+hold-1, table.Records())), 0)
		now += hold
		lapsed := timer.Lapsed(now, table.Records())
		assert.Equal(t, len(lapsed), 1)
		table.Update(report(messenger.QuarantineCommand{Lapsed: lapsed}))
		assert.Assert(t, !table.Held("deadly"))
		table.Update(crash(fmt.Sprint("boot", now), 1, "deadly"))
	}
}

// TestSuspicionIsForgotten guards against records that stay for good after a crash
// with many sound requests.
func TestSuspicionIsForgotten(t *testing.T) {
	table, timer := quarantiner.New(), quarantiner.NewTimer()
	table.Update(crash("boot", 0, "a", "b"))
	assert.Equal(t, len(timer.Lapsed(0, table.Records())), 0)
	table.Update(report(messenger.QuarantineCommand{Lapsed: timer.Lapsed(quarantiner.FirstHold, table.Records())}))
	assert.Assert(t, table.Empty())
	assert.Equal(t, len(table.Records()), 0)
}

// TestTableIsBounded guards against a table that grows with every crash, and against
// dropping what is held for what is only suspected.
func TestTableIsBounded(t *testing.T) {
	table := quarantiner.New(quarantiner.WithMaxRecords(10))
	for i := range 3 {
		table.Update(crash(fmt.Sprint("boot", i), i, "deadly"))
	}
	for i := range 100 {
		table.Update(crash(fmt.Sprint("later", i), 0, fmt.Sprint("sound", i)))
	}
	assert.Equal(t, len(table.Records()), 10)
	assert.Assert(t, table.Held("deadly"))
	copied := quarantiner.New()
	copied.Update(quarantiner.ApplyMsg{Changes: *table.ChangesSince(3)})
	assert.DeepEqual(t, copied.Records(), table.Records())
}

// TestCopiesFollowTheTable applies random messages to a table and its changes to
// copies that ask now and then, also through a snapshot, and compares what they hold.
func TestCopiesFollowTheTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := quarantiner.New(quarantiner.WithMaxRecords(4))
		copied := quarantiner.New()
		key := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g"})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1, 2:
				table.Update(crash(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "boot")), rapid.IntRange(0, 1).Draw(t, "known"), key.Draw(t, "key")))
			case 3:
				table.Update(report(messenger.QuarantineCommand{Survived: []string{key.Draw(t, "key")}}))
			case 4:
				table.Update(report(messenger.QuarantineCommand{Lapsed: []string{key.Draw(t, "key")}}))
			case 5:
				table.Update(runs(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "boot"))))
			case 6:
				if changes := table.ChangesSince(copied.Revision()); changes != nil {
					copied.Update(quarantiner.ApplyMsg{Changes: *changes})
				}
				if fmt.Sprint(copied.Records()) != fmt.Sprint(table.Records()) || copied.HeldCount() != table.HeldCount() {
					t.Fatalf("copy has %v, table has %v", copied.Records(), table.Records())
				}
			}
			restored := quarantiner.New()
			restored.Update(quarantiner.ApplyMsg{Changes: table.Snapshot()})
			if fmt.Sprint(restored.Records()) != fmt.Sprint(table.Records()) {
				t.Fatalf("restored %v, want %v", restored.Records(), table.Records())
			}
		}
	})
}

// Guards against a body that has another fingerprint if it is read in other pieces, or than it
// had before it was read in pieces.
func TestBodyFingerprintDoesNotDependOnPieces(t *testing.T) {
	want := quarantiner.Fingerprint("press", "/verse/1", "parchment")
	assert.Equal(t, quarantiner.BodyFingerprint([][]byte{[]byte("parchment")}, "press", "/verse/1"), want)
	assert.Equal(t, quarantiner.BodyFingerprint([][]byte{[]byte("parch"), nil, []byte("ment")}, "press", "/verse/1"), want)
	assert.Equal(t, quarantiner.BodyFingerprint(nil, "press"), quarantiner.Fingerprint("press", ""))
}
