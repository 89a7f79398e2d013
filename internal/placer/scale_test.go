package placer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"papayaseam/internal/describer"
	"papayaseam/internal/messenger"
	"papayaseam/internal/tracker"

	"gotest.tools/v3/assert"
)

func (w *world) group(name string) (Group, bool) {
	groups := w.placer.Groups()
	i := slices.IndexFunc(groups, func(g Group) bool { return g.Name == name })
	if i < 0 {
		return Group{}, false
	}
	return groups[i], true
}

// TestGroupWhoseMembersSawNewerOrdersIsGivenUp has members that refuse each
// order to join: an earlier or later leader has numbered higher.
func TestGroupWhoseMembersSawNewerOrdersIsGivenUp(t *testing.T) {
	w := newWorld(1, 4)
	for _, e := range w.engines {
		e.epoch = 9 * EpochsPerTerm
	}
	w.step()
	name := w.placer.Groups()[0].Name
	w.run(2 * defaultRepeatAfter)
	_, stands := w.group(name)
	assert.Assert(t, !stands, "%s holds its members", name)
}

// TestOvertakenOrderIsSentAgain has one order that a later one overtook.
func TestOvertakenOrderIsSentAgain(t *testing.T) {
	w := newWorld(1, 4)
	w.step()
	name := w.placer.Groups()[0].Name
	w.placer.RecordRefusal(name)
	w.run(testEngine.Models[0].ColdLoadTime + formSlack)
	g, stands := w.group(name)
	assert.Assert(t, stands && g.State == Open)
}

// TestAdoptedGroupThatLostAMemberEnds has a new leader take in a group that
// formed, one of whose members then joins another.
func TestAdoptedGroupThatLostAMemberEnds(t *testing.T) {
	msg := pair()
	msg.Endpoints[0].Report.State = MemberReady
	p := New(2)
	p.Update(msg)
	assert.Equal(t, p.Groups()[0].Name, "small/1")
	msg.Now += planStep
	msg.Endpoints[1].Report.Group, msg.Endpoints[1].Report.Epoch = "small/7", 7
	orders := p.Update(msg)
	assert.Assert(t, !slices.ContainsFunc(orders, func(o Order) bool { return o.Op == OpJoin && o.Group == "small/1" }), "%v", orders)
}

// TestGroupThatDoesNotFormInTimeIsGivenUp has a member that takes each order and
// never joins.
func TestGroupThatDoesNotFormInTimeIsGivenUp(t *testing.T) {
	w := newWorld(1, 4)
	w.delay = func() time.Duration { return time.Hour }
	w.step()
	first := w.placer.Groups()[0].Name
	w.run(formFactor*(testEngine.Models[0].ColdLoadTime+formSlack) + planStep)
	_, stands := w.group(first)
	assert.Assert(t, !stands)
}

// TestLoadsOfTwoLeadersKeepToTheStoresLimit counts loads over a whole window
// across a change of leader at its worst moment.
func TestLoadsOfTwoLeadersKeepToTheStoresLimit(t *testing.T) {
	w := busy()
	for i := range 40 {
		w.add(fmt.Sprintf("new-%02d", i), "d0")
	}
	before := w.loads
	w.run(2 * planStep)
	w.term++
	w.placer = New(w.term, WithStallTimeout(stall), WithPreviousLeaderLoads(int(testEngine.MaxLoadsPerSec), w.now))
	w.run(time.Second - 3*planStep)
	assert.Assert(t, w.loads-before > 0)
	assert.Assert(t, w.loads-before <= int(testEngine.MaxLoadsPerSec), "%d loads in a second", w.loads-before)
}

// TestNewLeaderWithoutDemandLoadsAsInTraffic has a leader that was elected while
// clients are served, and has not heard of any demand yet.
func TestNewLeaderWithoutDemandLoadsAsInTraffic(t *testing.T) {
	w := busy()
	for i := range 40 {
		w.add(fmt.Sprintf("new-%02d", i), "d0")
	}
	w.elect()
	msg := w.plan()
	msg.Demand = nil
	msg.HadTraffic = true
	stages := 0
	for _, o := range w.placer.Update(msg) {
		if o.Op == OpStage || o.Op == OpJoin {
			stages++
		}
	}
	assert.Assert(t, stages <= int(testEngine.MaxLoadsPerSec), "%d loads at once", stages)
}

