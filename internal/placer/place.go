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

// rejoinTime is what a member needs to join a group of the model that it served
// last.
const rejoinTime = 200 * time.Millisecond

// otherModelBelow is the ratio of a model's instances to its demand below which
// it may use instances that a needier model can not use yet.
const otherModelBelow = 1.2

// readyIn estimates how long an endpoint takes to join a group of a model.
func (p *Placer) readyIn(e tracker.Endpoint, model describer.Model) time.Duration {
	switch {
	case slices.Contains(e.Report.Models, model.Name):
		return rejoinTime
	case slices.Contains(e.Report.Staged, model.Name):
		return model.WarmLoadTime
	}
	return model.ColdLoadTime
}

// free returns the sound endpoints that are in no group, by fabric domain.
func (p *Placer) free() map[string][]tracker.Endpoint {
	taken := p.memberships()
	free := map[string][]tracker.Endpoint{}
	for _, e := range p.msg.Endpoints {
		sound := p.health(Member{e.View.Instance, e.View.Born}) == sound
		if taken[e.View.Instance] != nil || p.heldBy(e) || !sound || e.ReportedAt == 0 || e.FailingSince != 0 {
			continue
		}
		free[e.Report.FabricDomain] = append(free[e.Report.FabricDomain], e)
	}
	return free
}

// memberships maps instances to the groups that hold them.
func (p *Placer) memberships() map[string]*Group {
	held := map[string]*Group{}
	for _, g := range p.groups {
		for _, m := range g.Members {
			if !p.hasParted(g, m) {
				held[m.Instance] = g
			}
		}
	}
	return held
}

// heldBy reports whether an endpoint says that it is in a standing group that
// does not count it as a member.
func (p *Placer) heldBy(e tracker.Endpoint) bool {
	g := p.groups[e.Report.Group]
	return g != nil && g.Epoch == e.Report.Epoch && !slices.Contains(g.Members, Member{e.View.Instance, e.View.Born})
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

// DemandSummary returns for each model the instances held, wanted and kept busy, and
// those that could join a group of it without a load, in all and in the fabric
// domain that has most.
func (p *Placer) DemandSummary() string {
	var parts []string
	ratios := p.ratios()
	for _, m := range p.msg.Engine.Models {
		wanted := p.wanted(m)
		warm, most := p.warmCounts(m)
		parts = append(parts, fmt.Sprintf("%s:%.0f/%.1f/%.1f/%d/%d", m.Name, ratios[m.Name]*max(wanted, 1), wanted, p.msg.Demand[m.Name], warm, most))
	}
	return strings.Join(parts, ",")
}

// warmCounts counts the sound instances that hold a model, in all and in the
// fabric domain that has most.
func (p *Placer) warmCounts(model describer.Model) (all, most int) {
	domains := map[string]int{}
	for _, e := range p.msg.Endpoints {
		if p.health(Member{e.View.Instance, e.View.Born}) == sound && p.readyIn(e, model) < model.ColdLoadTime {
			all++
			domains[e.Report.FabricDomain]++
			most = max(most, domains[e.Report.FabricDomain])
		}
	}
	return all, most
}

// wanted returns the instances that a model should have: its part of all by
// the declared shares, or, once there is demand, what keeps its groups busy and
// a reserve that grows with the square root of that number of groups, so that
// few large groups are not filled as far as many small ones.
func (p *Placer) wanted(model describer.Model) float64 {
	if len(p.msg.Demand) == 0 {
		return p.share(model) * float64(len(p.msg.Endpoints))
	}
	base, reserve := 0.0, 0.0
	for _, m := range p.msg.Engine.Models {
		base += p.msg.Demand[m.Name]
		reserve += p.reserve(m)
	}
	k := max((float64(len(p.msg.Endpoints))-base)/max(reserve, 1), leastReserve)
	return p.msg.Demand[model.Name] + k*p.reserve(model)
}

// leastReserve is the factor of the reserve where the demand exceeds all
// instances.
const leastReserve = 0.1

// reserve is the square root of a model's busy groups, in instances.
func (p *Placer) reserve(m describer.Model) float64 {
	size := float64(m.GroupSize)
	return size * math.Sqrt(p.msg.Demand[m.Name]/size)
}

func (p *Placer) share(model describer.Model) float64 {
	total := 0.0
	for _, m := range p.msg.Engine.Models {
		total += m.InitialShare
	}
	if total <= 0 {
		return 1 / float64(max(len(p.msg.Engine.Models), 1))
	}
	return model.InitialShare / total
}

// place forms groups from free endpoints, the neediest model first. Members
// that another group can complete for it go before groups of other models.
func (p *Placer) place() {
	for p.placeOne() {
	}
}

func (p *Placer) placeOne() bool {
	free := p.free()
	for i, model := range p.byNeed() {
		if i > 0 && len(p.msg.Demand) > 0 {
			if p.ratios()[model.Name] > otherModelBelow {
				return false
			}
			maps.DeleteFunc(free, func(domain string, _ []tracker.Endpoint) bool { return p.giving(domain) })
		}
		if members := p.choose(model, free); members != nil {
			p.newGroup(model, members)
			return true
		}
		if i == 0 && p.steal(model, free) {
			return false
		}
	}
	return false
}

// byNeed returns the models, the neediest first. Before there is demand the
// larger groups go first, as long as their share is not reached.
func (p *Placer) byNeed() []describer.Model {
	ratios := p.ratios()
	models := slices.Clone(p.msg.Engine.Models)
	rank := func(m describer.Model) float64 {
		next := ratios[m.Name] + float64(m.GroupSize)/max(p.wanted(m), 1)/2
		if len(p.msg.Demand) == 0 && next <= 1 {
			return -float64(m.GroupSize)
		}
		return ratios[m.Name]
	}
	slices.SortStableFunc(models, func(a, b describer.Model) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(b.GroupSize, a.GroupSize))
	})
	return models
}

