package director

import (
	"testing"
	"time"

	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
)

// TestLastEventsCountTheAgeOfSightings guards against events that seem later than they
// were, since a relay kept what its entries saw for a while.
func TestLastEventsCountTheAgeOfSightings(t *testing.T) {
	d, err := New(Config{Name: "c", Address: "127.0.0.1:1"}, unresponsiveEndpoints{}, discardLogger())
	assert.NilError(t, err)
	d.mu.Lock()
	defer d.mu.Unlock()
	received := now()
	d.fleet.entries["entry-1"] = entryState{receivedAt: received, sightings: []messenger.Sighting{{Instance: "e1", Open: 1, QuietMs: 300}}}
	d.fleet.relays["r"] = relayState{receivedAt: received, sightings: []messenger.Sighting{
		{Instance: "e1", Open: 2, QuietMs: 20, AgeMs: 200}, {Instance: "e2", Open: 1, QuietMs: 10, AgeMs: 30},
	}}
	assert.DeepEqual(t, d.lastEvents(), map[string]time.Duration{"e1": received - 220*time.Millisecond, "e2": received - 40*time.Millisecond})
}

// TestMergedSightingsKeepTheLastEvent guards against the loss of the later of two events,
// where the entry that saw it told of it earlier.
func TestMergedSightingsKeepTheLastEvent(t *testing.T) {
	merged := mergeSightings(
		messenger.Sighting{Instance: "e1", Open: 1, QuietMs: 5, AgeMs: 150},
		messenger.Sighting{Instance: "e1", Open: 2, QuietMs: 60, AgeMs: 10},
	)
	assert.Equal(t, merged.Open, 3)
	assert.Equal(t, merged.QuietMs, 5)
	assert.Equal(t, merged.QuietMs+merged.AgeMs, 70)
}
