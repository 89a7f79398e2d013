package planner

import (
	"slices"

	"papayaseam/internal/messenger"
)

// dissolveUndeclared dissolves the model groups that are no longer declared.
func (r *round) dissolveUndeclared() {
	for name, group := range r.groups {
		if !group.Active || group.Model == "" {
			continue
		}
		spec, ok := r.models[group.Model]
		declared := false
		for i := range spec.Groups {
			declared = declared || GroupName(group.Model, i) == name
		}
		if !ok || !declared {
			r.dissolve(name)
		}
	}
}

// ServiceGroupName returns the name of the group of one service instance.
func ServiceGroupName(service, instance string) string { return service + "@" + instance }

// planServices creates a group with one member for each endpoint of a declared
// service, and dissolves it once the endpoint has left or is lost.
func (r *round) planServices() {
	specs := map[string]messenger.ServiceSpec{}
	for _, object := range r.msg.Services {
		specs[object.Name] = *object.Service
	}
	for name, group := range r.groups {
		if group.Service == "" || !group.Active {
			continue
		}
		spec, declared := specs[group.Service]
		instance, known := r.instances[group.Members[0].Instance]
		lost := r.isLost(group.Members[0].Instance, r.options.minSilenceTimeoutMs)
		switch {
		case !declared || lost:
			r.dissolve(name)
		case known && (instance.Address != group.Members[0].Address || spec.Parallel != group.Parallel || spec.Repeatable != group.Repeatable):
			r.assign(name, newServiceGroup(group.Service, spec, instance))
		}
	}
	for _, instance := range r.msg.Instances {
		spec, declared := specs[instance.Service]
		if declared && r.usable(instance) && r.groupByInstance[instance.Name] == "" {
			r.assign(ServiceGroupName(instance.Service, instance.Name), newServiceGroup(instance.Service, spec, instance))
		}
	}
}

func newServiceGroup(service string, spec messenger.ServiceSpec, instance Instance) messenger.GroupSpec {
	return messenger.GroupSpec{
		Service: service, Parallel: spec.Parallel, Repeatable: spec.Repeatable, Active: true,
		Members: []messenger.Member{newMember(instance)}, Region: instance.Region,
		FailureDomain: instance.FailureDomain, FabricDomain: instance.FabricDomain,
	}
}

// assignStandbys assigns a standby to each member that straggles or is about to
// stop, as far as the load limit and the free instances allow.
func (r *round) assignStandbys(name string) {
	group := r.groups[name]
	if r.changedGroups[name] || !group.Active || !r.options.standbys || len(r.lostRanks(group)) > 0 {
		return
	}
	next := group
	next.Standbys = slices.DeleteFunc(slices.Clone(group.Standbys), func(m messenger.Member) bool {
		return !r.usable(r.instances[m.Instance]) || !r.needsStandby(group.Members[m.Rank].Instance)
	})
	for rank, m := range group.Members {
		if !r.needsStandby(m.Instance) || hasStandby(next, rank) || r.activeLoads >= r.options.maxLoads {
			continue
		}
		instance, ok := r.findReplacement(next, rank, standbyNames(next))
		if !ok {
			break
		}
		standby := newMember(instance)
		standby.Rank = rank
		next.Standbys = append(next.Standbys, standby)
		next.MayLoad = true
		r.activeLoads++
	}
	if !slices.Equal(next.Standbys, group.Standbys) {
		r.assign(name, next)
	}
}

// needsStandby reports whether an instance is to be replaced while it still serves.
func (r *round) needsStandby(name string) bool {
	return r.instances[name].Straggling
}

func hasStandby(group messenger.GroupSpec, rank int) bool {
	return slices.ContainsFunc(group.Standbys, func(m messenger.Member) bool { return m.Rank == rank })
}

func standbyNames(group messenger.GroupSpec) map[string]bool {
	names := map[string]bool{}
	for _, m := range group.Standbys {
		names[m.Instance] = true
	}
	return names
}

// promoteStandbys replaces members by their standbys that have loaded. All standbys
// of a group that are ready are promoted in the same epoch.
func (r *round) promoteStandbys(name string) {
	group := r.groups[name]
	if r.changedGroups[name] || !group.Active {
		return
	}
	next := group
	next.Members = slices.Clone(group.Members)
	next.Standbys = nil
	for _, standby := range group.Standbys {
		instance := r.instances[standby.Instance]
		ready := r.usable(instance) && instance.LoadedWeights == messenger.LoadedName(group.Model, group.Version, standby.Rank)
		if ready && (r.needsStandby(group.Members[standby.Rank].Instance) || r.isLost(group.Members[standby.Rank].Instance, group.LoadMs)) {
			next.Members[standby.Rank] = newMember(instance)
			continue
		}
		next.Standbys = append(next.Standbys, standby)
	}
	if len(next.Standbys) < len(group.Standbys) {
		r.assign(name, next)
	}
}

// rollOut applies changed model specs. While other groups of a model are not
// serving, a group that serves keeps its spec, so that a model's groups change
// one at a time.
func (r *round) rollOut(groupNames []string) {
	notServing := map[string]int{}
	for _, name := range groupNames {
		group := r.groups[name]
		if group.Active && r.msg.ReadyEpochs[name] != group.Epoch {
			notServing[group.Model]++
		}
	}
	for _, name := range groupNames {
		group := r.groups[name]
		spec := r.models[group.Model]
		if r.changedGroups[name] || !group.Active || !outdated(group, spec) {
			continue
		}
		serving := r.msg.ReadyEpochs[name] == group.Epoch
		if serving && notServing[group.Model] > 0 {
			continue
		}
		notServing[group.Model]++
		r.applySpec(name, group, spec)
	}
}

// outdated reports whether a group differs from its model's spec.
func outdated(group messenger.GroupSpec, spec messenger.ModelSpec) bool {
	return group.Version != spec.Version || len(group.Members) != spec.Members ||
		group.Parallel != spec.Parallel || group.LoadMs != spec.LoadMs || !slices.Equal(group.Adapters, spec.Adapters)
}

// applySpec changes a group to a new spec of its model and keeps as many members as
// possible. If its fabric domain lacks free instances for additional members, the
// group is dissolved.
func (r *round) applySpec(name string, group messenger.GroupSpec, spec messenger.ModelSpec) {
	next := newModelGroup(group.Model, spec)
	next.Region, next.FailureDomain, next.FabricDomain = group.Region, group.FailureDomain, group.FabricDomain
	next.Members = slices.Clone(group.Members[:min(len(group.Members), spec.Members)])
	if missing := spec.Members - len(next.Members); missing > 0 {
		free := r.freeInstances(group.FabricDomain, "")
		if len(free) < missing {
			r.dissolve(name)
			return
		}
		for _, instance := range free[:missing] {
			next.Members = append(next.Members, newMember(instance))
		}
	}
	next.MayLoad = true
	r.assign(name, next)
}
