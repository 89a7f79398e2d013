package replicator

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestReadIsConfirmedByAQuorum(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.settle(40)
	c.propose(c.leader(), -1)
	c.settle(2)
	c.read(c.leader())
	assert.Equal(t, c.confirms, 0, "confirmed before a quorum has answered")
	c.settle(1)
	assert.Equal(t, c.confirms, 1)
}

func TestCutOffLeaderConfirmsNoRead(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.settle(40)
	old := c.leader()
	c.cut[old] = true
	c.read(old)
	c.settle(60)
	assert.Equal(t, c.confirms, 0)
	assert.Assert(t, c.machines[old].Role() != Leader)
}

func TestReadAtAFollowerIsRefused(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.settle(40)
	for _, id := range c.ids() {
		if id == c.leader() {
			continue
		}
		effects := c.machines[id].Update(ReadMsg{ID: 7})
		assert.DeepEqual(t, effects[0], RejectedEffect{ID: 7, Err: ErrNotLeader}, cmpErrors)
	}
}

func TestPendingReadsAreRefusedWhenTheLeaderStepsDown(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.settle(40)
	leader := c.leader()
	c.cut[leader] = true
	c.read(leader)
	refused := 0
	for range 40 {
		for _, effect := range c.machines[leader].Update(TickMsg{}) {
			if reject, ok := effect.(RejectedEffect); ok && reject.ID == c.next {
				refused++
			}
		}
	}
	assert.Equal(t, refused, 1)
}
