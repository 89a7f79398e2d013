// Package planner assigns instances to groups. It covers initial placement,
// repair after failures, make-before-break replacement, rolling updates of model
// specs and removal. It runs on the leader of the control processes.
//
// # Usage
//
// The caller passes a complete view to Update and proposes the returned
// assignments. If a group has changed in the meantime, the expected revision does
// not match and the assignment is rejected; the next view leads to a new one:
//
//	p := planner.New(planner.WithMaxLoads(32))
//	for _, assignment := range p.Update(planner.ViewMsg{NowMs: now, Instances: instances}) {
//		propose(assignment)
//	}
package planner

import (
	"cmp"
	"slices"

	"papayaseam/internal/messenger"
)

// Instance describes one endpoint instance.
type Instance struct {
	Name          string
	Address       string
	Region        string
	FailureDomain string
	FabricDomain  string
	Service       string // Service is the service that the endpoint belongs to, or empty for a model engine.
	ModelEngine   bool
	EndpointUp    bool
	Leaving       bool
	Straggling    bool   // Straggling requests a replacement: the instance is slow or about to stop.
	StepMs        int    // StepMs is the engine's time per token in milliseconds, or 0 if unknown.
	SilenceMs     int    // SilenceMs is the time in milliseconds since the last report of the instance.
	Group         string // Group and Epoch identify the group that the instance currently belongs to.
	Epoch         int
	LoadedWeights string // LoadedWeights is the messenger.LoadedName of the weights in the engine, or empty.
}

// ViewMsg is the cluster state on which a plan is based.
type ViewMsg struct {
	NowMs       int // NowMs is the current time in milliseconds on a monotonic clock.
	Instances   []Instance
	Models      []messenger.Object
	Services    []messenger.Object
	Groups      []messenger.Object
	ReadyEpochs map[string]int // ReadyEpochs maps a group to the epoch in which it serves requests.
}

// Planner holds the state that persists between views. It is not safe for
// concurrent use.
type Planner struct {
	options       options
	unusableSince map[string]int        // unusableSince maps an instance to the time in milliseconds when it became unusable.
	slowInstances map[string]slowRecord // slowInstances holds the instances that are slower than others of the same model.
}

// New returns a Planner with the given options.
func New(opts ...Option) *Planner {
	p := &Planner{options: defaults(), unusableSince: map[string]int{}, slowInstances: map[string]slowRecord{}}
	for _, opt := range opts {
		opt(&p.options)
	}
	return p
}

// round is the state of a single call of Update.
type round struct {
	*Planner
	msg             ViewMsg
	instances       map[string]Instance
	groupByInstance map[string]string
	groups          map[string]messenger.GroupSpec
	models          map[string]messenger.ModelSpec
	changedGroups   map[string]bool // changedGroups holds the groups that already have an assignment in this round.
	activeLoads     int             // activeLoads counts current loads and those permitted in this round.
	assignments     []messenger.Assignment
}

// Update plans for a view and returns the assignments to propose.
func (p *Planner) Update(msg ViewMsg) []messenger.Assignment {
	r := p.newRound(msg)
	r.trackUnusable()
	r.detectStragglers()
	r.dissolveUndeclared()
	r.planServices()
	groupNames := r.groupsByPriority()
	for _, name := range groupNames {
		r.promoteStandbys(name)
	}
	for _, name := range groupNames {
		r.repair(name)
	}
	r.updateLoadPermissions(groupNames)
	r.createGroups()
	for _, name := range groupNames {
		r.assignStandbys(name)
	}
	r.rollOut(groupNames)
	return r.assignments
}

func (p *Planner) newRound(msg ViewMsg) *round {
	r := &round{
		Planner: p, msg: msg, instances: map[string]Instance{}, groupByInstance: map[string]string{},
		groups: map[string]messenger.GroupSpec{}, models: map[string]messenger.ModelSpec{}, changedGroups: map[string]bool{},
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
			r.claimMembers(object.Name, *object.Group)
		}
	}
	r.activeLoads = r.countActiveLoads()
	return r
}

// claimMembers records that the members and standbys of a group are in use.
func (r *round) claimMembers(name string, group messenger.GroupSpec) {
	for _, member := range slices.Concat(group.Members, group.Standbys) {
		r.groupByInstance[member.Instance] = name
	}
}

// countActiveLoads counts the instances that load weights or are permitted to.
func (r *round) countActiveLoads() int {
	n := 0
	for _, group := range r.groups {
		if group.Active && group.MayLoad {
			n += r.loadsNeeded(group)
		}
	}
	return n
}

// loadsNeeded counts the usable members and standbys of a group that have not
// loaded the weights of their rank.
func (r *round) loadsNeeded(group messenger.GroupSpec) int {
	n := 0
	for rank, member := range group.Members {
		n += r.memberLoadsNeeded(group, member, rank)
	}
	for _, member := range group.Standbys {
		n += r.memberLoadsNeeded(group, member, member.Rank)
	}
	return n
}

