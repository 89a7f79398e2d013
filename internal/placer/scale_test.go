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

// findGroup returns a group by its name.
func (c *cluster) findGroup(name string) (Group, bool) {
	groups := c.placer.Groups()
	i := slices.IndexFunc(groups, func(g Group) bool { return g.Name == name })
	if i < 0 {
		return Group{}, false
	}
	return groups[i], true
}

// TestGroupIsAbandonedWhenMembersRefuseOrders has members that refuse every join order
// because they have seen a higher epoch. Without the limit on refusals the group
// would hold them until its deadline.
func TestGroupIsAbandonedWhenMembersRefuseOrders(t *testing.T) {
	c := newCluster(1, 4)
	for _, e := range c.endpoints {
		e.highestEpoch = 9 * EpochsPerTerm
	}
	c.step()
	name := c.placer.Groups()[0].Name
	c.run(2 * defaultRetryInterval)
	_, exists := c.findGroup(name)
	assert.Assert(t, !exists, "%s still holds its members", name)
}

// TestGroupSurvivesOneRefusedOrder has one order refused because a later one of the
// same leader overtook it in transit; the group must still open.
func TestGroupSurvivesOneRefusedOrder(t *testing.T) {
	c := newCluster(1, 4)
	c.step()
	name := c.placer.Groups()[0].Name
	c.placer.RecordRefusal(name)
	c.run(testEngine.Models[0].ColdLoadTime + formMargin)
	g, exists := c.findGroup(name)
	assert.Assert(t, exists && g.State == Open)
}

// TestAdoptedGroupDoesNotReclaimMemberOfAnotherGroup has a new leader adopt a forming
// group, one member of which then reports another group. The member must not be
// ordered to join the first one again.
func TestAdoptedGroupDoesNotReclaimMemberOfAnotherGroup(t *testing.T) {
	msg := planWithOpenGroup()
	msg.Endpoints[0].Report.State = MemberReady
	p := New(2)
	p.Update(msg)
	assert.Equal(t, p.Groups()[0].Name, "small/1")
	msg.Now += planInterval
	msg.Endpoints[1].Report.Group, msg.Endpoints[1].Report.Epoch = "small/7", 7
	orders := p.Update(msg)
	assert.Assert(t, !slices.ContainsFunc(orders, func(o Order) bool { return o.Op == OpJoin && o.Group == "small/1" }), "%v", orders)
}

// TestGroupIsAbandonedAfterFormDeadline has members that accept orders but never join;
// they must not be held forever.
func TestGroupIsAbandonedAfterFormDeadline(t *testing.T) {
	c := newCluster(1, 4)
	c.orderDelay = func(Order) time.Duration { return time.Hour }
	c.step()
	name := c.placer.Groups()[0].Name
	c.run(formDeadlineFactor*(testEngine.Models[0].ColdLoadTime+formMargin) + planInterval)
	_, exists := c.findGroup(name)
	assert.Assert(t, !exists)
}

// TestLoadsOfTwoLeadersRespectStoreLimit counts loads over one load window in which
// the leader changes right after it used up the limit.
func TestLoadsOfTwoLeadersRespectStoreLimit(t *testing.T) {
	c := servingCluster()
	for i := range 40 {
		c.add(fmt.Sprintf("new-%02d", i), "d0")
	}
	before := c.loadCount
	c.run(2 * planInterval)
	c.term++
	c.placer = New(c.term, WithStallTimeout(stallLimit), WithPreviousLeaderLoads(testEngine.MaxLoadsPerSec, c.now))
	c.run(time.Second - 3*planInterval)
	assert.Assert(t, c.loadCount-before > 0)
	assert.Assert(t, c.loadCount-before <= int(testEngine.MaxLoadsPerSec), "%d loads in one second", c.loadCount-before)
}

