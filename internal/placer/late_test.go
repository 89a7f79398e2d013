package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// openLate lets a cluster run until an order to open a group is sent, which its head carries
// out late, and cuts the head off right after it. It returns the head.
func openLate(c *cluster, late time.Duration) *fakeEndpoint {
	var head *fakeEndpoint
	c.orderDelay = func(o Order) time.Duration {
		if head != nil || o.Op != OpOpen {
			return 0
		}
		head = c.endpoint(o.Instance)
		return late
	}
	for head == nil {
		c.step()
	}
	head.partitioned = true
	return head
}

// TestHeadThatOpensLateBehindACutIsNotFree guards against a head that gives no answer to the
// order to open its group, is cut off, carries the order out late, and is joined to another
// group once the cut ends, while it is open.
func TestHeadThatOpensLateBehindACutIsNotFree(t *testing.T) {
	for late := time.Second; late <= 12*time.Second; late += time.Second {
		for cut := time.Second; cut <= 26*time.Second; cut += time.Second {
			c := newCluster(1, 10)
			head := openLate(c, late)
			c.run(cut)
			head.partitioned = false
			c.run(6 * time.Second)
			assert.Equal(t, len(c.violations), 0, "late %s, cut %s: %v", late, cut, c.violations)
			assert.Assert(t, head.report.Group != "", "late %s, cut %s: the endpoint is in no group", late, cut)
		}
	}
}

// TestReleasedHeadThatServesAfterAllLeavesFirst guards against a head that reports to be open
// in a group that was released, and is joined to another one all the same: an order may be
// carried out later than any bound.
func TestReleasedHeadThatServesAfterAllLeavesFirst(t *testing.T) {
	c := newCluster(1, 10)
	head := openLate(c, 40*time.Second)
	former := ""
	for _, g := range c.placer.Groups() {
		if g.Head().Instance == head.view.Instance {
			former = g.Name
		}
	}
	c.run(41 * time.Second)
	assert.Assert(t, c.placer.ended[former], "the group was not released")
	assert.Equal(t, head.report.State, MemberOpen)
	head.partitioned = false
	c.run(2 * time.Second)
	assert.Equal(t, len(c.violations), 0, "%v", c.violations)
	assert.Assert(t, head.report.Group != former, "the head stays in its former group")
}

// TestOpenedHeadIsReleasedAfterItsStall guards against members that wait for an order to open
// which the head is known to have carried out.
func TestOpenedHeadIsReleasedAfterItsStall(t *testing.T) {
	c := servingCluster()
	head := c.headOf("large")
	group := head.report.Group
	head.partitioned = true
	start := c.now
	for !c.placer.ended[group] && c.now-start < time.Minute {
		c.step()
	}
	assert.Assert(t, c.now-start < stallLimit+3*time.Second, "released after %s", c.now-start)
}

// TestAdoptedGroupIsFormedAnewBeforeItOpens guards against a member of a group that an earlier
// leader formed, which carries out that leader's late order to join another one while the
// head serves.
func TestAdoptedGroupIsFormedAnewBeforeItOpens(t *testing.T) {
	c := newCluster(1, 4)
	c.orderDelay = func(o Order) time.Duration {
		if o.Op == OpOpen {
			return time.Hour
		}
		return 0
	}
	c.run(20 * time.Second)
	member := c.endpoints[1]
	former := member.report.Group
	assert.Equal(t, member.report.State, MemberReady)
	c.delayed = []delayedOrder{{c.now + 4*time.Second, Order{
		Instance: member.view.Instance, BootTime: member.view.Born, Op: OpJoin, Group: "small/1999999", Epoch: 1999999, Model: "small",
		Members: []string{member.view.Instance, c.endpoints[2].view.Instance}, AcceptedOrders: member.report.Orders,
	}, member.highestToken}}
	c.orderDelay = func(Order) time.Duration { return 0 }
	c.startTerm()
	c.run(10 * time.Second)
	assert.Equal(t, len(c.violations), 0, "%v", c.violations)
	assert.Assert(t, member.report.Group != former && member.report.Group != "small/1999999")
}

// TestReleasedGroupOfAnUnreachableHeadStaysReleased guards against a group that is taken back
// by the last report of a head that can't be reached, and then stays for good.
func TestReleasedGroupOfAnUnreachableHeadStaysReleased(t *testing.T) {
	c := servingCluster()
	head := c.headOf("large")
	group := head.report.Group
	head.partitioned = true
	c.run(40 * time.Second)
	assert.Assert(t, c.placer.ended[group])
	for _, g := range c.placer.Groups() {
		assert.Assert(t, g.Name != group, "the group is %s: %s", g.State, g.Reason)
	}
}
