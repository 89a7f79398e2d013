// Package planner decides which instances form which groups: first placement,
// repair after losses, make-before-break replacement, rolling versions and
// retirement. It runs at the leader of the control processes.
//
// # Usage
//
// The owner calls Update with a whole view and proposes the assignments it
// returns; an assignment that lost a race is refused by its expected revision and
// decided anew from the next view:
//
//	p := planner.New(planner.WithMaxLoads(32))
//	for _, assignment := range p.Update(planner.ViewMsg{NowMs: now, Instances: seen}) {
//		propose(assignment)
//	}
package planner

import (
	"cmp"
	"slices"

	"papayaseam/internal/messenger"
)

// Instance is what the planner knows of one endpoint instance.
type Instance struct {
	Name          string
	Address       string
	Region        string
	FailureDomain string
	FabricDomain  string
	Service       string // Service names the plain service, or is empty.
	ModelEngine   bool
	EndpointUp    bool
	Leaving       bool
	Straggling    bool   // Straggling asks for a replacement before a planned stop.
	StepMs        int    // StepMs is the engine's own time for one token, 0 where not known.
	SilenceMs     int    // SilenceMs is the time since the instance was last heard.
	Group         string // Group and Epoch name what the instance holds now.
	Epoch         int
	LoadedWeights string // Loaded names the model, version and rank in the engine.
}

// ViewMsg is all that a decision depends on.
type ViewMsg struct {
	NowMs       int
	Instances   []Instance
	Models      []messenger.Object
	Services    []messenger.Object
	Groups      []messenger.Object
	ReadyEpochs map[string]int // ReadyEpochs holds the epoch in which a group serves.
}

// Planner keeps what must be remembered between views.
type Planner struct {
	options options
	trouble map[string]int      // trouble holds since when an instance is unusable.
	slow    map[string]slowness // slow holds the instances that are slower than their like.
}

// New returns a planner.
func New(opts ...Option) *Planner {
	p := &Planner{options: defaults(), trouble: map[string]int{}, slow: map[string]slowness{}}
	for _, opt := range opts {
		opt(&p.options)
	}
	return p
}

// round is the working state of one Update.
type round struct {
	*Planner
	msg       ViewMsg
	instances map[string]Instance
	memberOf  map[string]string
	groups    map[string]messenger.GroupSpec
	models    map[string]messenger.ModelSpec
	moved     map[string]bool
	loads     int
	result    []messenger.Assignment
}

// Update decides on a view and returns the assignments to propose.
func (p *Planner) Update(msg ViewMsg) []messenger.Assignment {
	r := p.newRound(msg)
	r.noteTrouble()
	r.noteStragglers()
	r.retire()
	r.planServices()
	order := r.order()
	for _, name := range order {
		r.swapStandbys(name)
	}
	for _, name := range order {
		r.repair(name)
	}
	r.permitLoads(order)
	r.create()
	for _, name := range order {
		r.replaceAhead(name)
	}
	r.roll(order)
	return r.result
}

func (p *Planner) newRound(msg ViewMsg) *round {
	r := &round{
		Planner: p, msg: msg, instances: map[string]Instance{}, memberOf: map[string]string{},
		groups: map[string]messenger.GroupSpec{}, models: map[string]messenger.ModelSpec{}, moved: map[string]bool{},
	}
	for _, instance := range msg.Instances {
		r.instances[instance.Name] = instance
	}
	for _, object := range msg.Models {
		r.models[object.Name] = *object.Model
	}
	for _, object := range msg.Groups {
		r.groups[object.Name] = *object.Group
		if object.Group.Active {
			r.occupy(object.Name, *object.Group)
		}
	}
	r.loads = r.loadsRunning()
	return r
}

func (r *round) occupy(name string, group messenger.GroupSpec) {
	for _, member := range slices.Concat(group.Members, group.Standbys) {
		r.memberOf[member.Instance] = name
	}
}

// loadsRunning counts the members that load now.
func (r *round) loadsRunning() int {
	n := 0
	for _, group := range r.groups {
		if group.Active && group.MayLoad {
			n += r.loadsNeeded(group)
		}
	}
	return n
}

// loadsNeeded counts the members and standbys of a group that lack weights.
func (r *round) loadsNeeded(group messenger.GroupSpec) int {
	n := 0
	for rank, member := range group.Members {
		n += r.needsLoad(group, member, rank)
	}
	for _, member := range group.Standbys {
		n += r.needsLoad(group, member, member.Rank)
	}
	return n
}

