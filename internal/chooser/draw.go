package chooser

import "slices"

// Pick returns a random endpoint that can start the request soon enough, or
// false if there is none. The probability of an endpoint grows with the square
// of its free share of slots, so that entries with equally stale reports do not
// all pick the emptiest one. Failure domains that are being phased out are avoided by
// a growing share of the requests, as long as others have a free place.
func (c *Chooser) Pick(req Request) (Target, bool) {
	c.latest = max(c.latest, req.Now)
	closed, phasedOut := c.drawClosed(req.Now)
	if len(phasedOut) > 0 {
		if target, ok := c.pickOutside(req, slices.Concat(closed, phasedOut), true); ok {
			return target, true
		}
	}
	return c.pickOutside(req, closed, false)
}

// pickOutside returns an endpoint outside the excluded failure domains. With fallback, the
// groups count as preferred that are so without the evacuated failure domains.
func (c *Chooser) pickOutside(req Request, excluded []string, fallback bool) (Target, bool) {
	total := 0.0
	freeCap := c.freeShareCap(req, excluded)
	weights := make([]float64, len(c.ids))
	for i, id := range c.ids {
		cand := c.candidates[id]
		if cand.service != req.Service || cand.model != req.Model || slices.Contains(req.Exclude, id) || cand.retryAt > req.Now || c.StaysAway(cand.target, req.Now) || slices.Contains(excluded, cand.domain) || !c.cold.allows(id, req.Now) {
			continue
		}
		weights[i] = c.weight(cand, req.Urgency, freeCap, fallback)
		if c.beyondFill(cand, req) {
			weights[i] = 0
		}
		total += weights[i]
	}
	if total <= 0 {
		return Target{}, false
	}
	remaining := c.options.random.Float64() * total
	picked := ""
	for i, id := range c.ids {
		if weights[i] <= 0 {
			continue
		}
		picked = id
		if remaining -= weights[i]; remaining < 0 {
			break
		}
	}
	return c.candidates[picked].target, true
}

// capacity returns the load up to which an endpoint accepts requests of the
// given urgency. A normal request must start within its objective. An overdue
// one gets only what normal requests leave free, so that late requests do not
// delay others. A resumed one may wait in the queue.
func (c *Chooser) capacity(cand *candidate, urgency Urgency) int {
	switch {
	case !cand.grouped:
		return 2 * cand.slots
	case urgency == Resumed:
		return cand.slots + cand.slots/c.options.queueDivisor
	case urgency == Overdue:
		return int(float64(cand.slots) * c.options.overdueShare)
	}
	return cand.slots - cand.slots/c.options.headroomDivisor
}

// entryLimit returns the number of requests that this entry may have in flight
// at an endpoint. It follows from the entry's share of the slots, so that
// entries unaware of each other's requests cannot overfill the endpoint by much.
func (c *Chooser) entryLimit(cand *candidate) int {
	return max(int(float64(cand.slots)*c.options.entryShareFactor/float64(max(c.entryCount, 1))), minEntryLimit)
}

// minEntryLimit is the number of requests that each entry may always have in
// flight at an endpoint, however many entries there are.
const minEntryLimit = 3

// preferredWeight multiplies the weight of preferred groups. At this value the
// other groups get little of the traffic even if there are 40 of them, but most
// of what arrives once the preferred groups are nearly full.
const preferredWeight = 60

// freeShareCap returns the largest free share that weight counts, derived from the
// mean over the groups that serve the model outside the excluded failure domains.
// Without the cap, a group that has just opened would get requests from all entries
// at once and process their prompts late.
func (c *Chooser) freeShareCap(req Request, excluded []string) float64 {
	sum, n := 0.0, 0
	for _, cand := range c.candidates {
		if cand.grouped && cand.service == req.Service && cand.model == req.Model && !slices.Contains(excluded, cand.domain) {
			sum += max(1-float64(cand.load())/float64(cand.slots), 0)
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return c.options.freeCapFactor * sum / float64(n)
}

// weight returns the relative probability of picking an endpoint, or 0 if it
// cannot take the request. It is the square of the free share of the capacity,
// at most freeCap; lower for slow groups, and higher in the entry's own failure
// domain, since traffic between domains is expensive.
func (c *Chooser) weight(cand *candidate, urgency Urgency, freeCap float64, fallback bool) float64 {
	capacity := c.capacity(cand, urgency)
	free := min(float64(capacity-cand.load())/float64(capacity), freeCap)
	blocked := cand.grouped && (cand.inFlight >= c.entryLimit(cand) || (urgency != Resumed && cand.queued > 0))
	if free <= 0 || blocked {
		return 0
	}
	weight := free * free / max(cand.slowdown, 1)
	if cand.domain == c.domain {
		weight *= c.options.localDomainWeight
	}
	if (cand.preferred && !fallback) || (cand.fallback && fallback) {
		weight *= preferredWeight
	}
	return weight
}
