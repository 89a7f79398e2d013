package placer

import (
	"slices"
	"testing"
	"time"

	"papayaseam/internal/tracker"

	"gotest.tools/v3/assert"
)

// TestMemberPutBackIsNotTakenByTheNextJoin guards against a join that is rejected as
// outdated and then sent again with the new count, although the report that came with it
// places the member in another group whose head serves.
func TestMemberPutBackIsNotTakenByTheNextJoin(t *testing.T) {
	c := servingCluster()
	_, _, next, token := c.putBackMember(t)
	c.deliver(next, token)
	c.run(3 * time.Second)
	assert.DeepEqual(t, c.violations, []string(nil))
}

// TestRejectedJoinIsNotSentEveryPlan guards against a storm of orders to an endpoint that
// rejects a join for another reason than its count.
func TestRejectedJoinIsNotSentEveryPlan(t *testing.T) {
	msg := planWithOpenGroup()
	for i := range msg.Endpoints {
		msg.Endpoints[i].Report.Group, msg.Endpoints[i].Report.State, msg.Endpoints[i].Report.Epoch = "", "", 0
	}
	p := New(1)
	joins := 0
	for range 20 {
		for _, o := range p.Update(msg) {
			if o.Op == OpJoin {
				joins++
				p.RecordOutdated(o)
			}
		}
		msg.Now += planInterval
	}
	assert.Assert(t, joins <= 2*3, "%d joins in a second", joins)
}

// TestGroupOfForgottenMembersEnds guards against groups that are kept, published and
// planned for good, since all members crashed together and no later boot takes their names.
// A member that returns is not free before its group is found again.
func TestGroupOfForgottenMembersEnds(t *testing.T) {
	msg := planWithOpenGroup()
	all := slices.Clone(msg.Endpoints)
	p := New(1)
	p.Update(msg)
	msg.Endpoints = slices.DeleteFunc(slices.Clone(all), func(e tracker.Endpoint) bool { return e.Report.Group != "" })
	for range 60 {
		msg.Now += time.Second
		p.Update(msg)
	}
	assert.Equal(t, len(p.Groups()), 0)
	msg.Endpoints = all[1:]
	assert.DeepEqual(t, joiningInstances(p.Update(msg)), []string(nil))
	assert.Equal(t, len(p.Groups()), 1)
}
