package chooser

import (
	"maps"
	"slices"
	"time"
)

// EvacuationMsg replaces the evacuated failure domains. Requests to the endpoints of those
// that are new are phased out, in equal steps of their share, until PhaseOutEnd; then, and
// from the start if that time has passed, they get none. Those that are no longer named get
// requests again at once.
type EvacuationMsg struct {
	Now         time.Duration
	Domains     []string
	PhaseOutEnd time.Duration
}

func (EvacuationMsg) chooserMsg() {}

// phaseOut is the time over which the requests to a failure domain end.
type phaseOut struct{ begin, end time.Duration }

// remaining returns the share of requests that may still be sent to the failure domain.
func (p phaseOut) remaining(now time.Duration) float64 {
	if now >= p.end {
		return 0
	}
	return min(float64(p.end-now)/float64(p.end-p.begin), 1)
}

// evacuate replaces the evacuated failure domains. Those that were evacuated before keep
// their times.
func (c *Chooser) evacuate(msg EvacuationMsg) {
	before := c.evacuations
	c.evacuations = map[string]phaseOut{}
	for _, domain := range msg.Domains {
		p, ok := before[domain]
		if !ok {
			p = phaseOut{begin: msg.Now, end: msg.PhaseOutEnd}
		}
		c.evacuations[domain] = p
	}
	c.latest = max(c.latest, msg.Now)
	c.markPreferred()
}

// remaining returns the share of requests that may still be sent to a failure domain: 1 if
// it is not evacuated.
func (c *Chooser) remaining(domain string, now time.Duration) float64 {
	p, ok := c.evacuations[domain]
	if !ok {
		return 1
	}
	return p.remaining(now)
}

// closed reports whether an endpoint takes no requests because its failure domain is
// evacuated, as of the latest time that the chooser was given.
func (c *Chooser) closed(cand *candidate) bool {
	return len(c.evacuations) > 0 && c.remaining(cand.domain, c.latest) == 0
}

// drawClosed returns the failure domains to which a request must not go, and those that it
// should avoid since they are being phased out. The latter are drawn at random, by the share
// of requests that they should still get.
func (c *Chooser) drawClosed(now time.Duration) (closed, phasedOut []string) {
	if len(c.evacuations) == 0 {
		return nil, nil
	}
	drawn := c.options.random.Float64()
	for _, domain := range slices.Sorted(maps.Keys(c.evacuations)) {
		switch remaining := c.evacuations[domain].remaining(now); {
		case remaining == 0:
			closed = append(closed, domain)
		case drawn >= remaining:
			phasedOut = append(phasedOut, domain)
		}
	}
	if len(closed) != c.closedCount {
		c.markPreferred()
	}
	return closed, phasedOut
}

// Evacuated reports whether all endpoints that serve the model are in failure domains that
// are evacuated. It returns false if none serves it.
func (c *Chooser) Evacuated(service, model string) bool {
	found := false
	for _, cand := range c.candidates {
		if cand.service == service && cand.model == model {
			if !c.closed(cand) {
				return false
			}
			found = true
		}
	}
	return found
}

// PhaseOutEnd returns from when on no request may be sent to an endpoint, or false if its
// failure domain is not evacuated.
func (c *Chooser) PhaseOutEnd(target Target) (time.Duration, bool) {
	cand := c.candidates[target.ID]
	if cand == nil {
		return 0, false
	}
	p, ok := c.evacuations[cand.domain]
	return p.end, ok
}

// markFallback marks the groups of a model that this entry prefers without the evacuated
// failure domains. The groups are in its order of preference.
func (c *Chooser) markFallback(groups []*candidate) {
	if len(c.evacuations) == 0 {
		return
	}
	others := slices.DeleteFunc(slices.Clone(groups), func(cand *candidate) bool {
		_, ok := c.evacuations[cand.domain]
		return ok
	})
	for _, cand := range others[:c.preferredCount(others)] {
		cand.fallback = true
	}
}

// countClosed returns the number of failure domains that are closed as of the latest time.
func (c *Chooser) countClosed() int {
	n := 0
	for _, p := range c.evacuations {
		if p.remaining(c.latest) == 0 {
			n++
		}
	}
	return n
}
