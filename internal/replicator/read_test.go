package replicator

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestReadIsConfirmedByAQuorum(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.runTicks(40)
	c.propose(c.leader(), -1)
	c.runTicks(2)
	c.read(c.leader())
	assert.Equal(t, c.confirmedReads, 0, "confirmed before a quorum has answered")
	c.runTicks(1)
	assert.Equal(t, c.confirmedReads, 1)
}

// TestPartitionedLeaderConfirmsNoRead guards against stale reads: an isolated leader
// does not know what a new leader has committed.
func TestPartitionedLeaderConfirmsNoRead(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.runTicks(40)
	oldLeader := c.leader()
	c.isolated[oldLeader] = true
	c.read(oldLeader)
	c.runTicks(60)
	assert.Equal(t, c.confirmedReads, 0)
	assert.Assert(t, c.machines[oldLeader].Role() != Leader)
}

func TestReadAtFollowerIsRejected(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.runTicks(40)
	for _, id := range c.ids() {
		if id == c.leader() {
			continue
		}
		effects := c.machines[id].Update(ReadMsg{ID: 7})
		assert.DeepEqual(t, effects[0], RejectedEffect{ID: 7, Err: ErrNotLeader}, cmpErrors)
	}
}

// TestPendingReadsAreRejectedWhenTheLeaderStepsDown guards against reads that never
// get a response.
func TestPendingReadsAreRejectedWhenTheLeaderStepsDown(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.runTicks(40)
	leader := c.leader()
	c.isolated[leader] = true
	c.read(leader)
	rejected := 0
	for range 40 {
		for _, effect := range c.machines[leader].Update(TickMsg{}) {
			if rejection, ok := effect.(RejectedEffect); ok && rejection.ID == c.nextID {
				rejected++
			}
		}
	}
	assert.Equal(t, rejected, 1)
}
