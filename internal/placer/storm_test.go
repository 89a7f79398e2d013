package placer

import (
	"testing"

	"gotest.tools/v3/assert"
)

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