// stealGain is how much better the worst-served model must stand after groups of
// other models were given up for it.
const stealGain = 1.15

// mostDonors bounds the groups that are given up for one of a model that stands
// already; a model without any group gets its first one at any such price, so
// that none of its clients are left out.
const mostDonors = 2

// steal gives up groups of models that have plenty where their members and free
// endpoints of the domain complete a group of the neediest model.
func (p *Placer) steal(needy describer.Model, free map[string][]tracker.Endpoint) bool {
	if len(p.msg.Demand) == 0 {
		return false
	}
	domains := p.domains()
	if p.givers(domains) >= p.giversAtOnce() {
		return false
	}
	var best []*Group
	groups := p.leastBusy()
	for _, domain := range domains {
		if p.giving(domain) || p.gaveLately(domain) {
			continue
		}
		donors := p.donors(groups, domain, needy, len(p.warm(free[domain], needy)))
		if donors != nil && (best == nil || len(donors) < len(best)) {
			best = donors
		}
	}
	for _, donor := range best {
		donor.given = true
		p.gaveAt[donor.FabricDomain] = p.msg.Now
		p.startClose(donor, "its members complete a group of "+needy.Name, false)
	}
	return best != nil
}

// domainsPerGiver is of how many fabric domains one may give up groups at a
// time: those given up serve nobody for some seconds.
const domainsPerGiver = 4

// giversAtOnce is the number of fabric domains that may give up groups at a time.
func (p *Placer) giversAtOnce() int { return max(len(p.domains())/domainsPerGiver, 1) }

// givers counts the fabric domains that give up groups, or did of late.
func (p *Placer) givers(domains []string) int {
	n := 0
	for _, domain := range domains {
		if p.giving(domain) || p.gaveLately(domain) {
			n++
		}
	}
	return n
}

func (p *Placer) gaveLately(domain string) bool {
	at, ok := p.gaveAt[domain]
	return ok && p.msg.Now-at < giveEvery
}

func (p *Placer) domains() []string {
	domains := map[string]bool{}
	for _, g := range p.groups {
		domains[g.FabricDomain] = true
	}
	return slices.Sorted(maps.Keys(domains))
}

