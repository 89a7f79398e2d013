package planner

import (
	"cmp"
	"fmt"
	"slices"

	"papayaseam/internal/messenger"
)

// repair completes a group that lost members: from free instances of its
// fabric domain, from a group that cannot be completed, or whole elsewhere.
func (r *round) repair(name string) {
	group := r.groups[name]
	lost := r.lost(group)
	if len(lost) == 0 || r.moved[name] || !group.Active || r.options.neverReplace {
		return
	}
	if r.replace(name, group, lost) {
		return
	}
	if r.move(name, group) {
		return
	}
	if r.options.donors && r.takeFromDonor(name, group, lost) {
		r.replace(name, group, lost)
	}
}

// replace fills the lost ranks from free instances, standbys of the same rank
// first. It does nothing unless all of them can be filled.
func (r *round) replace(name string, group messenger.GroupSpec, lost []int) bool {
	next := group
	next.Members = slices.Clone(group.Members)
	taken := map[string]bool{}
	for _, rank := range lost {
		instance, ok := r.substitute(group, rank, taken)
		if !ok {
			return false
		}
		taken[instance.Name] = true
		next.Members[rank] = member(instance)
	}
	next.Standbys = slices.DeleteFunc(slices.Clone(group.Standbys), func(m messenger.Member) bool { return taken[m.Instance] })
	if !r.withinLoads(&next) {
		return true
	}
	r.assign(name, next)
	return true
}

func (r *round) substitute(group messenger.GroupSpec, rank int, taken map[string]bool) (Instance, bool) {
	for _, standby := range group.Standbys {
		instance := r.instances[standby.Instance]
		if standby.Rank == rank && r.usable(instance) && !taken[instance.Name] {
			return instance, true
		}
	}
	for _, instance := range r.free(group.FabricDomain, messenger.LoadedName(group.Model, group.Version, rank)) {
		if !taken[instance.Name] {
			return instance, true
		}
	}
	return Instance{}, false
}

// withinLoads reserves the loads of a group's next epoch at the weight store.
// For one that needs a single load there is some room on top, so that it need
// not wait behind groups that load whole.
func (r *round) withinLoads(group *messenger.GroupSpec) bool {
	n := r.loadsNeeded(*group)
	limit := r.options.maxLoads
	if n == 1 {
		limit += limit / singleLoadsDivisor
	}
	if n > 0 && r.loads > 0 && r.loads+n > limit {
		return false
	}
	r.loads += n
	group.MayLoad = true
	return true
}

// permitLoads lets groups load whose members have lost their weights, first the
// groups that are worth the most for each load, and takes the permission back
// when all is loaded, so that a domain that returns does not load all at once.
func (r *round) permitLoads(order []string) {
	order = slices.Clone(order)
	worth := map[string]float64{}
	for _, name := range order {
		worth[name] = r.worth(r.groups[name])
	}
	slices.SortStableFunc(order, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(r.models[r.groups[b].Model].Priority, r.models[r.groups[a].Model].Priority),
			cmp.Compare(worth[b], worth[a]),
		)
	})
	for _, name := range order {
		group := r.groups[name]
		if r.moved[name] || !group.Active {
			continue
		}
		needed := r.loadsNeeded(group)
		switch {
		case group.MayLoad && needed == 0 && r.msg.ReadyEpochs[name] == group.Epoch:
			group.MayLoad = false
			r.assign(name, group)
		case !group.MayLoad && needed > 0 && r.withinLoads(&group):
			r.assign(name, group)
		}
	}
}

// worth is what a load for a group saves in a unit of time: the group's
// downtime and its stranded accelerators by their weights, divided by the loads
// that it needs.
func (r *round) worth(group messenger.GroupSpec) float64 {
	stranded := 0
	for _, member := range group.Members {
		if instance, ok := r.instances[member.Instance]; ok && r.usable(instance) {
			stranded++
		}
	}
	saved := r.options.downtimeWeight + r.options.strandedWeight*stranded
	return float64(saved) / float64(max(1, r.loadsNeeded(group)))
}

// move gives a broken group a whole new set of members in the fabric domain
// with the most free instances.
func (r *round) move(name string, group messenger.GroupSpec) bool {
	next, ok := r.place(group, len(group.Members))
	if !ok {
		return false
	}
	if r.withinLoads(&next) {
		r.assign(name, next)
	}
	return true
}

