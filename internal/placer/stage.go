package placer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"papayaseam/internal/describer"
	"papayaseam/internal/tracker"
)

func (p *Placer) recentLoads() int {
	p.loads = slices.DeleteFunc(p.loads, func(at time.Duration) bool { return p.msg.Now-at > p.options.loadWindow })
	return len(p.loads)
}

// stage lets hosts load the model that they may need next, beside all else, in
// the order of what a load gains: the weight store's loads are scarce after
// losses. Before there is traffic they begin at a quicker pace.
func (p *Placer) stage() {
	p.forgetLoads()
	if p.storeBusy() {
		return
	}
	view := p.copies()
	for _, c := range p.candidates(view) {
		if p.storeBusy() {
			return
		}
		// Loads that were begun for its domain meanwhile may have left it another.
		c, ok := p.bestLoad(c.host, view)
		if !ok {
			continue
		}
		p.stageOne(c)
		at := place{c.host.Report.FabricDomain, c.model.Name}
		view.warm[at]++
		if view.held[c.host.View.Instance] == nil {
			view.spare[at]++
		}
	}
}

// mayLoad reports whether a host takes an order to load.
func (p *Placer) mayLoad(e tracker.Endpoint) bool {
	_, begun := p.staging[e.View.Instance]
	return !begun && e.ReportedAt != 0 && !e.Report.Busy && p.health(Member{e.View.Instance, e.View.Born}) == sound
}

// forgetLoads drops the loads of hosts that have ended.
func (p *Placer) forgetLoads() {
	maps.DeleteFunc(p.staging, func(id string, s stage) bool {
		e, ok := p.byID[id]
		return !ok || p.isSilent(e) || slices.Contains(e.Report.Staged, s.model) || p.msg.Now-s.at > stagingLife
	})
}

func (p *Placer) stageOne(c candidate) {
	id := c.host.View.Instance
	p.staging[id] = stage{p.msg.Now, c.model.Name}
	p.loads = append(p.loads, p.msg.Now)
	p.orders = append(p.orders, Order{Instance: id, Born: c.host.View.Born, Op: OpStage, Model: c.model.Name, AcceptedOrders: c.host.Report.Orders})
}

// storeBusy reports whether the weight store allows no load now. Before there
// is traffic loads are quick and do not count; they keep to a pace at which
// those that begin while the first requests come are within the limit.
func (p *Placer) storeBusy() bool {
	recent := float64(p.recentLoads() + 1)
	if !p.msg.traffic() {
		return recent > earlyPace*p.msg.Engine.MaxLoadsPerSec
	}
	return len(p.staging) >= max(p.msg.Engine.MaxConcurrentLoads, 1) || recent > p.msg.Engine.MaxLoadsPerSec
}

// earlyPace is how much quicker loads begin before there is traffic.
const earlyPace = 2

// candidate is a load that a host could begin.
type candidate struct {
	host  tracker.Endpoint
	model describer.Model
	gain  float64
}

// candidates returns for each host that may load the load that gains most, the
// most gainful first.
func (p *Placer) candidates(view copies) []candidate {
	var list []candidate
	for _, e := range p.msg.Endpoints {
		g := view.held[e.View.Instance]
		if !p.mayLoad(e) || (g != nil && g.State != Open) {
			continue
		}
		if c, ok := p.bestLoad(e, view); ok {
			list = append(list, c)
		}
	}
	slices.SortStableFunc(list, func(a, b candidate) int { return cmp.Compare(b.gain, a.gain) })
	return list
}

// place is a model in a fabric domain.
type place struct{ domain, model string }

// copies tells where weights are that a new group of a model could use.
type copies struct {
	held   map[string]*Group
	ratios map[string]float64
	hosts  map[string]int // hosts counts the sound hosts of a fabric domain.
	warm   map[place]int  // warm counts those that hold or load a model and serve in no group of it.
	spare  map[place]int  // spare counts those of them that are in no group at all.
	groups map[place]int  // groups counts the groups of a model in a fabric domain.
}

func (p *Placer) copies() copies {
	c := copies{held: p.memberships(), ratios: p.ratios(), hosts: map[string]int{}, warm: map[place]int{}, spare: map[place]int{}, groups: map[place]int{}}
	for _, g := range p.groups {
		if g.State != Closing {
			c.groups[place{g.FabricDomain, g.Model}]++
		}
	}
	for _, e := range p.msg.Endpoints {
		if e.ReportedAt == 0 || p.health(Member{e.View.Instance, e.View.Born}) != sound {
			continue
		}
		domain := e.Report.FabricDomain
		c.hosts[domain]++
		for _, model := range p.msg.Engine.Models {
			holds := p.staging[e.View.Instance].model == model.Name || p.readyIn(e, model) < model.ColdLoadTime
			g := c.held[e.View.Instance]
			if holds && (g == nil || g.Model != model.Name) {
				c.warm[place{domain, model.Name}]++
			}
			if holds && g == nil {
				c.spare[place{domain, model.Name}]++
			}
		}
	}
	return c
}

// groupedGain is what a load is worth at a host that serves, against one that
// serves nothing.
const groupedGain = 0.5

// bestLoad returns the most gainful load of a host. A host keeps one copy beside
// the model that it served last: a copy that is needed is not replaced.
func (p *Placer) bestLoad(e tracker.Endpoint, view copies) (candidate, bool) {
	best := candidate{host: e}
	for _, model := range p.msg.Engine.Models {
		if slices.Contains(e.Report.Models, model.Name) {
			continue
		}
		if slices.Contains(e.Report.Staged, model.Name) {
			if view.ratios[model.Name] < otherModelBelow {
				return best, false
			}
			continue
		}
		gain := p.gain(model, e.Report.FabricDomain, view)
		if view.held[e.View.Instance] != nil {
			gain *= groupedGain
		}
		if gain > best.gain {
			best.model, best.gain = model, gain
		}
	}
	return best, best.gain > 0
}

const (
	// missingCost is how long another instance of a domain takes to come free,
	// about the pace of losses and arrivals.
	missingCost = 4 * time.Second
	// leastDeficit is what a group of a model with plenty is still worth.
	leastDeficit = 0.05
)

// lossLikely is how likely a group loses a member while a copy is kept for it.
const lossLikely = 0.5

// gain is what one more copy of a model in a domain is worth a second: what the
// model lacks, times the instances that the next group serves with, by the loads
// and the time until it is whole; or, where its groups there have no spare, what
// it would lack without one of them.
func (p *Placer) gain(model describer.Model, domain string, view copies) float64 {
	at := place{domain, model.Name}
	size := float64(model.GroupSize)
	ratio := view.ratios[model.Name]
	loads := model.GroupSize - view.warm[at]%model.GroupSize
	absent := max(model.GroupSize-view.hosts[domain], 0)
	takes := model.ColdLoadTime + time.Duration(absent)*missingCost
	worth := max(otherModelBelow-ratio, leastDeficit) * size / float64(loads)
	if view.spare[at] < min(view.groups[at], mostSpares) {
		without := ratio - size/max(p.wanted(model), 1)
		worth = max(worth, lossLikely*size*max(otherModelBelow-without, leastDeficit))
	}
	return worth / takes.Seconds()
}

// mostSpares is how many spares a domain keeps for the groups of one model.
const mostSpares = 2

// stage is one load of a host.
type stage struct {
	at    time.Duration
	model string
}

// RecordStageFailure tells that an order to load was not answered, so that it is sent
// again.
func (p *Placer) RecordStageFailure(instance string) { delete(p.staging, instance) }

// stagingLife is longer than any load; after it a load counts as lost.
const stagingLife = 40 * time.Second
