package placer

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"papayaseam/internal/describer"
	"papayaseam/internal/tracker"
)

// rejoinTime is how long an endpoint takes to join a group of the model that it
// served last.
const rejoinTime = 200 * time.Millisecond

// sufficientRatio is the ratio of a model's instances to its target up to which it
// may use instances that the neediest model cannot use yet.
const sufficientRatio = 1.2

// joinTime estimates how long an endpoint takes to join a group of a model. It is
// model.Load if the weights must come from the weight store.
func (p *Placer) joinTime(e tracker.Endpoint, model describer.Model) time.Duration {
	switch {
	case p.servedLast(e, model):
		return rejoinTime
	case slices.Contains(e.Report.Staged, model.Name):
		return model.WarmLoadTime
	}
	return model.ColdLoadTime
}

// servedLast reports whether the last group that an endpoint was ready in served the
// model. Such an endpoint rejoins without loading weights, also after it has left.
func (p *Placer) servedLast(e tracker.Endpoint, model describer.Model) bool {
	return p.lastModels[Member{e.View.Instance, e.View.Born}] == model.Name
}

// recordLastModels records the model of each endpoint that is ready in a group. It
// forgets endpoints that are gone and those that are joining another group.
func (p *Placer) recordLastModels() {
	known := p.lastModels
	p.lastModels = map[Member]string{}
	for _, e := range p.msg.Endpoints {
		m := Member{e.View.Instance, e.View.Born}
		switch {
		case e.Report.State == MemberJoining:
		case len(e.Report.Models) > 0:
			p.lastModels[m] = e.Report.Models[0]
		case known[m] != "":
			p.lastModels[m] = known[m]
		}
	}
}

// freeEndpoints returns the healthy endpoints that are in no group, by fabric
// domain. Those of evacuated failure domains are left out.
func (p *Placer) freeEndpoints() map[string][]tracker.Endpoint {
	groupOf := p.groupsByInstance()
	free := map[string][]tracker.Endpoint{}
	for _, e := range p.msg.Endpoints {
		isHealthy := p.health(Member{e.View.Instance, e.View.Born}) == healthy
		if groupOf[e.View.Instance] != nil || p.isUnlistedMember(e) || !isHealthy || e.ReportedAt == 0 || e.FailingSince != 0 || p.isEvacuated(e) {
			continue
		}
		free[e.Report.FabricDomain] = append(free[e.Report.FabricDomain], e)
	}
	return free
}

// groupsByInstance maps each instance to the group that it is a member of. Members
// that have left an unreachable head are left out.
func (p *Placer) groupsByInstance() map[string]*Group {
	groupOf := map[string]*Group{}
	for _, g := range p.groups {
		for _, m := range g.Members {
			if !p.hasDetached(g, m) {
				groupOf[m.Instance] = g
			}
		}
	}
	return groupOf
}

// isUnlistedMember reports whether an endpoint reports membership of an existing
// group that does not list it as a member.
func (p *Placer) isUnlistedMember(e tracker.Endpoint) bool {
	g := p.groups[e.Report.Group]
	return g != nil && g.Epoch == e.Report.Epoch && !slices.Contains(g.Members, Member{e.View.Instance, e.View.Born})
}

// ratios returns, by model, the number of instances in its groups divided by its
// target. Closing groups, and those in evacuated failure domains, do not count.
func (p *Placer) ratios() map[string]float64 {
	instances := map[string]int{}
	for _, g := range p.groups {
		if g.State != Closing && !p.inEvacuated(g) {
			instances[g.Model] += len(g.Members)
		}
	}
	ratios := map[string]float64{}
	for _, model := range p.msg.Engine.Models {
		ratios[model.Name] = float64(instances[model.Name]) / max(p.targetInstances(model), 1)
	}
	return ratios
}

// DemandSummary returns a comma-separated list for the log with an item
// name:current/target/busy/warm/max-warm for each model: the instances in its
// groups, its target, its demand in busy instances, the healthy instances that can
// join without a load from the weight store, and the most of those in one fabric
// domain.
func (p *Placer) DemandSummary() string {
	var items []string
	ratios := p.ratios()
	for _, m := range p.msg.Engine.Models {
		target := p.targetInstances(m)
		warm, maxWarm := p.warmCounts(m)
		items = append(items, fmt.Sprintf("%s:%.0f/%.1f/%.1f/%d/%d", m.Name, ratios[m.Name]*max(target, 1), target, p.msg.Demand[m.Name], warm, maxWarm))
	}
	return strings.Join(items, ",")
}

// warmCounts returns the number of healthy instances that hold a model's weights, in
// total and in the fabric domain with the most.
func (p *Placer) warmCounts(model describer.Model) (total, maxPerDomain int) {
	perDomain := map[string]int{}
	for _, e := range p.msg.Endpoints {
		if p.health(Member{e.View.Instance, e.View.Born}) == healthy && p.joinTime(e, model) < model.ColdLoadTime {
			total++
			perDomain[e.Report.FabricDomain]++
			maxPerDomain = max(maxPerDomain, perDomain[e.Report.FabricDomain])
		}
	}
	return total, maxPerDomain
}