// TestNewLeaderWithoutDemandRespectsStoreLimit has a leader elected while clients are
// served that has not measured any demand yet. It must not load at the higher rate
// used before there is traffic.
func TestNewLeaderWithoutDemandRespectsStoreLimit(t *testing.T) {
	c := servingCluster()
	for i := range 40 {
		c.add(fmt.Sprintf("new-%02d", i), "d0")
	}
	c.startTerm()
	msg := c.planMsg()
	msg.Demand = nil
	msg.HadTraffic = true
	loads := 0
	for _, o := range c.placer.Update(msg) {
		if o.Op == OpStage || o.Op == OpJoin {
			loads++
		}
	}
	assert.Assert(t, loads <= int(testEngine.MaxLoadsPerSec), "%d loads in one plan", loads)
}

// TestSingleFailedCallDoesNotCloseGroup has a leader that is delayed itself: one call
// to a member timed out, long after the member's last announcement. Only a second
// failed call may close the group.
func TestSingleFailedCallDoesNotCloseGroup(t *testing.T) {
	msg := planWithOpenGroup()
	p := New(1)
	p.Update(msg)
	msg.Now += 2 * time.Second
	msg.Endpoints[1].FailingSince = msg.Now - defaultUnreachableAfter - time.Millisecond
	msg.Endpoints[1].FailedCalls = 1
	p.Update(msg)
	assert.Equal(t, p.Groups()[0].State, Open)
	msg.Endpoints[1].FailedCalls = MinFailedCalls
	p.Update(msg)
	assert.Equal(t, p.Groups()[0].State, Closing)
}

// clusterShortOfLarge returns a serving cluster of fabric domains of 12 instances in
// which most of the demand is for the small model.
func clusterShortOfLarge(domains int) *cluster {
	c := newCluster(domains, 12)
	c.run(60 * time.Second)
	c.demand = map[string]float64{"large": 20, "small": 60}
	c.run(20 * time.Second)
	return c
}

// TestPreemptionsScaleWithFleetSize shifts most of the demand to the other model. In a
// fleet of twenty fabric domains, preempting in one domain at a time would be too
// slow.
func TestPreemptionsScaleWithFleetSize(t *testing.T) {
	c := clusterShortOfLarge(20)
	before := c.openGroups("large")
	c.demand = map[string]float64{"large": 200, "small": 20}
	c.run(12 * time.Second)
	assert.Assert(t, c.openGroups("large") >= before+2*20/domainsPerPreemption, "%d groups before the shift, %d after", before, c.openGroups("large"))
	assert.DeepEqual(t, c.violations, []string(nil))
}

