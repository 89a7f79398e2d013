package limiter

import "time"

// Connection is what is known of an accepted connection.
type Connection struct {
	Waiting      bool          // Waiting means that no request is in progress.
	Served       bool          // Served means that it carried a request.
	Since        time.Duration // Since is when it began to wait.
	BlockedSince time.Duration // BlockedSince is when the write in progress began; 0 if there is none.
}

// LongestWaiting returns the index of the connection to close where connections run short,
// or -1 if all have a request in progress. One that never carried a request goes first, so
// that a flood of them does not close those in use; among equals it is the one that has
// waited longest.
func LongestWaiting(connections []Connection) int {
	found := -1
	for i, c := range connections {
		if c.Waiting && (found < 0 || before(c, connections[found])) {
			found = i
		}
	}
	return found
}

func before(a, b Connection) bool {
	if a.Served != b.Served {
		return b.Served
	}
	return a.Since < b.Since
}

// minBlockedTime is how long a write waits before it counts as blocked.
const minBlockedTime = time.Second

// TooSlow returns the indexes of the connections to close because their reader is too slow:
// those without progress for the whole WriteTime, and the slowest beyond Blocked of them.
func (b Bounds) TooSlow(connections []Connection, now time.Duration) []int {
	var closing, blocked []int
	for i, c := range connections {
		switch wait := now - c.BlockedSince; {
		case c.BlockedSince == 0 || wait < min(minBlockedTime, b.WriteTime):
		case wait >= b.WriteTime:
			closing = append(closing, i)
		default:
			blocked = append(blocked, i)
		}
	}
	for len(blocked) > b.Blocked() {
		slowest := 0
		for i, c := range blocked {
			if connections[c].BlockedSince < connections[blocked[slowest]].BlockedSince {
				slowest = i
			}
		}
		closing = append(closing, blocked[slowest])
		blocked = append(blocked[:slowest], blocked[slowest+1:]...)
	}
	return closing
}
