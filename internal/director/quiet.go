package director

import (
	"time"

	"papayaseam/internal/tracker"
)

const (
	// quietAfter is how long after the begin of an evacuation its endpoints count as cold.
	// Entries phase their requests out until then; the limit on cold endpoints would cut
	// the phase-out short.
	quietAfter = 3 * time.Second
	// revocationMemory is how long a new leader acts on a revocation that it did not see
	// as the leader: longer than endpoints take to announce themselves.
	revocationMemory = 5 * time.Second
)

// updateQuietDomains marks the endpoints of evacuated failure domains as cold, and those of
// failure domains whose evacuation was revoked until they announce that they are warm: they
// may have become cold while nothing was sent to them. The caller holds mu.
func (d *Director) updateQuietDomains() {
	quiet := map[string]bool{}
	for domain, change := range d.evacuationChanges {
		if change.active && now()-change.at >= quietAfter {
			quiet[domain] = true
		}
	}
	for domain := range d.fleet.cold.quiet {
		if !quiet[domain] {
			d.revokeQuiet(domain)
		}
	}
	for domain, change := range d.evacuationChanges {
		at, ended := d.evacuationEndedAt(domain)
		if ended && now()-at < revocationMemory && d.fleet.cold.revoked[domain] < change.revision {
			d.revokeQuiet(domain)
		}
	}
	d.fleet.cold.quiet = quiet
}

// revokeQuiet marks the endpoints of a failure domain as cold until they announce that they
// are warm. The caller holds mu.
func (d *Director) revokeQuiet(domain string) {
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