// TestTrackerCountsConsecutiveFailedCalls checks the count that MinFailedCalls is
// compared with: it rises with each failed call and a heartbeat resets it.
func TestTrackerCountsConsecutiveFailedCalls(t *testing.T) {
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

// planShortOfLarge returns the input for a fabric domain in which the large model has
// no group left while the small one has more than enough. Three free hosts hold the
// small model, one holds none.
func planShortOfLarge() PlanMsg {
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

// stagedModels returns the models of the stage orders by instance.
func stagedModels(orders []Order) map[string]string {
	models := map[string]string{}
	for _, o := range orders {
		if o.Op == OpStage {
			models[o.Instance] = o.Model
		}
	}
	return models
}

// TestLoadsGoToModelWithLargestDeficit covers endpoints that are lost for good and
// replaced by empty ones while the store allows few loads. The small model loads
// faster but has enough instances, so it must not go first.
func TestLoadsGoToModelWithLargestDeficit(t *testing.T) {
	msg := planShortOfLarge()
	p := New(1)
	models := map[string]string{}
	for range 4 {
		for id, model := range stagedModels(p.Update(msg)) {
			models[id] = model
		}
		msg.Now += time.Second
	}
	assert.DeepEqual(t, models, map[string]string{"e4": "large", "e5": "large", "e6": "large", "e7": "large"})
}

// TestLoadThatCompletesGroupGoesFirst has one fabric domain that is one load short of
// a group and another that is three short, while the store allows one load at a
// time.
func TestLoadThatCompletesGroupGoesFirst(t *testing.T) {
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
	assert.DeepEqual(t, stagedModels(New(1).Update(msg)), map[string]string{"e7": "large"})
}

// TestFormingGroupsSurviveLeaderChange replaces the leader while a group forms. A group
// that all members have begun to join must not be closed.
func TestFormingGroupsSurviveLeaderChange(t *testing.T) {
	c := servingCluster()
	head := c.headOf("large")
	c.crash(head.members[1])
	forming := ""
	for forming == "" {
		c.step()
		for _, g := range c.placer.Groups() {
			if g.State == Forming {
				forming = g.Name
			}
		}
	}
	c.step()
	var known []messenger.GroupView
	for _, g := range c.placer.Groups() {
		view := messenger.GroupView{Name: g.Name, Epoch: g.Epoch, Service: g.Service, Model: g.Model, Open: g.State == Open}
		view.Members = instanceNames(g.Members)
		known = append(known, view)
	}
	c.startTerm()
	msg := c.planMsg()
	msg.KnownGroups = known
	c.placer.Update(msg)
	g, exists := c.findGroup(forming)
	assert.Assert(t, exists && g.State != Closing, "%s closed: %s", forming, g.Reason)
	c.run(5 * time.Second)
	assert.DeepEqual(t, c.violations, []string(nil))
}

// planWithGroupSizes returns the input for fabric domains of 19 instances that hold
// open groups of the given sizes.
func planWithGroupSizes(domains ...[]int) PlanMsg {
	engine := testEngine
	engine.Models = []describer.Model{
		{Name: "large", GroupSize: 8, InitialShare: 0.5, TimeFactor: 1, ColdLoadTime: 16 * time.Second, WarmLoadTime: 1600 * time.Millisecond},
		{Name: "small", GroupSize: 4, InitialShare: 0.5, TimeFactor: 0.6, ColdLoadTime: 12 * time.Second, WarmLoadTime: 1100 * time.Millisecond},
	}
	engine.MaxLoadsPerSec, engine.MaxConcurrentLoads = 32, 32
	msg := PlanMsg{Now: time.Second, Service: "s", Engine: engine}
	modelOfSize := map[int]string{8: "large", 4: "small"}
	for d, sizes := range domains {
		var reports []messenger.EndpointReport
		for n, size := range sizes {
			for rank := range size {
				model := modelOfSize[size]
				other := map[string]string{"large": "small", "small": "large"}[model]
				reports = append(reports, messenger.EndpointReport{
					Group: fmt.Sprintf("%s/%d", model, 10*d+n+1), Epoch: 10*d + n + 1, Rank: rank, State: MemberReady, Models: []string{model}, Staged: []string{other},
				})
				if rank == 0 {
					reports[len(reports)-1].State = MemberOpen
				}
			}
		}
		for i := range 19 {
			e := tracker.Endpoint{View: messenger.EndpointView{Instance: fmt.Sprintf("e%d-%02d", d, i), Born: 1, Service: "s"}, ReportedAt: time.Second, LastHeard: time.Second}
			if i < len(reports) {
				e.Report = reports[i]
			}
			e.Report.FabricDomain = fmt.Sprint(d)
			msg.Endpoints = append(msg.Endpoints, e)
		}
	}
	return msg
}

// TestSparesStageModelOfTheirDomain has fabric domains with groups of 8 + 8 and of
// 4 + 4 + 4 + 4, and 3 spares each. A large group that loses a member can only be
// replaced quickly if spares of its domain hold the large model.
func TestSparesStageModelOfTheirDomain(t *testing.T) {
	models := stagedModels(New(1).Update(planWithGroupSizes([]int{8, 8}, []int{4, 4, 4, 4})))
	spares := map[string]int{}
	for id, model := range models {
		spares[id[:2]+model]++
	}
	assert.Assert(t, spares["e0large"] >= maxSpares, "%v", spares)
	assert.Equal(t, spares["e1small"], 3, "%v", spares)
}