// targetInstances returns the number of instances that a model should have. Without
// demand it follows the declared shares. With demand it is the number of busy
// instances plus a reserve that grows with the square root of the number of busy
// groups, so that a few large groups run at lower utilization than many small ones.
func (p *Placer) targetInstances(model describer.Model) float64 {
	if len(p.msg.Demand) == 0 {
		return p.share(model) * p.capacity
	}
	totalDemand, totalReserve := 0.0, 0.0
	for _, m := range p.msg.Engine.Models {
		totalDemand += p.msg.Demand[m.Name]
		totalReserve += p.reserve(m)
	}
	factor := max((p.capacity-totalDemand)/max(totalReserve, 1), minReserveFactor)
	return p.msg.Demand[model.Name] + factor*p.reserve(model)
}

// minReserveFactor is the lowest factor of the reserve. It applies when the demand
// leaves few or no instances for a reserve.
const minReserveFactor = 0.1

// reserve returns the unscaled reserve of a model in instances: the size of a group
// times the square root of the number of busy groups.
func (p *Placer) reserve(m describer.Model) float64 {
	size := float64(m.GroupSize)
	return size * math.Sqrt(p.msg.Demand[m.Name]/size)
}

// share returns the fraction of all instances that the configuration declares for a
// model.
func (p *Placer) share(model describer.Model) float64 {
	total := 0.0
	for _, m := range p.msg.Engine.Models {
		total += m.InitialShare
	}
	if total <= 0 || math.IsInf(total, 0) {
		return 1 / float64(max(len(p.msg.Engine.Models), 1))
	}
	return model.InitialShare / total
}

// formGroups forms groups from free endpoints, starting with the neediest model.
// Preemption for the neediest model takes precedence over groups of other models.
func (p *Placer) formGroups() {
	for p.formNextGroup() {
	}
}

// formNextGroup forms one group, or preempts groups for a later plan, and reports
// whether it formed one.
func (p *Placer) formNextGroup() bool {
	free := p.freeEndpoints()
	for i, model := range p.modelsByNeed() {
		if i > 0 && len(p.msg.Demand) > 0 {
			if p.ratios()[model.Name] > sufficientRatio {
				return false
			}
			maps.DeleteFunc(free, func(domain string, _ []tracker.Endpoint) bool { return p.isPreempting(domain) })
		}
		if members := p.chooseMembers(model, free); members != nil {
			p.newGroup(model, members)
			return true
		}
		if i == 0 && p.preempt(model, free) {
			return false
		}
	}
	return false
}

// modelsByNeed returns the models ordered by ratio, the lowest first. Without demand
// the models with larger groups go first until they reach their share.
func (p *Placer) modelsByNeed() []describer.Model {
	ratios := p.ratios()
	models := slices.Clone(p.msg.Engine.Models)
	sortKey := func(m describer.Model) float64 {
		// Half a group more, so that the number of groups is rounded to the share.
		halfGroupMore := ratios[m.Name] + float64(m.GroupSize)/max(p.targetInstances(m), 1)/2
		if len(p.msg.Demand) == 0 && halfGroupMore <= 1 {
			return -float64(m.GroupSize)
		}
		return ratios[m.Name]
	}
	slices.SortStableFunc(models, func(a, b describer.Model) int {
		return cmp.Or(cmp.Compare(sortKey(a), sortKey(b)), cmp.Compare(b.GroupSize, a.GroupSize))
	})
	return models
}

// warmEndpoints returns the endpoints that can join a group of a model without a
// load from the weight store.
func (p *Placer) warmEndpoints(endpoints []tracker.Endpoint, model describer.Model) []tracker.Endpoint {
	return slices.DeleteFunc(slices.Clone(endpoints), func(e tracker.Endpoint) bool { return p.joinTime(e, model) >= model.ColdLoadTime })
}

// countWarmMembers counts the members that can join a group of a model without a
// load from the weight store.
func (p *Placer) countWarmMembers(g *Group, model describer.Model) int {
	n := 0
	for _, m := range g.Members {
		if p.joinTime(p.byID[m.Instance], model) < model.ColdLoadTime {
			n++
		}
	}
	return n
}

// chooseMembers returns the endpoints of one fabric domain that form a group of a
// model the soonest, or nil if no domain has enough. Once there is traffic, only
// endpoints that need no load from the weight store are eligible.
func (p *Placer) chooseMembers(model describer.Model, free map[string][]tracker.Endpoint) []tracker.Endpoint {
	var best []tracker.Endpoint
	bestJoinTime := time.Duration(0)
	for _, domain := range slices.Sorted(maps.Keys(free)) {
		candidates := slices.Clone(free[domain])
		if p.msg.hasTraffic() {
			candidates = p.warmEndpoints(candidates, model)
		}
		if len(candidates) < model.GroupSize {
			continue
		}
		slices.SortStableFunc(candidates, func(a, b tracker.Endpoint) int {
			return cmp.Or(cmp.Compare(p.joinTime(a, model), p.joinTime(b, model)), compareEndpoints(a, b))
		})
		candidates = candidates[:model.GroupSize]
		slowest := p.joinTime(candidates[len(candidates)-1], model)
		if best == nil || slowest < bestJoinTime || (slowest == bestJoinTime && len(free[domain]) > len(free[best[0].Report.FabricDomain])) {
			best, bestJoinTime = candidates, slowest
		}
	}
	return best
}
