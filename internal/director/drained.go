package director

import (
	"time"

	"papayaseam/internal/tracker"
)

const (
	// drainedAfter is how long after the start of an evacuation its failure domain counts as
	// drained, and its endpoints as cold. It is the longest phase-out of an entry at the
	// default of evacuate-ms (0.6 of 5 s): the limit on cold endpoints would cut a
	// phase-out short.
	drainedAfter = 3 * time.Second
	// revocationMemory is how long a new leader acts on a revocation that it did not see
	// as the leader: longer than endpoints take to announce themselves.
	revocationMemory = 5 * time.Second
)

// updateDrainedDomains marks the endpoints of evacuated failure domains as cold, and those of
// failure domains whose evacuation was revoked until they announce that they are warm: they
// may have become cold while nothing was sent to them. The caller holds mu.
func (d *Director) updateDrainedDomains() {
	drained := map[string]bool{}
	for domain, change := range d.evacuationChanges {
		if change.active && now()-change.at >= drainedAfter {
			drained[domain] = true
		}
	}
	for domain := range d.fleet.cold.drained {
		if !drained[domain] {
			d.markMaybeCold(domain)
		}
	}
	for domain, change := range d.evacuationChanges {
		at, ended := d.evacuationEndedAt(domain)
		if ended && now()-at < revocationMemory && d.fleet.cold.revoked[domain] < change.revision {
			d.markMaybeCold(domain)
		}
	}
	d.fleet.cold.drained = drained
}

// markMaybeCold marks the endpoints of a failure domain as cold until they announce that they
// are warm. The caller holds mu.
func (d *Director) markMaybeCold(domain string) {
	d.fleet.cold.revoked[domain] = d.evacuationChanges[domain].revision
	d.tracker().Update(tracker.MaybeColdMsg{Now: now(), FailureDomain: domain, Default: func(service string) time.Duration {
		_, coldTime := d.coldLimits(service)
		return coldTime
	}})
	d.log.Info("endpoints count as cold until they announce that they are warm", "domain", domain)
}

// evacuationEndedAt returns when this process learned that the last evacuation of a
// failure domain was revoked, by its own clock. A process that reads the revocation from
// its snapshot or log learns of it then, which is later than it was committed. It returns
// false while the failure domain is evacuated, and if it never was. The caller holds mu.
func (d *Director) evacuationEndedAt(domain string) (time.Duration, bool) {
	change, ok := d.evacuationChanges[domain]
	return change.at, ok && !change.active
}
