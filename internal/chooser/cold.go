package chooser

import "time"

const (
	// depth is the number of requests that an entry may send to a cold endpoint beyond its
	// rate. In any second an entry sends at most its rate and one request, so that the
	// whole rate, and one request for each entry, bound what all send together.
	depth = 1
	// roundingError is far above the error of a sum of a few thousand additions, and far
	// below a request.
	roundingError = 1e-6
)

// ColdShare is the part of the rate of cold endpoints that this entry may use.
type ColdShare struct {
	Service       string
	FailureDomain string  // FailureDomain is that of the endpoints.
	Rate          float64 // Rate is the number of requests per second that this entry may send to each.
}

// ShareMsg carries shares of cold endpoints' rates. A share that it does not name holds
// until its own time is over.
type ShareMsg struct {
	Now    time.Duration
	Until  time.Duration // Until is when the shares expire.
	Shares []ColdShare
}

func (ShareMsg) chooserMsg() {}

type shareKey struct{ service, domain string }

// heldShare is the rate that this entry may use until a time.
type heldShare struct {
	rate  float64
	until time.Duration
}

// bucket counts the requests that this entry may send to one boot of a cold endpoint.
type bucket struct {
	key      shareKey
	bootTime int
	coldAt   time.Duration // coldAt is when this entry learned that the endpoint is cold.
	tokens   float64
	at       time.Duration // at is when tokens was computed.
}

// coldState is what this entry knows of cold endpoints, and may send to them.
type coldState struct {
	buckets map[string]*bucket // buckets is by endpoint; endpoints without one are warm.
	shares  map[shareKey]heldShare
	// verifications holds the endpoints that broke and may have been restarted since.
	verifications map[string]*verification
}

func newColdState() coldState {
	return coldState{buckets: map[string]*bucket{}, shares: map[shareKey]heldShare{}, verifications: map[string]*verification{}}
}

// replace takes over which endpoints are cold. A bucket begins empty, so that entries
// which learn of a cold endpoint together do not send their first requests together.
func (s *coldState) replace(msg FleetMsg) {
	known := s.buckets
	s.buckets = map[string]*bucket{}
	for _, view := range msg.Endpoints {
		if !view.Cold {
			continue
		}
		b := known[view.Instance]
		if b == nil || b.bootTime != view.Born {
			b = &bucket{bootTime: view.Born, coldAt: msg.Now, at: msg.Now}
		}
		b.key = shareKey{view.Service, view.FailureDomain}
		s.buckets[view.Instance] = b
	}
	s.dropReplaced(msg)
}

// setShares replaces the shares that are named, after what was earned with the earlier
// ones is counted.
func (s *coldState) setShares(msg ShareMsg) {
	for _, b := range s.buckets {
		s.refill(b, msg.Now)
	}
	for _, share := range msg.Shares {
		s.shares[shareKey{share.Service, share.FailureDomain}] = heldShare{rate: share.Rate, until: msg.Until}
	}
	for key, held := range s.shares {
		if held.until <= msg.Now {
			delete(s.shares, key)
		}
	}
}

// refill adds what a bucket has earned since it was last computed. What was earned with a
// share that has expired is lost, since another entry may have the share now.
func (s *coldState) refill(b *bucket, now time.Duration) {
	held, ok := s.shares[b.key]
	if !ok || now >= held.until {
		b.tokens, b.at = 0, now
		return
	}
	b.tokens = min(b.tokens+held.rate*max(now-b.at, 0).Seconds(), depth)
	b.at = max(b.at, now)
}

// allows reports whether this entry may send a request to an endpoint now.
func (s *coldState) allows(id string, now time.Duration) bool {
	if s.isHeld(id, now) {
		return false
	}
	b := s.buckets[id]
	if b == nil {
		return true
	}
	s.refill(b, now)
	return b.tokens >= 1-roundingError
}

// take uses one request of the allowance of an endpoint, if it is cold.
func (s *coldState) take(id string) {
	if b := s.buckets[id]; b != nil {
		b.tokens = max(b.tokens-1, 0)
	}
}

// wait returns how long it takes until an endpoint is warm or may get a request, whichever
// is sooner; 0 if neither is known.
func (s *coldState) wait(id string, coldTime, now time.Duration) time.Duration {
	if s.isHeld(id, now) {
		return max(s.verifications[id].coldUntil-now, 0)
	}
	b := s.buckets[id]
	s.refill(b, now)
	wait := max(b.coldAt+coldTime-now, 0)
	held, ok := s.shares[b.key]
	if !ok || now >= held.until || held.rate <= 0 {
		return wait
	}
	token := time.Duration(max(1-b.tokens, 0) / held.rate * float64(time.Second))
	if wait == 0 || token < wait {
		return token
	}
	return wait
}

// IsCold reports whether the entry knows an endpoint as cold.
func (c *Chooser) IsCold(target Target) bool { return c.cold.buckets[target.ID] != nil }

// HoldsShare reports whether this entry may send to an endpoint at all: it is warm, or
// the entry's share of its rate has not expired, and it did not break of late.
func (c *Chooser) HoldsShare(target Target, now time.Duration) bool {
	if c.cold.isHeld(target.ID, now) {
		return false
	}
	b := c.cold.buckets[target.ID]
	if b == nil {
		return true
	}
	held, ok := c.cold.shares[b.key]
	return ok && now < held.until
}

// AllCold reports whether all endpoints that serve the model, except those that want no
// requests and those in closed failure domains, are cold or may be cold since they broke,
// and how long it takes until one is warm or may get a request; 0 if that is not known.
// ColdTime is how long an endpoint of the service is cold.
func (c *Chooser) AllCold(service, model string, coldTime, now time.Duration) (wait time.Duration, all bool) {
	for id, cand := range c.candidates {
		if cand.service != service || cand.model != model || c.closed(cand) || c.StaysAway(cand.target, now) {
			continue
		}
		if c.cold.buckets[id] == nil && !c.cold.isHeld(id, now) {
			return 0, false
		}
		all = true
		if in := c.cold.wait(id, coldTime, now); in > 0 && (wait == 0 || in < wait) {
			wait = in
		}
	}
	return wait, all
}
