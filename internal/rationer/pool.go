package rationer

import (
	"math"
	"time"

	"papayaseam/internal/apportioner"
)

// isShort reports whether the slots of the model are short for this request.
func (p *pool) isShort(req Request) bool {
	return req.Now < p.shortUntil && req.Utilization >= freeUtilization
}

// party returns the account of a request's organisation. If there are too many, those
// without an account share one.
func (p *pool) party(req Request) *party {
	o := p.parties[req.Organisation]
	if o == nil && len(p.parties) >= maxParties {
		p.dropIdle(req.Now)
	}
	if o == nil && len(p.parties) >= maxParties {
		req.Organisation = ""
		o = p.parties[""]
	}
	if o == nil {
		o = &party{}
		p.parties[req.Organisation] = o
	}
	o.usedAt = req.Now
	return o
}

// dropIdle drops the organisations whose sums have decayed.
func (p *pool) dropIdle(now time.Duration) {
	for name, o := range p.parties {
		if now-o.usedAt > 3*window {
			delete(p.parties, name)
		}
	}
}

// refresh advances the clock and, once in a while, computes the level anew: what the
// organisations may have so that all together fill the model's slots.
func (p *pool) refresh(req Request) {
	if req.Utilization >= shortUtilization {
		p.shortUntil = req.Now + shortPeriod
	}
	elapsed := req.Now - p.refreshedAt
	if elapsed < refreshInterval {
		return
	}
	p.refreshedAt = req.Now
	p.samples.add(req.Now, 1)
	p.utilization.add(req.Now, req.Utilization)
	if math.IsInf(p.level, 1) {
		p.forgive()
	} else {
		p.clock.Advance(p.level * elapsed.Seconds())
	}
	p.level = p.computeLevel(req.Now)
}

// forgive lets all organisations start anew: nobody was above its share.
func (p *pool) forgive() {
	for _, o := range p.parties {
		p.clock.Forgive(&o.Account)
	}
}

// computeLevel returns the work per unit of weight and second at which the demands fit
// into the capacity.
func (p *pool) computeLevel(now time.Duration) float64 {
	if now >= p.shortUntil {
		return math.Inf(1)
	}
	p.dropIdle(now)
	demands := make([]apportioner.Demand, 0, len(p.parties))
	for _, o := range p.parties {
		demands = append(demands, apportioner.Demand{Weight: o.Weight, Work: o.asked.value(now)})
	}
	mean := p.utilization.value(now) / p.samples.value(now)
	scale := min(max(targetUtilization/max(mean, 0.01), minScale), maxScale)
	covered := window.Seconds() * -math.Expm1(-float64(now-p.startedAt)/float64(window))
	return apportioner.Level(p.admitted.value(now)*scale*levelMargin, demands) / max(covered, refreshInterval.Seconds())
}

// aboveShare reports whether the organisation of a request has had more than its share.
// Its more urgent requests may run further ahead of it, so that its less urgent ones are
// refused first. One that is served much less often than the mean is not.
func (p *pool) aboveShare(req Request, d Decision, mean float64) bool {
	if math.IsInf(p.level, 1) || req.Utilization < shortUtilization {
		return false
	}
	o := p.party(req)
	if o.requests.ratio(req.Now) < partyFloor*mean {
		return false
	}
	work := p.admitted.value(req.Now) / max(p.served.value(req.Now), 1)
	allowed := (p.level*burst.Seconds() + burstRequests*work) * (1 + float64(d.Ranks-1-d.Rank)/float64(max(d.Ranks-1, 1)))
	return p.clock.Lead(&o.Account) > allowed
}

// reserve returns the fraction of the capacity that is kept from requests of a rank for
// more urgent ones. It grows with the square root of their part of the work, as the
// fluctuation of the slots that they need does, and is 0 if there are none.
func (p *pool) reserve(now time.Duration, rank int) float64 {
	urgent, all := 0.0, 0.0
	for i := range p.asked {
		work := p.asked[i].value(now)
		all += work
		if i < rank {
			urgent += work
		}
	}
	if all <= 0 {
		return 0
	}
	return maxReserve * math.Sqrt(urgent/all)
}
