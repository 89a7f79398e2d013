package placer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"papayaseam/internal/describer"
	"papayaseam/internal/tracker"
)

// minPreemptionGain is the factor by which a preemption must raise the lowest ratio
// of the models involved.
const minPreemptionGain = 1.15

// maxVictims limits the groups that are preempted for one group of a model that has
// others. For its first group a model may preempt as many as the group has members,
// since its clients are not served at all.
const maxVictims = 2

// preempt closes groups of better-served models in the fabric domain where the
// fewest of them, together with free endpoints, complete a group of the neediest
// model. It reports whether it closed any.
func (p *Placer) preempt(neediest describer.Model, free map[string][]tracker.Endpoint) bool {
	if len(p.msg.Demand) == 0 {
		return false
	}
	domains := p.domains()
	if p.countPreemptingDomains(domains) >= p.maxPreemptingDomains() {
		return false
	}
	var best []*Group
	groups := p.leastBusyGroups()
	for _, domain := range domains {
		if p.isPreempting(domain) || p.preemptedRecently(domain) {
			continue
		}
		victims := p.chooseVictims(groups, domain, neediest, len(p.warmEndpoints(free[domain], neediest)))
		if victims != nil && (best == nil || len(victims) < len(best)) {
			best = victims
		}
	}
	for _, victim := range best {
		victim.preempted = true
		p.preemptedAt[victim.FabricDomain] = p.msg.Now
		p.startClose(victim, "preempted for a group of "+neediest.Name, false)
	}
	return best != nil
}

// domainsPerPreemption limits preemption to one in this many fabric domains at a
// time, because preempted instances serve no requests for some seconds.
const domainsPerPreemption = 4

// maxPreemptingDomains returns the number of fabric domains in which groups may be
// preempted at a time.
func (p *Placer) maxPreemptingDomains() int { return max(len(p.domains())/domainsPerPreemption, 1) }

// countPreemptingDomains counts the fabric domains in which groups are being
// preempted or were preempted recently.
func (p *Placer) countPreemptingDomains(domains []string) int {
	n := 0
	for _, domain := range domains {
		if p.isPreempting(domain) || p.preemptedRecently(domain) {
			n++
		}
	}
	return n
}

// preemptedRecently reports whether a group of a domain was preempted within the
// cooldown.
func (p *Placer) preemptedRecently(domain string) bool {
	preemptedAt, ok := p.preemptedAt[domain]
	return ok && p.msg.Now-preemptedAt < preemptionCooldown
}

// domains returns the fabric domains that have groups outside evacuated failure domains,
// sorted.
func (p *Placer) domains() []string {
	domains := map[string]bool{}
	for _, g := range p.groups {
		if !p.inEvacuated(g) {
			domains[g.FabricDomain] = true
		}
	}
	return slices.Sorted(maps.Keys(domains))
}

// chooseVictims returns the groups of a domain whose members, together with the
// available free endpoints, complete a group of the neediest model. It returns nil
// if there are none or the lowest ratio would not rise by minPreemptionGain.
func (p *Placer) chooseVictims(groups []*Group, domain string, neediest describer.Model, available int) []*Group {
	var victims []*Group
	ratios := p.ratios()
	lowestBefore := ratios[neediest.Name]
	maxCount := maxVictims
	if lowestBefore == 0 {
		maxCount = neediest.GroupSize
	}
	for _, g := range groups {
		model, ok := p.msg.Engine.Model(g.Model)
		if !ok || g.FabricDomain != domain || !p.isPreemptible(g, neediest) || len(victims) == maxCount {
			continue
		}
		victims = append(victims, g)
		available += p.countWarmMembers(g, neediest)
		ratios[g.Model] -= float64(model.GroupSize) / max(p.targetInstances(model), 1)
		lowestBefore = min(lowestBefore, ratios[g.Model]+float64(model.GroupSize)/max(p.targetInstances(model), 1))
		if available >= neediest.GroupSize {
			break
		}
	}
	if len(victims) == 0 || available < neediest.GroupSize {
		return nil
	}
	lowestAfter := ratios[neediest.Name] + float64(neediest.GroupSize)/max(p.targetInstances(neediest), 1)
	if p.maxPreemptingDomains() > 1 {
		// In a large fleet one group changes the neediest model's ratio too little to
		// meet the gain, and several are preempted at a time. Only the victims' ratios
		// count.
		lowestAfter = math.Inf(1)
	}
	for _, victim := range victims {
		lowestAfter = min(lowestAfter, ratios[victim.Model])
	}
	if lowestAfter <= lowestBefore*minPreemptionGain {
		return nil
	}
	return victims
}

// leastBusyGroups returns all groups ordered by active requests, the fewest first,
// because those drain soonest.
func (p *Placer) leastBusyGroups() []*Group {
	groups := slices.Collect(maps.Values(p.groups))
	slices.SortFunc(groups, func(a, b *Group) int {
		return cmp.Or(cmp.Compare(p.byID[a.Head().Instance].Report.Active, p.byID[b.Head().Instance].Report.Active), cmp.Compare(a.Name, b.Name))
	})
	return groups
}

// isPreemptible reports whether a group may be preempted for the neediest model.
func (p *Placer) isPreemptible(g *Group, neediest describer.Model) bool {
	return g.State == Open && g.Model != neediest.Name && p.msg.Now-g.StateSince >= minServingTime && !p.inEvacuated(g) && p.allHealthy(g)
}

// preemptionCooldown is the pause between preemptions in a fabric domain. It keeps
// two models from taking the same instances from each other in turn.
const preemptionCooldown = 4 * time.Second

// allHealthy reports whether all members are healthy and answered their last call.
func (p *Placer) allHealthy(g *Group) bool {
	for _, m := range g.Members {
		if p.health(m) != healthy || p.byID[m.Instance].FailingSince != 0 {
			return false
		}
	}
	return true
}

// minServingTime is how long a group must have served before it may be preempted.
const minServingTime = 3 * time.Second

// isPreempting reports whether a preempted group of a domain is still closing.
func (p *Placer) isPreempting(domain string) bool {
	for _, g := range p.groups {
		if g.FabricDomain == domain && g.State == Closing && g.preempted && g.detachedAt == 0 {
			return true
		}
	}
	return false
}
