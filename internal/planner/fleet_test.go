package planner

import (
	"fmt"
	"slices"

	"papayaseam/internal/messenger"
)

// fleet simulates instances that load weights over time, and applies the
// planner's assignments to them.
type fleet struct {
	planner         *Planner
	nowMs           int
	instances       []*Instance
	models          []messenger.Object
	services        []messenger.Object
	groups          map[string]messenger.GroupSpec
	loading         map[string]weightLoad
	byName          map[string]*Instance
	logIndex        int
	assignmentCount int
	storeLoadLimit  int // storeLoadLimit is the number of loads that the weight store serves at full rate; 0 means no limit.
	downtimeMs      int // downtimeMs is the total time that declared groups did not serve.
	strandedMs      int // strandedMs is the total idle time of healthy members of such groups.
	peakLoads       int
	planIntervalMs  int // planIntervalMs is the time between two plans.
	timers          []timer
	slowInstances   map[string]bool // slowInstances are stragglers; their groups count as not serving.
}

type timer struct {
	atMs   int
	change func()
}

// weightLoad is a load in progress; remainingMs is the time that it still takes at
// the full rate of the weight store.
type weightLoad struct {
	weights     string
	remainingMs float64
}

// newFleet returns a fleet of healthy engines without weights. Fabric domains are
// spread over three failure domains.
func newFleet(fabricDomains, perFabric int, opts ...Option) *fleet {
	f := &fleet{planner: New(opts...), planIntervalMs: 200, groups: map[string]messenger.GroupSpec{}, loading: map[string]weightLoad{}, byName: map[string]*Instance{}, slowInstances: map[string]bool{}}
	for fabric := range fabricDomains {
		for i := range perFabric {
			f.instances = append(f.instances, &Instance{
				Name: fmt.Sprintf("f%02d-i%02d", fabric, i), FabricDomain: fmt.Sprintf("f%02d", fabric),
				FailureDomain: fmt.Sprintf("d%d", fabric%3), ModelEngine: true, EndpointUp: true,
			})
			added := f.instances[len(f.instances)-1]
			f.byName[added.Name] = added
		}
	}
	return f
}

func (f *fleet) addModel(name string, members, groups, priority, loadMs int) {
	f.models = append(f.models, messenger.Object{Kind: "model", Name: name, Model: &messenger.ModelSpec{
		Version: "v1", Members: members, Groups: groups, Priority: priority, LoadMs: loadMs,
	}})
}

func (f *fleet) instance(name string) *Instance {
	return f.byName[name]
}

// isReady reports whether all members of a group are up, reachable and loaded.
func (f *fleet) isReady(name string) bool {
	group := f.groups[name]
	if !group.Active {
		return false
	}
	for rank, m := range group.Members {
		instance := f.instance(m.Instance)
		if !instance.EndpointUp || instance.SilenceMs > 0 || f.slowInstances[m.Instance] || instance.LoadedWeights != messenger.LoadedName(group.Model, group.Version, rank) {
			return false
		}
	}
	return true
}

func (f *fleet) view() ViewMsg {
	msg := ViewMsg{NowMs: f.nowMs, Models: f.models, Services: f.services, ReadyEpochs: map[string]int{}}
	for _, instance := range f.instances {
		msg.Instances = append(msg.Instances, *instance)
	}
	for name, group := range f.groups {
		msg.Groups = append(msg.Groups, messenger.Object{Kind: "group", Name: name, Group: &group})
		if f.isReady(name) {
			msg.ReadyEpochs[name] = group.Epoch
		}
	}
	return msg
}

// step advances the simulation by some milliseconds and plans once.
func (f *fleet) step(ms int) {
	f.nowMs += ms
	for _, instance := range f.instances {
		if instance.SilenceMs > 0 {
			instance.SilenceMs += ms
		}
	}
	f.runTimers()
	f.advanceLoads(ms)
	f.addCosts(ms)
	for _, assignment := range f.planner.Update(f.view()) {
		f.apply(assignment)
	}
	f.startPermittedLoads()
}

// apply stores an assignment as the registrar does: a change of members, version
// or activity starts a new epoch.
func (f *fleet) apply(assignment messenger.Assignment) {
	f.logIndex++
	f.assignmentCount++
	group := assignment.Group
	previous := f.groups[assignment.Name]
	group.Epoch = previous.Epoch
	if !slices.Equal(previous.Members, group.Members) || previous.Version != group.Version || previous.Active != group.Active {
		group.Epoch = f.logIndex
	}
	f.groups[assignment.Name] = group
}

// startPermittedLoads starts the missing loads of all groups that may load.
func (f *fleet) startPermittedLoads() {
	for _, group := range f.groups {
		if !group.Active || !group.MayLoad || group.Model == "" {
			continue
		}
		for rank, m := range group.Members {
			f.startLoad(group, m.Instance, rank)
		}
		for _, m := range group.Standbys {
			f.startLoad(group, m.Instance, m.Rank)
		}
	}
}

// startLoad starts to load the weights of a rank unless they are loaded or loading.
func (f *fleet) startLoad(group messenger.GroupSpec, name string, rank int) {
	weights := messenger.LoadedName(group.Model, group.Version, rank)
	instance := f.instance(name)
	if l, loading := f.loading[name]; !instance.EndpointUp || instance.LoadedWeights == weights || (loading && l.weights == weights) {
		return
	}
	instance.LoadedWeights = ""
	f.loading[name] = weightLoad{weights, float64(group.LoadMs)}
}

// runTimers runs the timers that are due.
func (f *fleet) runTimers() {
	due := f.timers
	f.timers = nil
	for _, t := range due {
		if t.atMs > f.nowMs {
			f.timers = append(f.timers, t)
			continue
		}
		t.change()
	}
}

// advanceLoads advances the active loads. Above storeLoadLimit they share the
// bandwidth of the weight store.
func (f *fleet) advanceLoads(ms int) {
	f.peakLoads = max(f.peakLoads, len(f.loading))
	rate := 1.0
	if f.storeLoadLimit > 0 && len(f.loading) > f.storeLoadLimit {
		rate = float64(f.storeLoadLimit) / float64(len(f.loading))
	}
	for name, l := range f.loading {
		instance := f.instance(name)
		if !instance.EndpointUp || instance.SilenceMs > 0 {
			continue
		}
		l.remainingMs -= float64(ms) * rate
		f.loading[name] = l
		if l.remainingMs <= 0 {
			instance.LoadedWeights = l.weights
			delete(f.loading, name)
		}
	}
}

// addCosts adds up group downtime and the idle time of stranded members.
func (f *fleet) addCosts(ms int) {
	for _, model := range f.models {
		for i := range model.Model.Groups {
			name := GroupName(model.Name, i)
			if f.isReady(name) {
				continue
			}
			f.downtimeMs += ms
			if !f.groups[name].Active {
				continue
			}
			for _, m := range f.groups[name].Members {
				if instance := f.instance(m.Instance); instance.EndpointUp && instance.SilenceMs == 0 {
					f.strandedMs += ms
				}
			}
		}
	}
}

// run plans at regular intervals for some milliseconds.
func (f *fleet) run(ms int) {
	for end := f.nowMs + ms; f.nowMs < end; {
		f.step(f.planIntervalMs)
	}
}
