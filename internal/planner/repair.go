package planner

import (
	"cmp"
	"fmt"
	"slices"

	"papayaseam/internal/messenger"
)

// repair completes a group with lost members. It tries, in this order, to replace
// the members by free instances of the fabric domain, to relocate the whole group,
// and to take members from another incomplete group of the fabric domain.
func (r *round) repair(name string) {
	group := r.groups[name]
	lostRanks := r.lostRanks(group)
	if len(lostRanks) == 0 || r.changedGroups[name] || !group.Active || r.options.replacementDisabled {
		return
	}
	if r.replaceLost(name, group, lostRanks) {
		return
	}
	if r.relocate(name, group) {
		return
	}
	if r.options.donorGroups && r.dissolveDonor(name, group, lostRanks) {
		r.replaceLost(name, group, lostRanks)
	}
}

// replaceLost replaces all lost members by standbys of the same rank or by free
// instances. It returns false and changes nothing if there are too few of them.
// If only the load limit prevents the replacement, it returns true and leaves the
// group for a later round.
func (r *round) replaceLost(name string, group messenger.GroupSpec, lostRanks []int) bool {
	next := group
	next.Members = slices.Clone(group.Members)
	used := map[string]bool{}
	for _, rank := range lostRanks {
		instance, ok := r.findReplacement(group, rank, used)
		if !ok {
			return false
		}
		used[instance.Name] = true
		next.Members[rank] = newMember(instance)
	}
	next.Standbys = slices.DeleteFunc(slices.Clone(group.Standbys), func(m messenger.Member) bool { return used[m.Instance] })
	if !r.reserveLoads(&next) {
		return true
	}
	r.assign(name, next)
	return true
}

// findReplacement returns a replacement for a rank that is not among the used
// instances: a standby of the rank or else a free instance, preferably one that has
// loaded the weights of the rank.
func (r *round) findReplacement(group messenger.GroupSpec, rank int, used map[string]bool) (Instance, bool) {
	for _, standby := range group.Standbys {
		instance := r.instances[standby.Instance]
		if standby.Rank == rank && r.usable(instance) && !used[instance.Name] {
			return instance, true
		}
	}
	for _, instance := range r.freeInstances(group.FabricDomain, messenger.LoadedName(group.Model, group.Version, rank)) {
		if !used[instance.Name] {
			return instance, true
		}
	}
	return Instance{}, false
}

// reserveLoads permits a group to load and counts the loads that it needs against
// the limit of the weight store; it returns false if the limit is reached. A
// group that needs a single load may exceed the limit by a fraction, so that it
// does not wait for groups that load all their members. A group that needs more
// loads than the limit may start when no other load is active.
func (r *round) reserveLoads(group *messenger.GroupSpec) bool {
	n := r.loadsNeeded(*group)
	limit := r.options.maxLoads
	if n == 1 {
		limit += limit / singleLoadHeadroomDivisor
	}
	if n > 0 && r.activeLoads > 0 && r.activeLoads+n > limit {
		return false
	}
	r.activeLoads += n
	group.MayLoad = true
	return true
}

// updateLoadPermissions permits groups whose members have lost their weights to
// load, by priority and then by the value of each load. It revokes the permission
// once a group serves with all weights loaded; otherwise all groups of a failure
// domain would load at the same time when it recovers from an outage.
func (r *round) updateLoadPermissions(groupNames []string) {
	groupNames = slices.Clone(groupNames)
	loadValues := map[string]float64{}
	for _, name := range groupNames {
		loadValues[name] = r.loadValue(r.groups[name])
	}
	slices.SortStableFunc(groupNames, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(r.models[r.groups[b].Model].Priority, r.models[r.groups[a].Model].Priority),
			cmp.Compare(loadValues[b], loadValues[a]),
		)
	})
	for _, name := range groupNames {
		group := r.groups[name]
		if r.changedGroups[name] || !group.Active {
			continue
		}
		needed := r.loadsNeeded(group)
		switch {
		case group.MayLoad && needed == 0 && r.msg.ReadyEpochs[name] == group.Epoch:
			group.MayLoad = false
			r.assign(name, group)
		case !group.MayLoad && needed > 0 && r.reserveLoads(&group):
			r.assign(name, group)
		}
	}
}

// loadValue returns the cost that each load for a group avoids per unit of time:
// the weighted sum of the group's downtime and its stranded accelerators, divided
// by the number of loads needed.
func (r *round) loadValue(group messenger.GroupSpec) float64 {
	stranded := 0
	for _, member := range group.Members {
		if instance, ok := r.instances[member.Instance]; ok && r.usable(instance) {
			stranded++
		}
	}
	benefit := r.options.downtimeWeight + r.options.strandedWeight*stranded
	return float64(benefit) / float64(max(1, r.loadsNeeded(group)))
}

// relocate moves an incomplete group to new members in a fabric domain chosen by
// placeGroup. It returns false if no fabric domain has enough free instances, and
// true without a change if the load limit is reached.
func (r *round) relocate(name string, group messenger.GroupSpec) bool {
	next, ok := r.placeGroup(group, len(group.Members))
	if !ok {
		return false
	}
	if r.reserveLoads(&next) {
		r.assign(name, next)
	}
	return true
}