// donors returns the groups of a domain whose members complete a group of the
// neediest model beside the free ones, or nil where there are none or the
// worst-served model would not gain by it.
func (p *Placer) donors(groups []*Group, domain string, needy describer.Model, free int) []*Group {
	var donors []*Group
	held := p.ratios()
	before := held[needy.Name]
	most := mostDonors
	if before == 0 {
		most = needy.GroupSize
	}
	for _, g := range groups {
		model, ok := p.msg.Engine.Model(g.Model)
		if !ok || g.FabricDomain != domain || !p.mayGive(g, needy) || len(donors) == most {
			continue
		}
		donors = append(donors, g)
		free += p.warmMembers(g, needy)
		held[g.Model] -= float64(model.GroupSize) / max(p.wanted(model), 1)
		before = min(before, held[g.Model]+float64(model.GroupSize)/max(p.wanted(model), 1))
		if free >= needy.GroupSize {
			break
		}
	}
	if len(donors) == 0 || free < needy.GroupSize {
		return nil
	}
	after := held[needy.Name] + float64(needy.GroupSize)/max(p.wanted(needy), 1)
	if p.giversAtOnce() > 1 {
		// One group is a small part of a large fleet; several are won at a time.
		after = math.Inf(1)
	}
	for _, donor := range donors {
		after = min(after, held[donor.Model])
	}
	if after <= before*stealGain {
		return nil
	}
	return donors
}

// leastBusy returns all groups, those with the least running work first, since
// they are given up the soonest.
func (p *Placer) leastBusy() []*Group {
	list := slices.Collect(maps.Values(p.groups))
	slices.SortFunc(list, func(a, b *Group) int {
		return cmp.Or(cmp.Compare(p.byID[a.Head().Instance].Report.Active, p.byID[b.Head().Instance].Report.Active), cmp.Compare(a.Name, b.Name))
	})
	return list
}

func (p *Placer) mayGive(g *Group, needy describer.Model) bool {
	return g.State == Open && g.Model != needy.Name && p.msg.Now-g.StateSince >= settled && p.allSound(g)
}

// giveEvery keeps two models from giving the same instances back and forth.
const giveEvery = 4 * time.Second

func (p *Placer) allSound(g *Group) bool {
	for _, m := range g.Members {
		if p.health(m) != sound || p.byID[m.Instance].FailingSince != 0 {
			return false
		}
	}
	return true
}

// settled is how long a group serves before it may be given up.
const settled = 3 * time.Second

// giving reports whether a group of a domain is being given up for another.
func (p *Placer) giving(domain string) bool {
	for _, g := range p.groups {
		if g.FabricDomain == domain && g.State == Closing && g.given && g.parted == 0 {
			return true
		}
	}
	return false
}

// warm returns the endpoints that need no load from the store for a model.
func (p *Placer) warm(list []tracker.Endpoint, model describer.Model) []tracker.Endpoint {
	return slices.DeleteFunc(slices.Clone(list), func(e tracker.Endpoint) bool { return p.readyIn(e, model) >= model.ColdLoadTime })
}

func (p *Placer) warmMembers(g *Group, model describer.Model) int {
	n := 0
	for _, m := range g.Members {
		if p.readyIn(p.byID[m.Instance], model) < model.ColdLoadTime {
			n++
		}
	}
	return n
}

// choose returns the endpoints of one domain that form a group of a model the
// soonest, or nil where no domain has enough or the store allows no load now.
func (p *Placer) choose(model describer.Model, free map[string][]tracker.Endpoint) []tracker.Endpoint {
	var best []tracker.Endpoint
	bestTime := time.Duration(0)
	for _, domain := range slices.Sorted(maps.Keys(free)) {
		list := slices.Clone(free[domain])
		if p.msg.traffic() {
			list = p.warm(list, model)
		}
		if len(list) < model.GroupSize {
			continue
		}
		slices.SortStableFunc(list, func(a, b tracker.Endpoint) int {
			return cmp.Or(cmp.Compare(p.readyIn(a, model), p.readyIn(b, model)), compareEndpoints(a, b))
		})
		list = list[:model.GroupSize]
		last := p.readyIn(list[len(list)-1], model)
		if best == nil || last < bestTime || (last == bestTime && len(free[domain]) > len(free[best[0].Report.FabricDomain])) {
			best, bestTime = list, last
		}
	}
	return best
}