// TestOneLateAnswerEndsNoGroup is for a leader that is late itself: one call to
// a member timed out, long after its last announcement.
func TestOneLateAnswerEndsNoGroup(t *testing.T) {
	msg := pair()
	p := New(1)
	p.Update(msg)
	msg.Now += 2 * time.Second
	msg.Endpoints[1].FailingSince = msg.Now - defaultSilentAfter - time.Millisecond
	msg.Endpoints[1].FailedCalls = 1
	p.Update(msg)
	assert.Equal(t, p.Groups()[0].State, Open)
	msg.Endpoints[1].FailedCalls = MinMisses
	p.Update(msg)
	assert.Equal(t, p.Groups()[0].State, Closing)
}

// large returns a world of many fabric domains in which one model has far too
// few groups.
func large(domains int) *world {
	w := newWorld(domains, 12)
	w.run(60 * time.Second)
	w.demand = map[string]float64{"large": 20, "small": 60}
	w.run(20 * time.Second)
	return w
}

// TestGivesGrowWithTheFleet shifts most of the demand to the other model: in a
// fleet of twenty domains its groups grow in several domains at a time.
func TestGivesGrowWithTheFleet(t *testing.T) {
	w := large(20)
	before := w.open("large")
	w.demand = map[string]float64{"large": 200, "small": 20}
	w.run(12 * time.Second)
	assert.Assert(t, w.open("large") >= before+2*20/domainsPerGiver, "%d groups, then %d", before, w.open("large"))
	assert.DeepEqual(t, w.broken, []string(nil))
}

// TestSilentCallsCount has the table count misses as the prober makes them.
func TestSilentCallsCount(t *testing.T) {
	table := tracker.New()
	table.Update(tracker.AnnounceMsg{Now: time.Second, Endpoint: messenger.EndpointView{Instance: "e", Born: 1, Address: "a"}})
	for i := range 3 {
		table.Update(tracker.CallFailedMsg{CalledAt: time.Duration(2+i) * time.Second, ID: "e", BootTime: 1})
	}
	e, _ := table.Endpoint("e")
	assert.Equal(t, e.FailedCalls, 3)
	assert.Equal(t, e.FailingSince, 2*time.Second)
	table.Update(tracker.HeartbeatMsg{Now: 5 * time.Second, ID: "e", BootTime: 1, Sequence: 2})
	e, _ = table.Endpoint("e")
	assert.Equal(t, e.FailedCalls, 0)
	assert.Equal(t, e.LastHeard, 5*time.Second)
}

// short returns the view of a domain in which the large model has lost its last
// group while the small one has plenty: three free hosts hold the small model,
// one came empty.
func short() PlanMsg {
	msg := PlanMsg{Now: time.Second, Service: "s", Engine: testEngine, Demand: map[string]float64{"large": 4, "small": 1}}
	for i := range 8 {
		e := tracker.Endpoint{
			View:       messenger.EndpointView{Instance: fmt.Sprintf("e%d", i), Born: 1, Service: "s"},
			Report:     messenger.EndpointReport{Models: []string{"small"}, Staged: []string{"small"}, FabricDomain: "d"},
			ReportedAt: time.Second, LastHeard: time.Second,
		}
		if i < 4 {
			e.Report.Group, e.Report.Epoch, e.Report.Rank, e.Report.State = fmt.Sprintf("small/%d", i/2+1), i/2+1, i%2, []string{MemberOpen, MemberReady}[i%2]
			e.Report.Staged = []string{"large"}
			e.Report.Busy = true
		}
		msg.Endpoints = append(msg.Endpoints, e)
	}
	msg.Endpoints[7].Report.Models, msg.Endpoints[7].Report.Staged = nil, nil
	return msg
}

func staged(orders []Order) map[string]string {
	models := map[string]string{}
	for _, o := range orders {
		if o.Op == OpStage {
			models[o.Instance] = o.Model
		}
	}
	return models
}

// TestLoadsGoToTheModelThatLacksMost is for days on which endpoints are lost for
// good and come empty, a few loads at a time: the small model is loaded sooner,
// and has plenty.
func TestLoadsGoToTheModelThatLacksMost(t *testing.T) {
	msg := short()
	p := New(1)
	models := map[string]string{}
	for range 4 {
		for id, model := range staged(p.Update(msg)) {
			models[id] = model
		}
		msg.Now += time.Second
	}
	assert.DeepEqual(t, models, map[string]string{"e4": "large", "e5": "large", "e6": "large", "e7": "large"})
}

