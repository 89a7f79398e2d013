package gatekeeper

import "time"

// longestLife is how long the longest time limit of a route counts after it was
// last seen; clients change, and configurations change what they are told.
const longestLife = 30 * time.Second

// returners tells clients that come back after a refusal from those that come
// for the first time: they have less time left than the others of their route
// by the time that they were told to wait. The limits of first calls vary too,
// by less than that. It is not safe for concurrent use.
type returners struct{ longest map[string]limitSeen }

type limitSeen struct {
	limit time.Duration
	at    time.Duration
}

func newReturners() *returners { return &returners{longest: map[string]limitSeen{}} }

// returned reports whether a request comes back, from the time limit that its
// client tells.
func (r *returners) returned(route string, limit, now time.Duration) bool {
	if limit <= 0 {
		return false
	}
	seen := r.longest[route]
	if limit >= seen.limit || now-seen.at > longestLife {
		seen = limitSeen{limit, now}
		r.longest[route] = seen
	}
	return limit <= seen.limit-comeBack
}
