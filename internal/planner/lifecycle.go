package planner

import (
	"slices"

	"papayaseam/internal/messenger"
)

// retire ends the groups that are no longer declared.
func (r *round) retire() {
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

// planServices gives each endpoint of a declared service a group of its own,
// and ends it when the endpoint has left or was given up.
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
		gone := r.givenUp(group.Members[0].Instance, r.options.minPatienceMs)
		switch {
		case !declared || gone:
			r.dissolve(name)
		case known && (instance.Address != group.Members[0].Address || spec.Parallel != group.Parallel || spec.Repeatable != group.Repeatable):
			r.assign(name, serviceGroup(group.Service, spec, instance))
		}
	}
	for _, instance := range r.msg.Instances {
		spec, declared := specs[instance.Service]
		if declared && r.usable(instance) && r.memberOf[instance.Name] == "" {
			r.assign(ServiceGroupName(instance.Service, instance.Name), serviceGroup(instance.Service, spec, instance))
		}
	}
}

func serviceGroup(service string, spec messenger.ServiceSpec, instance Instance) messenger.GroupSpec {
	return messenger.GroupSpec{
		Service: service, Parallel: spec.Parallel, Repeatable: spec.Repeatable, Active: true,
		Members: []messenger.Member{member(instance)}, Region: instance.Region,
		FailureDomain: instance.FailureDomain, FabricDomain: instance.FabricDomain,
	}
}

// replaceAhead gives a standby to each member that straggles or is to be
// replaced before it stops.
func (r *round) replaceAhead(name string) {
	group := r.groups[name]
	if r.moved[name] || !group.Active || !r.options.standbys || len(r.lost(group)) > 0 {
		return
	}
	next := group
	next.Standbys = slices.DeleteFunc(slices.Clone(group.Standbys), func(m messenger.Member) bool {
		return !r.usable(r.instances[m.Instance]) || !r.wantsSwap(group.Members[m.Rank].Instance)
	})
	for rank, m := range group.Members {
		if !r.wantsSwap(m.Instance) || hasStandby(next, rank) || r.loads >= r.options.maxLoads {
			continue
		}
		instance, ok := r.substitute(next, rank, standbyNames(next))
		if !ok {
			break
		}
		standby := member(instance)
		standby.Rank = rank
		next.Standbys = append(next.Standbys, standby)
		next.MayLoad = true
		r.loads++
	}
	if !slices.Equal(next.Standbys, group.Standbys) {
		r.assign(name, next)
	}
}

func (r *round) wantsSwap(name string) bool {
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

// swapStandbys puts standbys that have loaded in place of the members they
// stand by for, all that are ready in one epoch.
func (r *round) swapStandbys(name string) {
	group := r.groups[name]
	if r.moved[name] || !group.Active {
		return
	}
	next := group
	next.Members = slices.Clone(group.Members)
	next.Standbys = nil
	for _, standby := range group.Standbys {
		instance := r.instances[standby.Instance]
		ready := r.usable(instance) && instance.LoadedWeights == messenger.LoadedName(group.Model, group.Version, standby.Rank)
		if ready && (r.wantsSwap(group.Members[standby.Rank].Instance) || r.givenUp(group.Members[standby.Rank].Instance, group.LoadMs)) {
			next.Members[standby.Rank] = member(instance)
			continue
		}
		next.Standbys = append(next.Standbys, standby)
	}
	if len(next.Standbys) < len(group.Standbys) {
		r.assign(name, next)
	}
}

// roll moves groups to a changed model spec, one group of a model at a time
// while the others serve.
func (r *round) roll(order []string) {
	unready := map[string]int{}
	for _, name := range order {
		group := r.groups[name]
		if group.Active && r.msg.ReadyEpochs[name] != group.Epoch {
			unready[group.Model]++
		}
	}
	for _, name := range order {
		group := r.groups[name]
		spec := r.models[group.Model]
		if r.moved[name] || !group.Active || !outdated(group, spec) {
			continue
		}
		serving := r.msg.ReadyEpochs[name] == group.Epoch
		if serving && unready[group.Model] > 0 {
			continue
		}
		unready[group.Model]++
		r.respecify(name, group, spec)
	}
}

func outdated(group messenger.GroupSpec, spec messenger.ModelSpec) bool {
	return group.Version != spec.Version || len(group.Members) != spec.Members ||
		group.Parallel != spec.Parallel || group.LoadMs != spec.LoadMs || !slices.Equal(group.Adapters, spec.Adapters)
}

func (r *round) respecify(name string, group messenger.GroupSpec, spec messenger.ModelSpec) {
	next := groupOf(group.Model, spec)
	next.Region, next.FailureDomain, next.FabricDomain = group.Region, group.FailureDomain, group.FabricDomain
	next.Members = slices.Clone(group.Members[:min(len(group.Members), spec.Members)])
	if missing := spec.Members - len(next.Members); missing > 0 {
		free := r.free(group.FabricDomain, "")
		if len(free) < missing {
			r.dissolve(name)
			return
		}
		for _, instance := range free[:missing] {
			next.Members = append(next.Members, member(instance))
		}
	}
	next.MayLoad = true
	r.assign(name, next)
}
