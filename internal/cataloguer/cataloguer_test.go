package cataloguer

import (
	"fmt"
	"testing"

	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func put(version int, document string) CommandMsg {
	return CommandMsg{Command: messenger.FleetCommand{Version: version, Document: document}}
}

func TestHighestVersionWinsAndKeepsItsContent(t *testing.T) {
	c := New()
	assert.Assert(t, c.Update(put(7, "seven")))
	assert.Assert(t, !c.Update(put(3, "three")))
	assert.Assert(t, !c.Update(put(7, "other seven")))
	version, document := c.Document()
	assert.Equal(t, version, 7)
	assert.Equal(t, document, "seven")
}

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

func TestEndpointsThatLeftAreNotRemembered(t *testing.T) {
	c := New()
	c.Update(CommandMsg{Command: messenger.FleetCommand{Endpoint: &messenger.EndpointView{Instance: "a", Address: "x", Born: 1}}})
	c.Update(CommandMsg{Command: messenger.FleetCommand{Endpoint: &messenger.EndpointView{Instance: "b", Address: "y", Born: 1}}})
	c.Update(CommandMsg{Command: messenger.FleetCommand{Departure: &messenger.Departure{Instance: "a", Born: 1}}})
	assert.Equal(t, len(c.Endpoints()), 1)
	assert.Equal(t, c.Endpoints()[0].Instance, "b")
}

// TestSnapshotHistories checks that the version never goes back and that a
// snapshot taken at any moment continues the same history.
func TestSnapshotHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, copied := New(), New()
		highest := 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			version := rapid.IntRange(1, 20).Draw(t, "version")
			msg := put(version, fmt.Sprint("d", version))
			changed := c.Update(msg)
			if changed != (version > highest) {
				t.Fatalf("version %d over %d: changed %v", version, highest, changed)
			}
			highest = max(highest, version)
			copied.Update(msg)
			if rapid.Bool().Draw(t, "snapshot") {
				data, err := c.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				copied = New()
				if err := copied.Restore(data); err != nil {
					t.Fatal(err)
				}
			}
			a, b := c.state, copied.state
			if a.Version != b.Version || a.Document != b.Document || a.Version != highest {
				t.Fatalf("%v and %v, highest %d", a, b, highest)
			}
		}
	})
}