// memberLoadsNeeded returns 1 if a usable member has not loaded the weights of its
// rank, else 0.
func (r *round) memberLoadsNeeded(group messenger.GroupSpec, member messenger.Member, rank int) int {
	instance, ok := r.instances[member.Instance]
	if group.Model == "" || !ok || !r.usable(instance) || instance.LoadedWeights == messenger.LoadedName(group.Model, group.Version, rank) {
		return 0
	}
	return 1
}

// usable reports whether an instance can join a group: its endpoint is up, it is
// reachable and it is not leaving.
func (r *round) usable(instance Instance) bool {
	return instance.EndpointUp && !instance.Leaving && instance.SilenceMs < r.options.unreachableAfterMs
}

// trackUnusable records when each member of a group became unusable.
func (r *round) trackUnusable() {
	for name := range r.groupByInstance {
		instance, ok := r.instances[name]
		if ok && r.usable(instance) {
			delete(r.unusableSince, name)
			continue
		}
		if _, tracked := r.unusableSince[name]; !tracked {
			r.unusableSince[name] = r.msg.NowMs
		}
	}
	for name := range r.unusableSince {
		if _, isMember := r.groupByInstance[name]; !isMember {
			delete(r.unusableSince, name)
		}
	}
}

// isLost reports whether a member must be replaced: at once if it is leaving,
// after endpointDownTimeoutMs (0 by default) if its side process reports that the
// endpoint is down, and after the silence timeout if it is unreachable.
func (r *round) isLost(name string, loadMs int) bool {
	since, ok := r.unusableSince[name]
	if !ok {
		return false
	}
	instance, known := r.instances[name]
	reachable := known && instance.SilenceMs < r.options.unreachableAfterMs
	if reachable && instance.Leaving {
		return true
	}
	if reachable && !instance.EndpointUp {
		return r.msg.NowMs-since >= r.options.endpointDownTimeoutMs
	}
	return r.msg.NowMs-since >= r.silenceTimeout(loadMs)
}

// silenceTimeout returns how long, in milliseconds, to wait for an unreachable
// member: as long as a replacement takes to load, within the configured bounds.
func (r *round) silenceTimeout(loadMs int) int {
	return min(max(loadMs, r.options.minSilenceTimeoutMs), r.options.maxSilenceTimeoutMs)
}

// lostRanks returns the ranks of a group whose members must be replaced.
func (r *round) lostRanks(group messenger.GroupSpec) []int {
	var ranks []int
	for rank, member := range group.Members {
		if r.isLost(member.Instance, group.LoadMs) {
			ranks = append(ranks, rank)
		}
	}
	return ranks
}

// groupsByPriority returns the names of the active model groups, sorted by
// descending priority of the model, then by the number of lost members.
func (r *round) groupsByPriority() []string {
	var names []string
	for name, group := range r.groups {
		if group.Active && group.Model != "" {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		groupA, groupB := r.groups[a], r.groups[b]
		return cmp.Or(
			cmp.Compare(r.models[groupB.Model].Priority, r.models[groupA.Model].Priority),
			cmp.Compare(len(r.lostRanks(groupA)), len(r.lostRanks(groupB))),
			cmp.Compare(a, b),
		)
	})
	return names
}

// freeInstances returns the usable model engines of a fabric domain that are in
// no active group and do not straggle. Those with the given weights come first.
func (r *round) freeInstances(fabricDomain, weights string) []Instance {
	var free []Instance
	for name, instance := range r.instances {
		if r.groupByInstance[name] == "" && instance.ModelEngine && instance.FabricDomain == fabricDomain && r.usable(instance) && !instance.Straggling {
			free = append(free, instance)
		}
	}
	slices.SortFunc(free, func(a, b Instance) int {
		return cmp.Or(compareBool(b.LoadedWeights == weights, a.LoadedWeights == weights), cmp.Compare(a.Name, b.Name))
	})
	return free
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// assign adds an assignment that replaces a group, and updates the round so that
// later steps plan with the new members.
func (r *round) assign(name string, group messenger.GroupSpec) {
	current := r.groups[name]
	group.Revision = current.Revision + 1
	for _, member := range slices.Concat(current.Members, current.Standbys) {
		if r.groupByInstance[member.Instance] == name {
			delete(r.groupByInstance, member.Instance)
		}
	}
	r.groups[name] = group
	r.changedGroups[name] = true
	if group.Active {
		r.claimMembers(name, group)
	}
	r.assignments = append(r.assignments, messenger.Assignment{Name: name, ExpectedRevision: current.Revision, Group: group})
}

// dissolve deactivates a group and frees its members.
func (r *round) dissolve(name string) {
	group := r.groups[name]
	group.Active = false
	group.Members = nil
	group.Standbys = nil
	r.assign(name, group)
}

func newMember(instance Instance) messenger.Member {
	return messenger.Member{Instance: instance.Name, Address: instance.Address}
}
