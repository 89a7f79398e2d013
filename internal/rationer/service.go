package rationer

import (
	"math"
	"slices"
	"time"
)

// kindKey names a kind of requests; those of organisations with a priority of their own
// count by themselves.
type kindKey struct {
	name     string
	priority int
}

// service is the state of one service over all its models.
type service struct {
	priorities  []int
	kinds       map[kindKey]*kind
	all         tally
	fraction    float64       // fraction is that of all entries' requests that were sent.
	fractionAt  time.Duration // fractionAt is when fraction arrived.
	refreshedAt time.Duration
}

// kind is the state of one kind of requests.
type kind struct {
	tally
	factor float64 // factor multiplies the demand of the kind; at least 1.
}

func newService(priorities []int) *service {
	return &service{priorities: slices.Clone(priorities), kinds: map[kindKey]*kind{}, all: newKindTally()}
}

func newKindTally() tally {
	return tally{asked: decaying{span: kindWindow}, served: decaying{span: kindWindow}}
}

// rank returns the position of a priority among those of the service. An unknown one
// counts as the least urgent.
func (s *service) rank(priority int) int {
	i := slices.Index(s.priorities, priority)
	if i < 0 {
		return len(s.priorities) - 1
	}
	return i
}

// kind returns the state of a request's kind. If there are too many kinds, those without
// a state of their own share one.
func (s *service) kind(req Request) *kind {
	key := kindKey{req.Kind, req.Priority}
	k := s.kinds[key]
	if k == nil && len(s.kinds) >= maxKinds {
		key = kindKey{}
		k = s.kinds[key]
	}
	if k == nil {
		k = &kind{factor: 1, tally: newKindTally()}
		s.kinds[key] = k
	}
	return k
}

// belowFloor reports whether the kind of a request is served so much less often than all
// that it must not be refused for more urgent ones.
func (s *service) belowFloor(req Request) bool {
	return s.kind(req).ratio(req.Now) < kindFloor*s.mean(req.Now)
}

// mean returns the fraction of the requests of all entries that are sent, or of this
// entry's alone if nothing was heard of the others lately.
func (s *service) mean(now time.Duration) float64 {
	if s.fractionAt > 0 && now-s.fractionAt < fractionTTL {
		return s.fraction
	}
	return s.all.ratio(now)
}

// refresh adjusts the factors of demand, once in a while.
func (s *service) refresh(now time.Duration) {
	elapsed := now - s.refreshedAt
	if elapsed < refreshInterval {
		return
	}
	s.refreshedAt = now
	elapsed = min(elapsed, window)
	for key, k := range s.kinds {
		k.factor *= math.Exp(demandGain * s.lag(now, key, k) * elapsed.Seconds())
		k.factor = min(max(k.factor, 1), maxDemandFactor)
	}
}

// lag returns how much less often a kind is served than the less urgent one that is
// served most often, beyond what is tolerated.
func (s *service) lag(now time.Duration, key kindKey, k *kind) float64 {
	n := k.asked.value(now)
	if n < minCounted {
		return -lagTolerance
	}
	best := 0.0
	for other, o := range s.kinds {
		if other.priority > key.priority && o.asked.value(now) >= minCounted {
			best = max(best, o.ratio(now))
		}
	}
	return best - k.ratio(now) - lagTolerance - lagNoise/math.Sqrt(n)
}

// DemandFactor returns the factor by which the demand of a request counts where the
// instances are divided among the models. It is above 1 for a kind that is served less
// often than a less urgent one of the same service, which may run on another model, and
// 0 for a request that was counted before.
func (r *Rationer) DemandFactor(req Request) float64 {
	s := r.services[req.Service]
	if s == nil {
		return 1
	}
	if req.Returned || r.repeated(req) {
		return 0
	}
	return s.kind(req).factor
}
