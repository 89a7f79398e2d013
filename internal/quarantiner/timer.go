package quarantiner

import (
	"time"

	"papayaseam/internal/messenger"
)

const (
	// FirstHold is how long content is held at first, and how long content that is
	// not held stays suspected without a further crash. Each further hold is twice
	// as long.
	FirstHold = time.Minute
	// maxHoldDoublings bounds a hold to about an hour.
	maxHoldDoublings = 6
)

// Timer tells when a suspicion or a hold is over. It measures from the moment at
// which it first saw a record in its present state, so that a process which takes
// over holds content for longer rather than shorter. It is not safe for concurrent
// use.
type Timer struct{ seen map[string]seenRecord }

// seenRecord is when a record was first seen with this number of crashes and holds.
type seenRecord struct {
	crashes, holds int
	at             time.Duration
}

// NewTimer returns a timer that has seen no records.
func NewTimer() *Timer { return &Timer{seen: map[string]seenRecord{}} }

// Lapsed returns the keys whose time is over, given all records of a table and a
// reading of one monotonic clock.
func (t *Timer) Lapsed(now time.Duration, records []messenger.QuarantineRecord) []string {
	var lapsed []string
	seen := map[string]seenRecord{}
	for _, r := range records {
		s, ok := t.seen[r.Key]
		if !ok || s.crashes != r.Crashes || s.holds != r.Holds {
			s = seenRecord{r.Crashes, r.Holds, now}
		}
		seen[r.Key] = s
		if now-s.at >= FirstHold<<min(r.Holds, maxHoldDoublings) {
			lapsed = append(lapsed, r.Key)
		}
	}
	t.seen = seen
	return lapsed
}
