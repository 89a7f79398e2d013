package placer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"papayaseam/internal/describer"
	"papayaseam/internal/tracker"
)

// rejoinTime is what a member needs to join a group of the model that it served
// last.
const rejoinTime = 200 * time.Millisecond

// otherModelBelow is the ratio of a model's instances to its demand below which
// it may use instances that a needier model can not use yet.
const otherModelBelow = 1.3

// readyIn estimates how long an endpoint takes to join a group of a model.
func (p *Placer) readyIn(e tracker.Endpoint, model describer.Model) time.Duration {
	switch {
	case slices.Contains(e.Report.Models, model.Name):
		return rejoinTime
	case slices.Contains(e.Report.Staged, model.Name):
		return model.Warm
	}
	return model.Load
}

// free returns the sound endpoints that are in no group, by fabric domain.
func (p *Placer) free() map[string][]tracker.Endpoint {
	taken := map[string]bool{}
	for _, g := range p.groups {
		for _, m := range g.Members {
			taken[m.Instance] = true
		}
	}
	free := map[string][]tracker.Endpoint{}
	for _, e := range p.msg.Endpoints {
		sound := p.health(Member{e.View.Instance, e.View.Born}) == sound
		if taken[e.View.Instance] || !sound || e.ReportAt == 0 {
			continue
		}
		free[e.Report.FabricDomain] = append(free[e.Report.FabricDomain], e)
	}
	return free
}

// ratios returns for each model the instances in its groups against those that
// it should have.
func (p *Placer) ratios() map[string]float64 {
	held := map[string]int{}
	for _, g := range p.groups {
		if g.State != Closing {
			held[g.Model] += len(g.Members)
		}
	}
	ratios := map[string]float64{}
	for _, model := range p.msg.Engine.Models {
		ratios[model.Name] = float64(held[model.Name]) / max(p.wanted(model), 1)
	}
	return ratios
}

// wanted returns the instances that a model should have: its part of all by
// the declared shares, or of the measured demand once there is one.
func (p *Placer) wanted(model describer.Model) float64 {
	total, own := 0.0, 0.0
	for _, m := range p.msg.Engine.Models {
		part := m.Share
		if len(p.msg.Demand) > 0 {
			part = p.msg.Demand[m.Name]
		}
		total += part
		if m.Name == model.Name {
			own = part
		}
	}
	if total <= 0 {
		return 0
	}
	return own / total * float64(len(p.msg.Endpoints))
}

// place forms groups from free endpoints, the neediest model first.
func (p *Placer) place() {
	for p.placeOne() {
	}
}

func (p *Placer) placeOne() bool {
	free := p.free()
	ratios := p.ratios()
	models := slices.Clone(p.msg.Engine.Models)
	slices.SortStableFunc(models, func(a, b describer.Model) int {
		return cmp.Or(cmp.Compare(ratios[a.Name], ratios[b.Name]), cmp.Compare(b.Size, a.Size))
	})
	for i, model := range models {
		if i > 0 && len(p.msg.Demand) > 0 && ratios[model.Name] > otherModelBelow {
			continue
		}
		if members := p.choose(model, free); members != nil {
			p.newGroup(model, members)
			return true
		}
	}
	return false
}

// choose returns the endpoints of one domain that form a group of a model the
// soonest, or nil where no domain has enough or the store allows no load now.
func (p *Placer) choose(model describer.Model, free map[string][]tracker.Endpoint) []tracker.Endpoint {
	var best []tracker.Endpoint
	bestTime := time.Duration(0)
	for _, domain := range slices.Sorted(maps.Keys(free)) {
		list := slices.Clone(free[domain])
		if len(list) < model.Size {
			continue
		}
		slices.SortStableFunc(list, func(a, b tracker.Endpoint) int {
			return cmp.Or(cmp.Compare(p.readyIn(a, model), p.readyIn(b, model)), compareEndpoints(a, b))
		})
		list = list[:model.Size]
		last := p.readyIn(list[len(list)-1], model)
		if !p.mayLoad(list, model) {
			continue
		}
		if best == nil || last < bestTime || (last == bestTime && len(free[domain]) > len(free[best[0].Report.FabricDomain])) {
			best, bestTime = list, last
		}
	}
	return best
}

// mayLoad reports whether the weight store may start the loads that a group
// needs now. Before there is demand, loads are not bounded.
func (p *Placer) mayLoad(members []tracker.Endpoint, model describer.Model) bool {
	if len(p.msg.Demand) == 0 {
		return true
	}
	needed := 0
	for _, e := range members {
		if p.readyIn(e, model) >= model.Load {
			needed++
		}
	}
	return needed == 0 || float64(needed+p.recentLoads()) <= max(p.msg.Engine.LoadsPerSec, float64(model.Size))
}

func (p *Placer) recentLoads() int {
	p.loads = slices.DeleteFunc(p.loads, func(at time.Duration) bool { return p.msg.Now-at > p.options.loadWindow })
	return len(p.loads)
}

// stage lets free endpoints that hold no model load the neediest one, so that
// they complete a group sooner.
func (p *Placer) stage() {
	if len(p.msg.Demand) == 0 {
		return
	}
	ratios := p.ratios()
	for _, list := range p.free() {
		for _, e := range list {
			p.stageOne(e, ratios)
		}
	}
}

func (p *Placer) stageOne(e tracker.Endpoint, ratios map[string]float64) {
	id := e.View.Instance
	_, begun := p.staging[id]
	if len(e.Report.Staged) > 0 || len(e.Report.Models) > 0 || begun || len(p.msg.Engine.Models) == 0 {
		return
	}
	if float64(p.recentLoads()+1) > p.msg.Engine.LoadsPerSec {
		return
	}
	model := slices.MinFunc(p.msg.Engine.Models, func(a, b describer.Model) int {
		return cmp.Or(cmp.Compare(ratios[a.Name], ratios[b.Name]), cmp.Compare(b.Size, a.Size))
	})
	p.staging[id] = p.msg.Now
	p.loads = append(p.loads, p.msg.Now)
	p.orders = append(p.orders, Order{Instance: id, Born: e.View.Born, Op: OpStage, Model: model.Name, Orders: e.Report.Orders})
}