// TestLoadThatCompletesAGroupGoesFirst has one domain lack one load and another
// three, while the store allows one at a time.
func TestLoadThatCompletesAGroupGoesFirst(t *testing.T) {
	msg := PlanMsg{Now: time.Second, Service: "s", Engine: testEngine, Demand: map[string]float64{"large": 8}}
	msg.Engine.MaxConcurrentLoads, msg.Engine.MaxLoadsPerSec = 1, 1
	for i := range 8 {
		e := tracker.Endpoint{
			View:       messenger.EndpointView{Instance: fmt.Sprintf("e%d", i), Born: 1, Service: "s"},
			Report:     messenger.EndpointReport{FabricDomain: fmt.Sprint(i / 4)},
			ReportedAt: time.Second, LastHeard: time.Second,
		}
		if i == 0 || (i >= 4 && i < 7) {
			e.Report.Staged = []string{"large"}
		}
		msg.Endpoints = append(msg.Endpoints, e)
	}
	assert.DeepEqual(t, staged(New(1).Update(msg)), map[string]string{"e7": "large"})
}

// TestFormingGroupsSurviveAChangeOfLeader has a leader replaced while groups form:
// those whose members are all under way go on.
func TestFormingGroupsSurviveAChangeOfLeader(t *testing.T) {
	w := busy()
	head := w.headOf("large")
	w.crash(head.members[1])
	forming := ""
	for forming == "" {
		w.step()
		for _, g := range w.placer.Groups() {
			if g.State == Forming {
				forming = g.Name
			}
		}
	}
	w.step()
	var known []messenger.GroupView
	for _, g := range w.placer.Groups() {
		view := messenger.GroupView{Name: g.Name, Epoch: g.Epoch, Service: g.Service, Model: g.Model, Open: g.State == Open}
		view.Members = names(g.Members)
		known = append(known, view)
	}
	w.elect()
	msg := w.plan()
	msg.KnownGroups = known
	w.placer.Update(msg)
	g, stands := w.group(forming)
	assert.Assert(t, stands && g.State != Closing, "%s ended: %s", forming, g.Reason)
	w.run(5 * time.Second)
	assert.DeepEqual(t, w.broken, []string(nil))
}

// shaped returns the view of fabric domains of 19 whose groups are given by size.
func shaped(domains ...[]int) PlanMsg {
	engine := testEngine
	engine.Models = []describer.Model{
		{Name: "large", GroupSize: 8, InitialShare: 0.5, TimeFactor: 1, ColdLoadTime: 16 * time.Second, WarmLoadTime: 1600 * time.Millisecond},
		{Name: "small", GroupSize: 4, InitialShare: 0.5, TimeFactor: 0.6, ColdLoadTime: 12 * time.Second, WarmLoadTime: 1100 * time.Millisecond},
	}
	engine.MaxLoadsPerSec, engine.MaxConcurrentLoads = 32, 32
	msg := PlanMsg{Now: time.Second, Service: "s", Engine: engine}
	names := map[int]string{8: "large", 4: "small"}
	for d, sizes := range domains {
		var groups []messenger.EndpointReport
		for n, size := range sizes {
			for rank := range size {
				model := names[size]
				other := map[string]string{"large": "small", "small": "large"}[model]
				groups = append(groups, messenger.EndpointReport{
					Group: fmt.Sprintf("%s/%d", model, 10*d+n+1), Epoch: 10*d + n + 1, Rank: rank, State: MemberReady, Models: []string{model}, Staged: []string{other},
				})
				if rank == 0 {
					groups[len(groups)-1].State = MemberOpen
				}
			}
		}
		for i := range 19 {
			e := tracker.Endpoint{View: messenger.EndpointView{Instance: fmt.Sprintf("e%d-%02d", d, i), Born: 1, Service: "s"}, ReportedAt: time.Second, LastHeard: time.Second}
			if i < len(groups) {
				e.Report = groups[i]
			}
			e.Report.FabricDomain = fmt.Sprint(d)
			msg.Endpoints = append(msg.Endpoints, e)
		}
	}
	return msg
}

// TestSparesHoldTheModelOfTheirDomain has domains of 8 + 8 + 3 and 4 + 4 + 4 + 4 + 3:
// a group of the large model that loses a member is whole again only if a spare
// of its domain holds it.
func TestSparesHoldTheModelOfTheirDomain(t *testing.T) {
	models := staged(New(1).Update(shaped([]int{8, 8}, []int{4, 4, 4, 4})))
	spares := map[string]int{}
	for id, model := range models {
		spares[id[:2]+model]++
	}
	assert.Assert(t, spares["e0large"] >= mostSpares, "%v", spares)
	assert.Equal(t, spares["e1small"], 3, "%v", spares)
}
