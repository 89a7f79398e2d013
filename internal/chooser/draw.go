package chooser

import (
	"slices"
)

// Pick draws an endpoint that can begin a request soon enough, or returns false
// where none can. It draws by the square of the free places, so that entries
// with the same old reports do not all go to the emptiest one.
func (c *Chooser) Pick(want Request) (Target, bool) {
	total := 0.0
	most := c.mostFree(want)
	weights := make([]float64, len(c.order))
	for i, id := range c.order {
		k := c.candidates[id]
		if k.service != want.Service || k.model != want.Model || slices.Contains(want.Exclude, id) || k.until > want.Now {
			continue
		}
		weights[i] = c.weight(k, want.Urgency, most)
		total += weights[i]
	}
	if total <= 0 {
		return Target{}, false
	}
	drawn := c.options.random.Float64() * total
	last := ""
	for i, id := range c.order {
		if weights[i] <= 0 {
			continue
		}
		last = id
		if drawn -= weights[i]; drawn < 0 {
			break
		}
	}
	return c.candidates[last].target, true
}

// places is the number of requests that may be at an endpoint: a usual request
// must begin within its objective; a patient one gets what usual ones leave, so
// that those who come late do not make the next ones late; a begun one may wait.
func (c *Chooser) places(k *candidate, urgency Urgency) int {
	switch {
	case !k.grouped:
		return 2 * k.slots
	case urgency == Resumed:
		return k.slots + k.slots/c.options.waitingPart
	case urgency == Overdue:
		return int(float64(k.slots) * c.options.patientShare)
	}
	return k.slots - k.slots/c.options.sparePart
}

// ownPlaces bounds this entry's requests at an endpoint by its part of the
// places, so that entries that do not see each other cannot fill it far beyond.
func (c *Chooser) ownPlaces(k *candidate) int {
	return max(int(float64(k.slots)*c.options.ownFactor/float64(max(c.entries, 1))), leastOwn)
}

// leastOwn lets a few requests of each entry be at any endpoint.
const leastOwn = 3

// homeFactor is how much likelier a preferred group is than an equal other one:
// enough that the others get little where there are forty, and most of what
// comes once the preferred ones are nearly full.
const homeFactor = 60

// mostFree is the largest free part that counts, by the mean of all endpoints
// that serve the request's model: one that has just opened would else get the
// requests of all entries at once, and read their prompts late.
func (c *Chooser) mostFree(want Request) float64 {
	sum, n := 0.0, 0
	for _, k := range c.candidates {
		if k.grouped && k.service == want.Service && k.model == want.Model {
			sum += max(1-float64(k.running())/float64(k.slots), 0)
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return c.options.ramp * sum / float64(n)
}

// weight is the square of an endpoint's free part, larger in the own failure
// domain, since bytes between domains are dear.
func (c *Chooser) weight(k *candidate, urgency Urgency, most float64) float64 {
	places := c.places(k, urgency)
	free := min(float64(places-k.running())/float64(places), most)
	full := k.grouped && (k.own >= c.ownPlaces(k) || (urgency != Resumed && k.queued > 0))
	if free <= 0 || full {
		return 0
	}
	weight := free * free / max(k.pace, 1)
	if k.domain == c.domain {
		weight *= c.options.ownDomain
	}
	if k.home {
		weight *= homeFactor
	}
	return weight
}
