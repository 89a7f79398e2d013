package placer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"papayaseam/internal/describer"
	"papayaseam/internal/tracker"
)

// recentLoads drops load starts older than the load window and returns the number
// left, with those of a previous leader.
func (p *Placer) recentLoads() float64 {
	isOld := func(startedAt time.Duration) bool { return p.msg.Now-startedAt > p.options.loadWindow }
	p.loadStarts = slices.DeleteFunc(p.loadStarts, isOld)
	recent := float64(len(p.loadStarts))
	if !isOld(p.options.previousLoadsAt) {
		recent += p.options.previousLoads
	}
	return recent
}

// stageModels orders hosts to load a model that they may serve next, in the
// background. Loads with the highest gain go first, because the weight store's load
// limit is tight after endpoints were lost. Before there is traffic, loads start at
// a higher rate.
func (p *Placer) stageModels() {
	p.dropEndedLoads()
	if p.storeLimitReached() {
		return
	}
	counts := p.countCopies()
	for _, c := range p.loadCandidates(counts) {
		if p.storeLimitReached() {
			return
		}
		// Loads started in this loop may have changed the best load for the host.
		c, ok := p.bestLoad(c.host, counts)
		if !ok {
			continue
		}
		p.startLoad(c)
		key := domainModel{c.host.Report.FabricDomain, c.model.Name}
		counts.warmHosts[key]++
		if counts.groupOf[c.host.View.Instance] == nil {
			counts.spareHosts[key]++
		}
	}
}

// canLoad reports whether a host can start a load now. Hosts in evacuated failure domains
// start none, so that the store's limit is left to the others.
func (p *Placer) canLoad(e tracker.Endpoint) bool {
	_, pending := p.pendingLoads[e.View.Instance]
	return !pending && !p.isEvacuated(e) && e.ReportedAt != 0 && !e.Report.Busy && p.health(Member{e.View.Instance, e.View.Born}) == healthy
}

// dropEndedLoads drops pending loads that are complete or timed out, or whose host is
// gone or unreachable.
func (p *Placer) dropEndedLoads() {
	maps.DeleteFunc(p.pendingLoads, func(id string, load pendingLoad) bool {
		e, ok := p.byID[id]
		return !ok || p.isUnreachable(e) || slices.Contains(e.Report.Staged, load.model) || p.msg.Now-load.startedAt > pendingLoadTimeout
	})
}

// startLoad orders a load and counts it against the store's limits.
func (p *Placer) startLoad(c loadCandidate) {
	id := c.host.View.Instance
	p.pendingLoads[id] = pendingLoad{p.msg.Now, c.model.Name}
	p.loadStarts = append(p.loadStarts, p.msg.Now)
	p.orders = append(p.orders, Order{Instance: id, BootTime: c.host.View.Born, Op: OpStage, Model: c.model.Name, AcceptedOrders: c.host.Report.Orders})
}

// storeLimitReached reports whether the weight store's limits allow no load now.
// Before there is traffic, loads are fast and do not count against the limits; their
// rate is still bounded, so that loads that start as the first requests arrive stay
// within the limit.
func (p *Placer) storeLimitReached() bool {
	recent := p.recentLoads() + 1
	if !p.msg.hasTraffic() {
		return recent > preTrafficLoadFactor*p.msg.Engine.MaxLoadsPerSec
	}
	return len(p.pendingLoads) >= max(p.msg.Engine.MaxConcurrentLoads, 1) || recent > p.msg.Engine.MaxLoadsPerSec
}

// preTrafficLoadFactor multiplies the permitted load rate before there is traffic.
const preTrafficLoadFactor = 2

// loadCandidate is a load that a host could start.
type loadCandidate struct {
	host  tracker.Endpoint
	model describer.Model
	gain  float64
}

// loadCandidates returns the best load of each host that can start one, ordered by
// gain, the highest first.
func (p *Placer) loadCandidates(counts copyCounts) []loadCandidate {
	var candidates []loadCandidate
	for _, e := range p.msg.Endpoints {
		g := counts.groupOf[e.View.Instance]
		if !p.canLoad(e) || (g != nil && g.State != Open) {
			continue
		}
		if c, ok := p.bestLoad(e, counts); ok {
			candidates = append(candidates, c)
		}
	}
	slices.SortStableFunc(candidates, func(a, b loadCandidate) int { return cmp.Compare(b.gain, a.gain) })
	return candidates
}

// domainModel is the key of counts by fabric domain and model.
type domainModel struct{ domain, model string }

// copyCounts counts the copies of weights that new groups could use.
type copyCounts struct {
	groupOf      map[string]*Group   // groupOf maps instances to their groups.
	ratios       map[string]float64  // ratios are those of Placer.ratios.
	healthyHosts map[string]int      // healthyHosts counts healthy hosts by fabric domain.
	warmHosts    map[domainModel]int // warmHosts counts healthy hosts that hold or load the model and are in no group of it.
	spareHosts   map[domainModel]int // spareHosts counts the warm hosts that are in no group at all.
	groupCounts  map[domainModel]int // groupCounts counts the groups that are not closing.
}

