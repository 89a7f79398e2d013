package director

import (
	"time"

	"papayaseam/internal/messenger"
)

const (
	// sightingTTL is how long the sightings of an entry are used.
	sightingTTL = 900 * time.Millisecond
	// movingThreshold is a pause between events that no healthy stream exceeds.
	movingThreshold = 400 * time.Millisecond
	// stallThreshold is longer than the pauses between events in a fully loaded
	// group.
	stallThreshold = 220 * time.Millisecond
	// minStalledStreams is the number of open streams that must be quiet together
	// for their head to count as stalled.
	minStalledStreams = 2
)

// streamProgress returns the heads of which some stream delivered an event lately,
// and the heads with several open streams that are all quiet. The caller holds mu.
func (d *Director) streamProgress() (moving, stalled map[string]bool) {
	moving, stalled = map[string]bool{}, map[string]bool{}
	openStreams, quietMs := map[string]int{}, map[string]int{}
	d.visitSightings(func(_ time.Duration, s messenger.Sighting) {
		if shortest, ok := quietMs[s.Instance]; !ok || s.QuietMs < shortest {
			quietMs[s.Instance] = s.QuietMs
		}
		openStreams[s.Instance] += s.Open
	})
	for head, ms := range quietMs {
		moving[head] = ms < int(movingThreshold/time.Millisecond)
		stalled[head] = openStreams[head] >= minStalledStreams && ms > int(stallThreshold/time.Millisecond)
	}
	return moving, stalled
}

// lastEvents returns, for each head with open streams, when any of these is known to
// have delivered its last event. The caller holds mu.
func (d *Director) lastEvents() map[string]time.Duration {
	last := map[string]time.Duration{}
	d.visitSightings(func(receivedAt time.Duration, s messenger.Sighting) {
		last[s.Instance] = max(last[s.Instance], receivedAt-time.Duration(s.QuietMs+s.AgeMs)*time.Millisecond)
	})
	return last
}

// visitSightings calls visit with each recent sighting and the time at which it was
// received. The caller holds mu.
func (d *Director) visitSightings(visit func(receivedAt time.Duration, s messenger.Sighting)) {
	for _, state := range d.fleet.entries {
		if now()-state.receivedAt <= sightingTTL {
			for _, s := range state.sightings {
				visit(state.receivedAt, s)
			}
		}
	}
	for _, relay := range d.fleet.relays {
		if now()-relay.receivedAt <= sightingTTL {
			for _, s := range relay.sightings {
				visit(relay.receivedAt, s)
			}
		}
	}
}
