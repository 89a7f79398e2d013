package placer

import (
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

// stage lets hosts load the model that they may need next, beside all else:
// a host in a group the neediest other model, a free one the neediest of all.
// Before there is traffic they begin at a quicker pace.
func (p *Placer) stage() {
	p.forgetLoads()
	free := p.free()
	inGroup := map[string]*Group{}
	for _, g := range p.groups {
		for _, m := range g.Members {
			if !p.hasParted(g, m) {
				inGroup[m.Instance] = g
			}
		}
	}
	ready := func(e tracker.Endpoint) bool {
		return e.ReportAt != 0 && p.health(Member{e.View.Instance, e.View.Born}) == sound && !e.Report.Busy
	}
	for _, e := range p.msg.Endpoints {
		if ready(e) && inGroup[e.View.Instance] == nil {
			p.stageOne(e, free, p.msg.Engine.LoadsAtOnce)
		}
	}
	for _, e := range p.msg.Endpoints {
		if g := inGroup[e.View.Instance]; ready(e) && g != nil && g.State == Open {
			p.stageOne(e, free, p.msg.Engine.LoadsAtOnce/groupedPart)
		}
	}
}

// groupedPart keeps most of the weight store for instances that serve nothing;
// beyond the store's limit each load makes all others slower.
const groupedPart = 3

// forgetLoads drops the loads of hosts that have ended.
func (p *Placer) forgetLoads() {
	maps.DeleteFunc(p.staging, func(id string, s stage) bool {
		e, ok := p.byID[id]
		return !ok || p.isSilent(e) || slices.Contains(e.Report.Staged, s.model) || p.msg.Now-s.at > stagingLife
	})
}

func (p *Placer) stageOne(e tracker.Endpoint, free map[string][]tracker.Endpoint, most int) {
	id := e.View.Instance
	if _, begun := p.staging[id]; begun {
		return
	}
	if p.storeBusy(most) {
		return
	}
	model, ok := p.toStage(e, free[e.Report.FabricDomain])
	if !ok {
		return
	}
	p.staging[id] = stage{p.msg.Now, model.Name}
	p.loads = append(p.loads, p.msg.Now)
	p.orders = append(p.orders, Order{Instance: id, Born: e.View.Born, Op: OpStage, Model: model.Name, Orders: e.Report.Orders})
}

// storeBusy reports whether the weight store allows no load now. Before there
// is traffic loads are quick and do not count; they keep to a pace at which
// those that begin while the first requests come are within the limit.
func (p *Placer) storeBusy(most int) bool {
	recent := float64(p.recentLoads() + 1)
	if !p.msg.traffic() {
		return recent > earlyPace*p.msg.Engine.LoadsPerSec
	}
	return len(p.staging) >= max(most, 1) || recent > p.msg.Engine.LoadsPerSec
}

// earlyPace is how much quicker loads begin before there is traffic.
const earlyPace = 2

// toStage returns the model that a host should load next: the one of which a
// group in its domain is complete the soonest, or false where it holds what it
// may need.
func (p *Placer) toStage(e tracker.Endpoint, free []tracker.Endpoint) (describer.Model, bool) {
	var best describer.Model
	least := time.Duration(0)
	for _, model := range p.byNeed() {
		if slices.Contains(e.Report.Models, model.Name) {
			continue
		}
		if slices.Contains(e.Report.Staged, model.Name) {
			return describer.Model{}, false
		}
		soonest := model.Load + time.Duration(p.missing(e, free, model))*missingCost
		if best.Name == "" || soonest < least {
			best, least = model, soonest
		}
	}
	return best, best.Name != ""
}

// missingCost is how long another instance of a domain takes to come free, about
// the pace of losses and arrivals.
const missingCost = 4 * time.Second

// missing returns how many more instances a group of a model needs in the
// domain of a host, the host and the free ones that hold or load it counted.
func (p *Placer) missing(host tracker.Endpoint, free []tracker.Endpoint, model describer.Model) int {
	n := 1
	for _, e := range free {
		loading := p.staging[e.View.Instance].model == model.Name
		if e.View.Instance != host.View.Instance && (loading || p.readyIn(e, model) < model.Load) {
			n++
		}
	}
	return (model.Size - n%model.Size) % model.Size
}

// stage is one load of a host.
type stage struct {
	at    time.Duration
	model string
}

// Unstage tells that an order to load was not answered, so that it is sent
// again.
func (p *Placer) Unstage(instance string) { delete(p.staging, instance) }

// stagingLife is longer than any load; after it a load counts as lost.
const stagingLife = 40 * time.Second
