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

// stage lets hosts load the model that they may need next, beside all else:
// free ones where a load gains most, then those in groups the neediest other
// model. Before there is traffic they begin at a quicker pace.
func (p *Placer) stage() {
	p.forgetLoads()
	free := p.free()
	for _, c := range p.candidates(free) {
		p.stageOne(c.host, c.model, p.msg.Engine.LoadsAtOnce)
	}
	held := p.memberships()
	needs := p.byNeed()
	for _, e := range p.msg.Endpoints {
		g := held[e.View.Instance]
		if g == nil || g.State != Open || !p.mayLoad(e) {
			continue
		}
		if model, ok := toStage(e, needs); ok {
			p.stageOne(e, model, p.msg.Engine.LoadsAtOnce/groupedPart)
		}
	}
}

// mayLoad reports whether a host takes an order to load.
func (p *Placer) mayLoad(e tracker.Endpoint) bool {
	_, begun := p.staging[e.View.Instance]
	return !begun && e.ReportAt != 0 && !e.Report.Busy && p.health(Member{e.View.Instance, e.View.Born}) == sound
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

func (p *Placer) stageOne(e tracker.Endpoint, model describer.Model, most int) {
	if p.storeBusy(most) {
		return
	}
	id := e.View.Instance
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

// toStage returns the neediest model that a host in a group should load, or
// false where it holds another one already. The models are in order of need.
func toStage(e tracker.Endpoint, needs []describer.Model) (describer.Model, bool) {
	for _, model := range needs {
		switch {
		case slices.Contains(e.Report.Models, model.Name):
		case slices.Contains(e.Report.Staged, model.Name):
			return describer.Model{}, false
		default:
			return model, true
		}
	}
	return describer.Model{}, false
}

// candidate is a load that a free host could begin.
type candidate struct {
	host  tracker.Endpoint
	model describer.Model
	gain  float64
}

// candidates returns for each free host the load that gains most, the most
// gainful first: the store's loads are scarce after losses.
func (p *Placer) candidates(free map[string][]tracker.Endpoint) []candidate {
	var list []candidate
	ratios := p.ratios()
	for _, domain := range slices.Sorted(maps.Keys(free)) {
		hosts := free[domain]
		for _, e := range hosts {
			if !p.mayLoad(e) {
				continue
			}
			if c, ok := p.bestLoad(e, hosts, ratios); ok {
				list = append(list, c)
			}
		}
	}
	slices.SortStableFunc(list, func(a, b candidate) int { return cmp.Compare(b.gain, a.gain) })
	return list
}

// bestLoad returns the most gainful load of a free host. One that keeps the
// weights of a model in need only in its store's place would lose them.
func (p *Placer) bestLoad(e tracker.Endpoint, hosts []tracker.Endpoint, ratios map[string]float64) (candidate, bool) {
	best := candidate{host: e}
	for _, model := range p.msg.Engine.Models {
		if slices.Contains(e.Report.Models, model.Name) {
			continue
		}
		if slices.Contains(e.Report.Staged, model.Name) {
			if ratios[model.Name] < otherModelBelow {
				return best, false
			}
			continue
		}
		if gain := p.gain(model, hosts, ratios[model.Name]); gain > best.gain {
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

// gain is what one more load of a model in a domain is worth a second: what the
// model lacks, times the instances that the group serves with, by the loads and
// the time until it is whole.
func (p *Placer) gain(model describer.Model, hosts []tracker.Endpoint, ratio float64) float64 {
	have := 0
	for _, e := range hosts {
		if p.staging[e.View.Instance].model == model.Name || p.readyIn(e, model) < model.Load {
			have++
		}
	}
	loads := model.Size - have%model.Size
	absent := max(model.Size-len(hosts), 0)
	takes := model.Load + time.Duration(absent)*missingCost
	deficit := max(otherModelBelow-ratio, leastDeficit)
	return deficit * float64(model.Size) / float64(loads) / takes.Seconds()
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
