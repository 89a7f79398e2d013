package replicator

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// outcome returns the error with which the effects reject a request, or nil.
func outcome(effects []Effect) error {
	for _, effect := range effects {
		if rejected, ok := effect.(RejectedEffect); ok {
			return rejected.Err
		}
	}
	return nil
}

// TestReplicaThatNeverAnsweredIsNoVoter guards against a replica that is lost as it joins and
// counts for the quorum although it never stored an entry.
func TestReplicaThatNeverAnsweredIsNoVoter(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.runTicks(40)
	leader := c.machines[c.leader()]
	for range 4 {
		assert.ErrorIs(t, outcome(leader.Update(LearnMsg{ID: 1, Replica: "gone"})), ErrNotCaughtUp)
		assert.ErrorIs(t, outcome(leader.Update(ChangeVotersMsg{ID: 2, Add: "gone"})), ErrNotCaughtUp)
		c.runTicks(1)
	}
	assert.Equal(t, len(leader.Voters()), 3)
	assert.Assert(t, slices.Contains(leader.peers(), "gone"))
	c.runTicks(learnerIdleTicks + 1)
	assert.Assert(t, !slices.Contains(leader.peers(), "gone"), "the log is sent to a lost learner for good")
}

// TestLearnerOfAnEarlierLeadershipMustAnswerAgain guards against a replica that caught up
// under an earlier leadership and is added in a later one, when it may be long gone.
func TestLearnerOfAnEarlierLeadershipMustAnswerAgain(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.runTicks(40)
	c.disks["new"] = &disk{}
	c.start("new")
	c.learn("new")
	first := c.leader()
	assert.NilError(t, outcome(c.machines[first].Update(LearnMsg{ID: 1, Replica: "new"})))
	c.isolated[first], c.isolated["new"] = true, true
	c.runTicks(60)
	c.isolated[first] = false
	for _, id := range c.ids() {
		if id != first && id != "new" {
			c.isolated[id] = c.machines[id].Role() == Leader
		}
	}
	c.runTicks(120)
	again := c.machines[c.leader()]
	assert.ErrorIs(t, outcome(again.Update(ChangeVotersMsg{ID: 2, Add: "new"})), ErrNotCaughtUp)
}

// TestLearnerCountsForNoQuorum guards against entries that are committed, and leaders that are
// confirmed, by replicas without a vote.
func TestLearnerCountsForNoQuorum(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.runTicks(40)
	c.disks["new"] = &disk{}
	c.start("new")
	c.learn("new")
	leader := c.leader()
	for _, id := range c.ids() {
		c.isolated[id] = id != leader && id != "new"
	}
	committed := c.machines[leader].CommitIndex()
	c.propose(leader, -1)
	c.runTicks(3)
	assert.Equal(t, c.machines[leader].CommitIndex(), committed)
	c.runTicks(3 * defaultElectionTicks)
	assert.Assert(t, c.machines[leader].Role() != Leader, "a leader is kept by a learner")
}

// TestReplicaWithoutAVoteForgetsASilentLeader guards against a learner, or a voter that was
// removed, that waits for good for a leader which no longer sends it anything.
func TestReplicaWithoutAVoteForgetsASilentLeader(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.runTicks(40)
	c.disks["new"] = &disk{}
	c.start("new")
	c.learn("new")
	assert.Equal(t, c.machines["new"].Leader(), c.leader())
	c.isolated["new"] = true
	c.runTicks(2 * defaultElectionTicks)
	assert.Equal(t, c.machines["new"].Leader(), "")
	assert.Equal(t, c.machines["new"].Role(), Follower)
}
