package cataloguer

import (
	"fmt"
	"strings"
	"testing"

	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// documentCommand returns the command that stores a configuration document.
func documentCommand(version int, document string) CommandMsg {
	return CommandMsg{Command: messenger.FleetCommand{Version: version, Document: document}}
}

// TestOlderOrEqualVersionDoesNotReplaceDocument guards against a late command that
// puts back an older configuration, or changes the content of the current version.
func TestOlderOrEqualVersionDoesNotReplaceDocument(t *testing.T) {
	c := New()
	assert.Assert(t, c.Update(documentCommand(7, "seven")))
	assert.Assert(t, !c.Update(documentCommand(3, "three")))
	assert.Assert(t, !c.Update(documentCommand(7, "other seven")))
	version, document := c.Document()
	assert.Equal(t, version, 7)
	assert.Equal(t, document, "seven")
}

// TestDeparturesAndEndpointsAreBounded guards against state and snapshots that
// grow with every endpoint that was ever started.
func TestDeparturesAndEndpointsAreBounded(t *testing.T) {
	c := New()
	for i := range MaxDepartures + 10 {
		c.Update(CommandMsg{Command: messenger.FleetCommand{Departure: &messenger.Departure{Instance: fmt.Sprint(i), Born: i}}})
		c.Update(CommandMsg{Command: messenger.FleetCommand{Endpoint: &messenger.EndpointView{Instance: fmt.Sprint(i), Address: fmt.Sprint(i), Born: i + 1}}})
	}
	assert.Equal(t, len(c.state.Departures), MaxDepartures)
	assert.Equal(t, len(c.state.Endpoints), MaxEndpoints)
	assert.Assert(t, c.Departed(fmt.Sprint(MaxDepartures+9), MaxDepartures+9))
	assert.Assert(t, !c.Departed("0", 0))
}

// TestDepartedEndpointsAreNotListed guards against a new leader that queries
// endpoints which announced their departure.
func TestDepartedEndpointsAreNotListed(t *testing.T) {
	c := New()
	c.Update(CommandMsg{Command: messenger.FleetCommand{Endpoint: &messenger.EndpointView{Instance: "a", Address: "x", Born: 1}}})
	c.Update(CommandMsg{Command: messenger.FleetCommand{Endpoint: &messenger.EndpointView{Instance: "b", Address: "y", Born: 1}}})
	c.Update(CommandMsg{Command: messenger.FleetCommand{Departure: &messenger.Departure{Instance: "a", Born: 1}}})
	assert.Equal(t, len(c.Endpoints()), 1)
	assert.Equal(t, c.Endpoints()[0].Instance, "b")
}

// TestSnapshotKeepsTheQuarantine guards against a replica that starts from a snapshot
// and sends content to endpoints that crashed under it.
func TestSnapshotKeepsTheQuarantine(t *testing.T) {
	c := New()
	for i := range 3 {
		report := messenger.CrashReport{Boot: fmt.Sprint("boot", i), Trials: []messenger.CrashTrial{{Key: "deadly", Known: i}}}
		c.Update(CommandMsg{Command: messenger.FleetCommand{Quarantine: &messenger.QuarantineCommand{Crashes: []messenger.CrashReport{report}}}})
	}
	data, err := c.Snapshot()
	assert.NilError(t, err)
	restored := New()
	assert.NilError(t, restored.Restore(data))
	assert.Assert(t, restored.Quarantine().Held("deadly"))
	assert.DeepEqual(t, restored.Quarantine().Records(), c.Quarantine().Records())
}

// TestSnapshotKeepsTheEvacuations guards against a replica that starts from a snapshot,
// or is restored to one, and sends requests to an evacuated failure domain.
func TestSnapshotKeepsTheEvacuations(t *testing.T) {
	c := New()
	before, err := c.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(before), "evacuations"), "a snapshot without evacuations has another size")
	command := messenger.FleetCommand{Evacuation: &messenger.Evacuation{FailureDomain: "d0", Active: true}}
	assert.Assert(t, c.Update(CommandMsg{Command: command}))
	assert.Assert(t, !c.Update(CommandMsg{Command: command}))
	data, err := c.Snapshot()
	assert.NilError(t, err)
	restored := New()
	assert.NilError(t, restored.Restore(data))
	assert.DeepEqual(t, restored.Evacuations().Snapshot(), c.Evacuations().Snapshot())
	assert.Assert(t, restored.Evacuations().Evacuated("d0"))
	assert.NilError(t, restored.Restore(before))
	assert.Equal(t, restored.Evacuations().Revision(), 0)
}

// TestSnapshotKeepsWhatInvalidatesLateOrders guards against a replica that starts from a
// snapshot and carries out an order that the others reject: also where the orders so far
// changed no failure domain.
func TestSnapshotKeepsWhatInvalidatesLateOrders(t *testing.T) {
	c, restored := New(), New()
	order := func(active bool) messenger.FleetCommand {
		return messenger.FleetCommand{Evacuation: &messenger.Evacuation{FailureDomain: "d0", Active: active, After: 4}}
	}
	assert.Assert(t, c.Update(CommandMsg{Command: order(false), Index: 5}))
	data, err := c.Snapshot()
	assert.NilError(t, err)
	assert.NilError(t, restored.Restore(data))
	for _, replica := range []*Cataloguer{c, restored} {
		assert.Assert(t, !replica.Update(CommandMsg{Command: order(true), Index: 6}))
		assert.Assert(t, !replica.Evacuations().Evacuated("d0"))
	}
}

// TestSnapshotRestoreMatchesReplayedLog checks for random sequences of commands
// that the version never decreases, and that a state restored from a snapshot at
// any point stays equal to the original as both apply the same commands.
func TestSnapshotRestoreMatchesReplayedLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, restored := New(), New()
		highest := 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			version := rapid.IntRange(1, 20).Draw(t, "version")
			msg := documentCommand(version, fmt.Sprint("d", version))
			changed := c.Update(msg)
			if changed != (version > highest) {
				t.Fatalf("Update with version %d while the highest is %d reported changed = %v", version, highest, changed)
			}
			highest = max(highest, version)
			restored.Update(msg)
			if rapid.Bool().Draw(t, "snapshot") {
				data, err := c.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				restored = New()
				if err := restored.Restore(data); err != nil {
					t.Fatal(err)
				}
			}
			original, copied := c.state, restored.state
			if original.Version != copied.Version || original.Document != copied.Document || original.Version != highest {
				t.Fatalf("original state %v, restored state %v, highest version %d", original, copied, highest)
			}
		}
	})
}