// countCopies returns the counts for the current plan.
func (p *Placer) countCopies() copyCounts {
	c := copyCounts{groupOf: p.groupsByInstance(), ratios: p.ratios(), healthyHosts: map[string]int{}, warmHosts: map[domainModel]int{}, spareHosts: map[domainModel]int{}, groupCounts: map[domainModel]int{}}
	for _, g := range p.groups {
		if g.State != Closing {
			c.groupCounts[domainModel{g.FabricDomain, g.Model}]++
		}
	}
	for _, e := range p.msg.Endpoints {
		if e.ReportedAt == 0 || p.health(Member{e.View.Instance, e.View.Born}) != healthy {
			continue
		}
		domain := e.Report.FabricDomain
		c.healthyHosts[domain]++
		for _, model := range p.msg.Engine.Models {
			warm := p.pendingLoads[e.View.Instance].model == model.Name || p.joinTime(e, model) < model.ColdLoadTime
			g := c.groupOf[e.View.Instance]
			if warm && (g == nil || g.Model != model.Name) {
				c.warmHosts[domainModel{domain, model.Name}]++
			}
			if warm && g == nil {
				c.spareHosts[domainModel{domain, model.Name}]++
			}
		}
	}
	return c
}

// servingHostFactor scales the gain of a load on a host that is in a group, relative
// to a free host.
const servingHostFactor = 0.5

// bestLoad returns the load with the highest gain for a host, and false if no load is
// worthwhile. A host keeps one staged model besides the one that it served last, so
// a staged model that is still needed is not replaced.
func (p *Placer) bestLoad(e tracker.Endpoint, counts copyCounts) (loadCandidate, bool) {
	best := loadCandidate{host: e}
	for _, model := range p.msg.Engine.Models {
		if p.servedLast(e, model) {
			continue
		}
		if slices.Contains(e.Report.Staged, model.Name) {
			if counts.ratios[model.Name] < sufficientRatio {
				return best, false
			}
			continue
		}
		gain := p.loadGain(model, e.Report.FabricDomain, counts)
		if counts.groupOf[e.View.Instance] != nil {
			gain *= servingHostFactor
		}
		if gain > best.gain {
			best.model, best.gain = model, gain
		}
	}
	return best, best.gain > 0
}

const (
	// replacementTime is how long it takes for one more instance of a fabric domain
	// to become available, about the interval between losses and arrivals.
	replacementTime = 4 * time.Second
	// minDeficit is the deficit assumed for a model that has enough instances, so that
	// a load for it keeps some gain.
	minDeficit = 0.05
)

// memberLossProbability is the probability that a group loses a member while a spare
// is kept for it.
const memberLossProbability = 0.5

// loadGain returns the gain per second of one more copy of a model in a fabric
// domain. It is the model's deficit times the size of a group, divided by the number
// of copies that the next group needs and by the time until it can form. If the
// model's groups in the domain have too few spares and this is higher, it is the
// expected loss without one of these groups, divided by the same time.
func (p *Placer) loadGain(model describer.Model, domain string, counts copyCounts) float64 {
	key := domainModel{domain, model.Name}
	size := float64(model.GroupSize)
	ratio := counts.ratios[model.Name]
	missingCopies := model.GroupSize - counts.warmHosts[key]%model.GroupSize
	missingHosts := max(model.GroupSize-counts.healthyHosts[domain], 0)
	secondsToForm := model.ColdLoadTime.Seconds() + float64(missingHosts)*replacementTime.Seconds()
	benefit := max(sufficientRatio-ratio, minDeficit) * size / float64(missingCopies)
	if counts.spareHosts[key] < min(counts.groupCounts[key], maxSpares) {
		ratioAfterLoss := ratio - size/max(p.targetInstances(model), 1)
		benefit = max(benefit, memberLossProbability*size*max(sufficientRatio-ratioAfterLoss, minDeficit))
	}
	return benefit / secondsToForm
}

// maxSpares limits the spare hosts that a fabric domain keeps for the groups of one
// model.
const maxSpares = 2

// pendingLoad is a load that was ordered from a host and is not known to be complete.
type pendingLoad struct {
	startedAt time.Duration
	model     string
}

// RecordStageFailure records that a stage order to an instance failed, so that
// another one may be sent.
func (p *Placer) RecordStageFailure(instance string) { delete(p.pendingLoads, instance) }

// pendingLoadTimeout exceeds the duration of any load. A pending load that is older
// counts as lost.
const pendingLoadTimeout = 40 * time.Second
