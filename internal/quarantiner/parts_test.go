package quarantiner_test

import (
	"fmt"
	"slices"
	"testing"

	"papayaseam/internal/messenger"
	"papayaseam/internal/quarantiner"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// prompt returns the content of a request with the given parts, all sent when this
// number of crashes was known.
func prompt(known int, request string, parts ...string) []messenger.CrashTrial {
	trials := []messenger.CrashTrial{{Key: request, Known: known}}
	for i, part := range parts {
		trials = append(trials, messenger.CrashTrial{Key: part, Known: known, Part: i + 1})
	}
	return trials
}

// crashUnder reports a crash with the requests that were beginning.
func crashUnder(boot string, requests ...[]messenger.CrashTrial) quarantiner.ReportMsg {
	return report(messenger.QuarantineCommand{Crashes: []messenger.CrashReport{{Boot: boot, Trials: slices.Concat(requests...)}}})
}

// TestPartIsHeldAndNotWhatItAlwaysComesWith guards against holding the beginning that
// a part which crashes endpoints always comes with, and that sound requests share.
func TestPartIsHeldAndNotWhatItAlwaysComesWith(t *testing.T) {
	table := quarantiner.New()
	for i := range 6 {
		table.Update(crashUnder(fmt.Sprint("boot", i), prompt(i, fmt.Sprint("sound", i), "beginning"), prompt(i, fmt.Sprint("r", i), "beginning", "deadly")))
		assert.Equal(t, table.Held("deadly"), i >= 2)
		assert.Assert(t, !table.Held("beginning"))
	}
	assert.Equal(t, table.HeldCount(), 1)
}

// TestPartIsFoundWhicheverEntryReportsFirst guards against an order of reports in which
// requests that share only the beginning come first.
func TestPartIsFoundWhicheverEntryReportsFirst(t *testing.T) {
	table := quarantiner.New()
	for i := range 4 {
		boot := fmt.Sprint("boot", i)
		table.Update(crashUnder(boot, prompt(i, fmt.Sprint("sound", i), "beginning")))
		table.Update(crashUnder(boot, prompt(i, fmt.Sprint("r", i), "beginning", "deadly")))
	}
	assert.Assert(t, table.Held("deadly"))
	assert.Assert(t, !table.Held("beginning"))
}

// TestRequestThatCrashesEndpointsHoldsNoPart guards against holding what all requests
// of an organisation share for one request that comes again.
func TestRequestThatCrashesEndpointsHoldsNoPart(t *testing.T) {
	table := quarantiner.New()
	for i := range 5 {
		table.Update(crashUnder(fmt.Sprint("boot", i), prompt(i, "deadly", "beginning", "middle")))
	}
	assert.Assert(t, table.Held("deadly"))
	assert.Equal(t, table.HeldCount(), 1)
}

// TestPartIsFoundBehindRequestsThatCameAgain guards against a part that stays
// unsuspected because each request with it is held before.
func TestPartIsFoundBehindRequestsThatCameAgain(t *testing.T) {
	table := quarantiner.New()
	for i := range 3 {
		table.Update(crashUnder(fmt.Sprint("boot", i), prompt(i, "first", "beginning", "deadly")))
	}
	assert.Assert(t, !table.Held("deadly"))
	table.Update(crashUnder("boot3", prompt(3, "second", "beginning", "deadly")))
	assert.Assert(t, table.Held("deadly"))
	assert.Assert(t, !table.Held("beginning"))
}

// TestBeginningThatCrashesEndpointsIsHeld guards against a cause that is the most
// widely shared part, under prompts that go on differently.
func TestBeginningThatCrashesEndpointsIsHeld(t *testing.T) {
	table := quarantiner.New()
	for i := range 3 {
		table.Update(crashUnder(fmt.Sprint("boot", i), prompt(i, fmt.Sprint("r", i), "deadly", fmt.Sprint("middle", i))))
	}
	assert.Assert(t, table.Held("deadly"))
	assert.Equal(t, table.HeldCount(), 1)
}

// TestSoundRequestBesideHeldPartIsNotCounted guards against holding requests that wait
// where requests with a held part, sent before it was held, begin.
func TestSoundRequestBesideHeldPartIsNotCounted(t *testing.T) {
	table := quarantiner.New()
	for i := range 6 {
		deadly := prompt(i, fmt.Sprint("r", i), "beginning", "deadly")
		if i == 2 {
			table.Update(crashUnder("boot2", deadly))
			assert.Assert(t, table.Held("deadly"))
			continue
		}
		table.Update(crashUnder(fmt.Sprint("boot", i), deadly, prompt(i, "unlucky")))
	}
	assert.Equal(t, table.Crashes("unlucky"), 2)
}

// TestLapseOfAPartLeavesItsBeginningFree guards against a beginning that is held once
// the hold that explained its crashes is over.
func TestLapseOfAPartLeavesItsBeginningFree(t *testing.T) {
	table := quarantiner.New()
	for i := range 3 {
		table.Update(crashUnder(fmt.Sprint("boot", i), prompt(i, fmt.Sprint("r", i), "beginning", "deadly")))
	}
	table.Update(report(messenger.QuarantineCommand{Lapsed: []string{"deadly"}}))
	assert.Equal(t, table.HeldCount(), 0)
	table.Update(crashUnder("boot3", prompt(2, "r3", "beginning", "deadly")))
	assert.Assert(t, table.Held("deadly"))
	assert.Assert(t, !table.Held("beginning"))
}

// traffic draws the requests that are beginning on an endpoint: sound ones of a few
// organisations, each with its beginning, and now and then one with the deadly part.
func traffic(t *rapid.T, known func(string) int, number *int, deadly bool) []messenger.CrashTrial {
	var trials []messenger.CrashTrial
	add := func(parts ...string) {
		*number++
		for _, trial := range prompt(0, fmt.Sprint("r", *number), parts...) {
			trial.Known = known(trial.Key)
			trials = append(trials, trial)
		}
	}
	for range rapid.IntRange(0, 6).Draw(t, "sound") {
		add(fmt.Sprint("beginning", rapid.IntRange(0, 2).Draw(t, "organisation")))
	}
	if deadly {
		add("beginning0", "deadly")
	}
	return trials
}

// TestPartHistories plays random traffic in which only requests with the deadly part
// crash endpoints, beside losses for other reasons. Sound requests that began after a
// crash run on and are reported, sometimes late. Whatever the order, the deadly part is
// held within five crashes under it, and no beginning is held while requests that have
// it are known to run on.
func TestPartHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := quarantiner.New()
		number, crashes := 0, 0
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			boot := fmt.Sprint("boot", step)
			switch {
			case rapid.IntRange(0, 3).Draw(t, "kind") == 0:
				table.Update(crashUnder(boot, traffic(t, table.Crashes, &number, false)))
			case !table.Held("deadly"):
				crashes++
				trials := traffic(t, table.Crashes, &number, true)
				cut := rapid.IntRange(0, len(trials)).Draw(t, "cut")
				table.Update(report(messenger.QuarantineCommand{Crashes: []messenger.CrashReport{{Boot: boot, Trials: trials[:cut]}, {Boot: boot, Trials: trials[cut:]}}}))
			}
			if crashes >= 5 && !table.Held("deadly") {
				t.Fatalf("not held after %d crashes: %v", crashes, table.Records())
			}
			for organisation := range 3 {
				beginning := fmt.Sprint("beginning", organisation)
				if table.Crashes(beginning) < 2 && rapid.Bool().Draw(t, "late") {
					continue
				}
				table.Update(report(messenger.QuarantineCommand{Survived: []string{beginning}}))
				if table.Held(beginning) {
					t.Fatalf("%s is held", beginning)
				}
			}
		}
	})
}
