package placer

import (
	"testing"
	"time"

	"papayaseam/internal/messenger"
	"papayaseam/internal/tracker"

	"gotest.tools/v3/assert"
)

// servingPair returns the endpoints of an open group of the small model, with the models
// that their hosts have staged and the head's active requests.
func servingPair(p *Placer, name, staged string, active int) []tracker.Endpoint {
	var endpoints []tracker.Endpoint
	g := &Group{Name: name, Service: "s", Model: "small", Epoch: 1, FabricDomain: "f", State: Open}
	for rank, id := range []string{name + "-0", name + "-1"} {
		g.Members = append(g.Members, Member{Instance: id, BootTime: 1})
		endpoints = append(endpoints, tracker.Endpoint{
			View:       messenger.EndpointView{Instance: id, Born: 1, Service: "s"},
			Report:     messenger.EndpointReport{FabricDomain: "f", Staged: []string{staged}, Models: []string{"small"}, Group: name, Epoch: 1, Rank: rank, State: MemberOpen, Active: active},
			ReportedAt: time.Minute, LastHeard: time.Minute,
		})
	}
	p.groups[name] = g
	return endpoints
}

// TestGroupsWithoutCopiesAreNotPreempted guards against a shortage of one model's weights in
// which groups of the other are closed although their members hold no copy of it: they
// complete nothing, and the other model's clients lose their places for it.
func TestGroupsWithoutCopiesAreNotPreempted(t *testing.T) {
	p := New(1)
	endpoints := servingPair(p, "idle", "small", 0)
	endpoints = append(endpoints, servingPair(p, "warm", "large", 9)...)
	endpoints = append(endpoints, servingPair(p, "other", "small", 4)...)
	p.setMsg(PlanMsg{Now: 2 * time.Minute, Service: "s", Engine: testEngine, Endpoints: endpoints, Demand: map[string]float64{"large": 4, "small": 1}})
	p.recordLastModels()
	large, _ := testEngine.Model("large")
	victims := p.chooseVictims(p.leastBusyGroups(), "f", large, large.GroupSize-2)
	assert.Equal(t, len(victims), 1)
	assert.Equal(t, victims[0].Name, "warm")
	assert.Equal(t, len(p.chooseVictims(p.leastBusyGroups(), "f", large, large.GroupSize-3)), 0, "no other group adds a copy")
}
