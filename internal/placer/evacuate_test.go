package placer

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// openGroupsOutside counts the groups of a model that serve outside a failure domain.
func (c *cluster) openGroupsOutside(model, domain string) int {
	n := 0
	for _, e := range c.endpoints {
		if e.domain != domain && e.alive && e.report.State == MemberOpen && c.modelOf(e.report.Group) == model {
			n++
		}
	}
	return n
}

// groupsIn returns the names of the groups that serve in a failure domain.
func (c *cluster) groupsIn(domain string) []string {
	var names []string
	for _, e := range c.endpoints {
		if e.domain == domain && e.alive && e.report.State == MemberOpen {
			names = append(names, e.report.Group)
		}
	}
	slices.Sort(names)
	return names
}

// ordersTo counts the orders of one operation that a plan sends to a failure domain.
func (c *cluster) ordersTo(domain string, ops ...Op) int {
	n := 0
	for _, order := range c.placer.Update(c.planMsg()) {
		if c.endpoint(order.Instance).domain == domain && slices.Contains(ops, order.Op) {
			n++
		}
	}
	return n
}

// TestGroupsOfAnEvacuatedDomainStayOpen guards against groups that are closed, or taken
// apart for other models, while their failure domain is evacuated: they must serve at once
// when the evacuation is revoked.
func TestGroupsOfAnEvacuatedDomainStayOpen(t *testing.T) {
	for _, evacuated := range [][]string{nil, {"d1"}} {
		c := servingCluster()
		before := c.groupsIn("d1")
		assert.Assert(t, len(before) > 0)
		c.evacuated = evacuated
		c.demand = map[string]float64{"large": 22, "small": 1}
		c.run(60 * time.Second)
		assert.DeepEqual(t, c.violations, []string(nil))
		if evacuated == nil {
			assert.Assert(t, !slices.Equal(c.groupsIn("d1"), before), "the demand changes nothing; the test shows nothing")
			continue
		}
		assert.DeepEqual(t, c.groupsIn("d1"), before)
		c.evacuated, c.demand = nil, map[string]float64{"large": 7.4, "small": 8.1}
		c.step()
		assert.DeepEqual(t, c.groupsIn("d1"), before)
	}
}

// TestNothingIsFormedOrLoadedInAnEvacuatedDomain loses a member of a group there: its
// survivors form no other group and load nothing, until the evacuation is revoked.
func TestNothingIsFormedOrLoadedInAnEvacuatedDomain(t *testing.T) {
	c := servingCluster()
	c.evacuated = []string{"d0"}
	var lost []string
	for _, e := range c.endpoints {
		if e.domain == "d0" && e.report.State == MemberOpen && len(lost) < 2 {
			lost = append(lost, e.members[1])
		}
	}
	for _, id := range lost {
		c.crash(id)
	}
	c.add("empty", "d0")
	for range 200 {
		c.step()
		assert.Equal(t, c.ordersTo("d0", OpJoin, OpStage), 0, "at %v", c.now)
	}
	idle := c.idleInstances()
	c.evacuated = nil
	c.run(5 * time.Second)
	assert.Assert(t, c.idleInstances() < idle, "%d instances idle before the end, %d after", idle, c.idleInstances())
	assert.DeepEqual(t, c.violations, []string(nil))
}

// TestTargetsFollowTheCapacityThatIsLeft guards against a model whose groups are all in an
// evacuated failure domain, and that gets none elsewhere because those count.
func TestTargetsFollowTheCapacityThatIsLeft(t *testing.T) {
	c := servingCluster()
	evacuate := func(domains ...string) {
		msg := c.placer.msg
		msg.Evacuated = domains
		c.placer.setMsg(msg)
	}
	for _, model := range testEngine.Models {
		evacuate()
		all := c.placer.targetInstances(model)
		evacuate("d0")
		assert.Assert(t, c.placer.targetInstances(model) < all, model.Name)
	}
	c.placer.msg.Demand = nil
	left := 0.0
	for _, model := range testEngine.Models {
		left += c.placer.targetInstances(model)
	}
	assert.Equal(t, left, 20.0)
}

// TestModelThatIsLeftWithoutGroupsGetsOne evacuates the failure domain that has the only
// group of a model, whose requests would all be refused otherwise.
func TestModelThatIsLeftWithoutGroupsGetsOne(t *testing.T) {
	c := newCluster(1, 4)
	c.run(time.Minute)
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		c.add(id, "d1")
	}
	c.run(time.Minute)
	assert.Equal(t, c.openGroups("large"), 1)
	assert.Equal(t, c.openGroupsOutside("large", "d0"), 0)
	c.demand = map[string]float64{"large": 3, "small": 1}
	c.run(time.Second)
	c.evacuated = []string{"d0"}
	c.run(30 * time.Second)
	assert.Equal(t, c.openGroupsOutside("large", "d0"), 1, "no group of the model outside d0")
	assert.Equal(t, len(c.groupsIn("d0")), 1)
	assert.DeepEqual(t, c.violations, []string(nil))
}

// TestPlansWithoutAnEvacuationAreUnchanged guards against other decisions where there is no
// evacuation: a list that names no domain of the deployment gives the same orders.
func TestPlansWithoutAnEvacuationAreUnchanged(t *testing.T) {
	c, other := servingCluster(), servingCluster()
	other.evacuated = []string{"elsewhere"}
	for _, each := range []*cluster{c, other} {
		each.crash(each.headOf("large").members[1])
		each.run(20 * time.Second)
	}
	assert.Equal(t, c.orderCount, other.orderCount)
	for i, e := range c.endpoints {
		assert.DeepEqual(t, e.report, other.endpoints[i].report)
	}
}

// TestEvacuationHistories applies random evacuations and revocations beside crashes,
// restarts and changes of the leader. The rules for groups hold, and no join or load is
// ordered in an evacuated failure domain.
func TestEvacuationHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(3, 5)
		c.run(20 * time.Second)
		c.demand = map[string]float64{"large": 4, "small": 4}
		for range rapid.IntRange(3, 12).Draw(t, "steps") {
			e := rapid.SampledFrom(c.endpoints).Draw(t, "endpoint")
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				c.crash(e.view.Instance)
			case 1:
				c.restart(e.view.Instance)
			case 2:
				c.startTerm()
			case 3:
				c.evacuated = nil
			default:
				c.evacuated = []string{e.domain}
			}
			for range rapid.IntRange(1, 60).Draw(t, "plans") {
				c.step()
				for _, g := range c.placer.Groups() {
					if g.Epoch/EpochsPerTerm == c.term && g.StateSince == c.now && g.State == Forming && slices.Contains(c.evacuated, g.FailureDomain) {
						t.Fatalf("%s began in an evacuated failure domain", g.Name)
					}
				}
			}
			if len(c.violations) > 0 {
				t.Fatalf("%v", c.violations)
			}
		}
	})
}