func (r *round) needsLoad(group messenger.GroupSpec, member messenger.Member, rank int) int {
	instance, ok := r.instances[member.Instance]
	if group.Model == "" || !ok || !r.usable(instance) || instance.LoadedWeights == messenger.LoadedName(group.Model, group.Version, rank) {
		return 0
	}
	return 1
}

// usable reports whether an instance may be given work that lasts.
func (r *round) usable(instance Instance) bool {
	return instance.EndpointUp && !instance.Leaving && instance.SilenceMs < r.options.lostAfterMs
}

// noteTrouble remembers since when each instance is unusable.
func (r *round) noteTrouble() {
	for name := range r.memberOf {
		instance, ok := r.instances[name]
		if ok && r.usable(instance) {
			delete(r.trouble, name)
			continue
		}
		if _, noted := r.trouble[name]; !noted {
			r.trouble[name] = r.msg.NowMs
		}
	}
	for name := range r.trouble {
		if _, member := r.memberOf[name]; !member {
			delete(r.trouble, name)
		}
	}
}

// givenUp reports whether a member is lost for its group: at once when it
// leaves or its side process reports the endpoint down, after the patience when
// it is silent.
func (r *round) givenUp(name string, loadMs int) bool {
	since, ok := r.trouble[name]
	if !ok {
		return false
	}
	instance, known := r.instances[name]
	heard := known && instance.SilenceMs < r.options.lostAfterMs
	if heard && instance.Leaving {
		return true
	}
	if heard && !instance.EndpointUp {
		return r.msg.NowMs-since >= r.options.endpointPatienceMs
	}
	return r.msg.NowMs-since >= r.patience(loadMs)
}

// patience is how long a silent member is waited for: as long as a
// replacement would take to load, within the set bounds.
func (r *round) patience(loadMs int) int {
	return min(max(loadMs, r.options.minPatienceMs), r.options.maxPatienceMs)
}

// lost returns the ranks whose members are given up.
func (r *round) lost(group messenger.GroupSpec) []int {
	var ranks []int
	for rank, member := range group.Members {
		if r.givenUp(member.Instance, group.LoadMs) {
			ranks = append(ranks, rank)
		}
	}
	return ranks
}

// order returns the active model groups, the most important first: by
// priority of the model, then those that need the fewest loads.
func (r *round) order() []string {
	var names []string
	for name, group := range r.groups {
		if group.Active && group.Model != "" {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		ga, gb := r.groups[a], r.groups[b]
		return cmp.Or(
			cmp.Compare(r.models[gb.Model].Priority, r.models[ga.Model].Priority),
			cmp.Compare(len(r.lost(ga)), len(r.lost(gb))),
			cmp.Compare(a, b),
		)
	})
	return names
}

// free returns the usable engines of a fabric domain that no active group
// holds, the ones with the wanted weights first.
func (r *round) free(fabric, loaded string) []Instance {
	var list []Instance
	for name, instance := range r.instances {
		if r.memberOf[name] == "" && instance.ModelEngine && instance.FabricDomain == fabric && r.usable(instance) && !instance.Straggling {
			list = append(list, instance)
		}
	}
	slices.SortFunc(list, func(a, b Instance) int {
		return cmp.Or(compareBool(b.LoadedWeights == loaded, a.LoadedWeights == loaded), cmp.Compare(a.Name, b.Name))
	})
	return list
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// assign records a group's next epoch in this round.
func (r *round) assign(name string, group messenger.GroupSpec) {
	current := r.groups[name]
	group.Revision = current.Revision + 1
	for _, member := range slices.Concat(current.Members, current.Standbys) {
		if r.memberOf[member.Instance] == name {
			delete(r.memberOf, member.Instance)
		}
	}
	r.groups[name] = group
	r.moved[name] = true
	if group.Active {
		r.occupy(name, group)
	}
	r.result = append(r.result, messenger.Assignment{Name: name, ExpectedRevision: current.Revision, Group: group})
}

func (r *round) dissolve(name string) {
	group := r.groups[name]
	group.Active = false
	group.Members = nil
	group.Standbys = nil
	r.assign(name, group)
}

func member(instance Instance) messenger.Member {
	return messenger.Member{Instance: instance.Name, Address: instance.Address}
}