// takeFromDonor dissolves another broken group of the same fabric domain when
// its healthy members complete this one. The donor comes later in the order.
func (r *round) takeFromDonor(name string, group messenger.GroupSpec, lost []int) bool {
	own := r.models[group.Model].Priority
	var donors []string
	for other, spec := range r.groups {
		healthy := len(spec.Members) - len(r.lost(spec))
		later := r.models[spec.Model].Priority < own || (r.models[spec.Model].Priority == own && healthy <= len(group.Members)-len(lost))
		broken := len(r.lost(spec)) > 0 && healthy+len(r.free(spec.FabricDomain, "")) >= len(lost)
		if other != name && spec.Active && spec.Model != "" && spec.FabricDomain == group.FabricDomain && broken && later && !r.moved[other] {
			donors = append(donors, other)
		}
	}
	if len(donors) == 0 {
		return false
	}
	slices.SortFunc(donors, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(r.models[r.groups[a].Model].Priority, r.models[r.groups[b].Model].Priority),
			cmp.Compare(len(r.lost(r.groups[b])), len(r.lost(r.groups[a]))),
			cmp.Compare(b, a),
		)
	})
	r.dissolve(donors[0])
	return true
}

// create places the groups that are wanted but not active.
func (r *round) create() {
	for _, want := range r.missing() {
		spec := r.models[want.model]
		group := groupOf(want.model, spec)
		next, ok := r.place(group, spec.Members)
		if ok && r.withinLoads(&next) {
			r.assign(want.name, next)
		}
	}
}

type wanted struct {
	name, model     string
	priority, index int
}

// GroupName returns the name of a model's group with an index from 0.
func GroupName(model string, index int) string { return fmt.Sprintf("%s-%d", model, index) }

// missing returns the groups to create: by priority, and first the first of
// each model.
func (r *round) missing() []wanted {
	var list []wanted
	for model, spec := range r.models {
		for i := range spec.Groups {
			name := GroupName(model, i)
			if !r.groups[name].Active && !r.moved[name] {
				list = append(list, wanted{name, model, spec.Priority, i})
			}
		}
	}
	slices.SortFunc(list, func(a, b wanted) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.index, b.index), cmp.Compare(a.name, b.name))
	})
	return list
}

func groupOf(model string, spec messenger.ModelSpec) messenger.GroupSpec {
	return messenger.GroupSpec{
		Model: model, Version: spec.Version, Adapters: spec.Adapters, Parallel: spec.Parallel,
		LoadMs: spec.LoadMs, Repeatable: true, Active: true,
	}
}

// place chooses a fabric domain with enough free instances: the failure
// domain with the fewest replicas of the model, then the tightest fit.
func (r *round) place(group messenger.GroupSpec, size int) (messenger.GroupSpec, bool) {
	replicas := map[string]int{}
	for _, other := range r.groups {
		if other.Active && other.Model == group.Model {
			replicas[other.FailureDomain]++
		}
	}
	var best []Instance
	for fabric := range r.fabrics() {
		free := r.free(fabric, "")
		if len(free) < size {
			continue
		}
		if best == nil || betterPlace(free, best, replicas) {
			best = free
		}
	}
	if best == nil {
		return group, false
	}
	group.Members = nil
	group.Standbys = nil
	for _, instance := range best[:size] {
		group.Members = append(group.Members, member(instance))
	}
	group.Region, group.FailureDomain, group.FabricDomain = best[0].Region, best[0].FailureDomain, best[0].FabricDomain
	return group, true
}

func betterPlace(a, b []Instance, replicas map[string]int) bool {
	return cmp.Or(
		cmp.Compare(replicas[a[0].FailureDomain], replicas[b[0].FailureDomain]),
		cmp.Compare(len(a), len(b)),
		cmp.Compare(a[0].FabricDomain, b[0].FabricDomain),
	) < 0
}

func (r *round) fabrics() map[string]bool {
	fabrics := map[string]bool{}
	for _, instance := range r.instances {
		if instance.ModelEngine {
			fabrics[instance.FabricDomain] = true
		}
	}
	return fabrics
}