// dissolveDonor dissolves another incomplete group of the same fabric domain if
// its healthy members and the free instances suffice to complete this one. A donor
// has a lower priority, or the same priority and no more healthy members, so that
// it would be repaired later. It returns false if there is no such group.
func (r *round) dissolveDonor(name string, group messenger.GroupSpec, lostRanks []int) bool {
	priority := r.models[group.Model].Priority
	var donors []string
	for otherName, otherGroup := range r.groups {
		healthy := len(otherGroup.Members) - len(r.lostRanks(otherGroup))
		repairedLater := r.models[otherGroup.Model].Priority < priority || (r.models[otherGroup.Model].Priority == priority && healthy <= len(group.Members)-len(lostRanks))
		eligible := len(r.lostRanks(otherGroup)) > 0 && healthy+len(r.freeInstances(otherGroup.FabricDomain, "")) >= len(lostRanks)
		if otherName != name && otherGroup.Active && otherGroup.Model != "" && otherGroup.FabricDomain == group.FabricDomain && eligible && repairedLater && !r.changedGroups[otherName] {
			donors = append(donors, otherName)
		}
	}
	if len(donors) == 0 {
		return false
	}
	slices.SortFunc(donors, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(r.models[r.groups[a].Model].Priority, r.models[r.groups[b].Model].Priority),
			cmp.Compare(len(r.lostRanks(r.groups[b])), len(r.lostRanks(r.groups[a]))),
			cmp.Compare(b, a),
		)
	})
	r.dissolve(donors[0])
	return true
}

// createGroups places the declared groups that are not active.
func (r *round) createGroups() {
	for _, missing := range r.missingGroups() {
		spec := r.models[missing.model]
		group := newModelGroup(missing.model, spec)
		next, ok := r.placeGroup(group, spec.Members)
		if ok && r.reserveLoads(&next) {
			r.assign(missing.name, next)
		}
	}
}

// missingGroup is a declared model group that is not active.
type missingGroup struct {
	name, model     string
	priority, index int
}

// GroupName returns the name of a model's group with the given index, counted
// from 0.
func GroupName(model string, index int) string { return fmt.Sprintf("%s-%d", model, index) }

// missingGroups returns the declared groups that are not active, sorted by
// descending priority and then by index, so that each model gets its first group
// before any model of the same priority gets its second.
func (r *round) missingGroups() []missingGroup {
	var groups []missingGroup
	for model, spec := range r.models {
		for i := range spec.Groups {
			name := GroupName(model, i)
			if !r.groups[name].Active && !r.changedGroups[name] {
				groups = append(groups, missingGroup{name, model, spec.Priority, i})
			}
		}
	}
	slices.SortFunc(groups, func(a, b missingGroup) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.index, b.index), cmp.Compare(a.name, b.name))
	})
	return groups
}

func newModelGroup(model string, spec messenger.ModelSpec) messenger.GroupSpec {
	return messenger.GroupSpec{
		Model: model, Version: spec.Version, Adapters: spec.Adapters, Parallel: spec.Parallel,
		LoadMs: spec.LoadMs, Repeatable: true, Active: true,
	}
}

// placeGroup assigns free instances of one fabric domain to a group. It prefers the
// failure domain with the fewest replicas of the model, then the fabric domain
// with the fewest free instances (best fit). It returns false if no fabric domain
// has enough free instances.
func (r *round) placeGroup(group messenger.GroupSpec, size int) (messenger.GroupSpec, bool) {
	replicas := map[string]int{}
	for _, other := range r.groups {
		if other.Active && other.Model == group.Model {
			replicas[other.FailureDomain]++
		}
	}
	var best []Instance
	for fabricDomain := range r.fabricDomains() {
		free := r.freeInstances(fabricDomain, "")
		if len(free) < size {
			continue
		}
		if best == nil || isBetterPlacement(free, best, replicas) {
			best = free
		}
	}
	if best == nil {
		return group, false
	}
	group.Members = nil
	group.Standbys = nil
	for _, instance := range best[:size] {
		group.Members = append(group.Members, newMember(instance))
	}
	group.Region, group.FailureDomain, group.FabricDomain = best[0].Region, best[0].FailureDomain, best[0].FabricDomain
	return group, true
}

func isBetterPlacement(a, b []Instance, replicas map[string]int) bool {
	return cmp.Or(
		cmp.Compare(replicas[a[0].FailureDomain], replicas[b[0].FailureDomain]),
		cmp.Compare(len(a), len(b)),
		cmp.Compare(a[0].FabricDomain, b[0].FabricDomain),
	) < 0
}

// fabricDomains returns the fabric domains with model engines.
func (r *round) fabricDomains() map[string]bool {
	fabricDomains := map[string]bool{}
	for _, instance := range r.instances {
		if instance.ModelEngine {
			fabricDomains[instance.FabricDomain] = true
		}
	}
	return fabricDomains
}
