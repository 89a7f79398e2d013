package placer

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestMemberPutBackIsNotTakenByTheNextJoin guards against a join that is rejected as
// outdated and then sent again with the new count, although the report that came with it
// places the member in another group whose head serves.
func TestMemberPutBackIsNotTakenByTheNextJoin(t *testing.T) {
	c := servingCluster()
	head := c.headOf("large")
	member := c.endpoint(head.members[1])
	former := Order{Instance: member.view.Instance, BootTime: member.view.Born, Op: OpJoin, Group: head.report.Group, Epoch: head.report.Epoch, Model: "large", Members: head.members, AcceptedOrders: member.report.Orders + 1}
	c.cutRefusing(head.view.Instance)
	for member.report.Group != "" {
		c.step()
	}
	var next []Order
	for len(next) == 0 {
		c.now += planInterval
		next = slices.DeleteFunc(c.placer.Update(c.planMsg()), func(o Order) bool { return o.Op != OpJoin || o.Instance != member.view.Instance })
	}
	c.token++
	token := c.term*EpochsPerTerm + c.token
	c.deliver(former, token)
	c.deliver(next[0], token)
	c.run(3 * time.Second)
	assert.DeepEqual(t, c.violations, []string(nil))
}
