package replicator

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// suspectingTicks is the time from the refusal to a leader that has committed an entry: a
// missed heartbeat, and the turns of the voters until the one with the longest log.
const suspectingTicks = 10

// TestSuspectedLeaderIsReplacedSoon guards against voters that wait for the whole election
// timeout although the process of their leader has ended, and against campaigns at the same
// time: three that remain of four voters must all vote for the same one.
func TestSuspectedLeaderIsReplacedSoon(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 4, rapid.Uint64().Draw(t, "seed"))
		c.runTicks(60)
		former := c.leader()
		c.propose(former, -1)
		c.runTicks(rapid.IntRange(0, 3).Draw(t, "ticks"))
		c.isolated[former] = true
		for _, id := range c.ids() {
			if id != former {
				c.step(id, LeaderSuspectedMsg{Leader: former}, -1)
			}
		}
		c.runTicks(suspectingTicks)
		next := slices.IndexFunc(c.ids(), func(id string) bool {
			m := c.machines[id]
			return id != former && m.Role() == Leader && m.CommitIndex() >= m.termStartIndex
		})
		if next < 0 {
			t.Fatalf("no leader after %d ticks", suspectingTicks)
		}
	})
}

// silentTicks is the time from the loss of a leader to one that has committed an entry: an
// election timeout after the last heartbeat, and the turns of the other voters.
const silentTicks = defaultElectionTicks + defaultHeartbeatTicks + 3*suspicionStaggerTicks

// TestSilentLeaderIsReplacedWithoutSplitVotes guards against voters that campaign at the same
// time after their leader has lost its power, and then wait for another election timeout: while
// one of four voters is silent, all others must vote for the same one.
func TestSilentLeaderIsReplacedWithoutSplitVotes(t *testing.T) {
	for seed := range uint64(200) {
		c := newCluster(t, 4, seed)
		c.runTicks(60)
		former := c.leader()
		c.isolated[former] = true
		c.runTicks(silentTicks)
		assert.Assert(t, c.leader() != "", "seed %d: no leader after %d ticks", seed, silentTicks)
	}
}

// TestTurnsFollowTheVoters guards against voters whose turns are those of the voters at the time
// when they first heard of the leader, so that two of them campaign at the same time.
func TestTurnsFollowTheVoters(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, 3, seed)
		c.runTicks(60)
		former := c.leader()
		for _, id := range []string{"x", "y"} {
			c.disks[id] = &disk{}
			c.start(id)
			c.learn(id)
			c.step(former, ChangeVotersMsg{Add: id}, -1)
			c.runTicks(10)
		}
		c.isolated[former] = true
		c.runTicks(silentTicks)
		assert.Equal(t, c.leader(), "y", "seed %d", seed)
	}
}

// TestNewestVoterLeadsNext guards against a replacement of all control machines, one after the
// other, in which each next one that is stopped has just become the leader.
func TestNewestVoterLeadsNext(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, 4, seed)
		c.runTicks(60)
		former := c.leader()
		c.isolated[former] = true
		c.runTicks(silentTicks)
		others := slices.DeleteFunc(c.ids(), func(id string) bool { return id == former })
		assert.Equal(t, c.leader(), others[len(others)-1])
	}
}

// TestSuspicionDoesNotDisruptALivingLeader guards against a follower behind a cut that
// refuses connections in one direction, which would replace the leader of all others.
func TestSuspicionDoesNotDisruptALivingLeader(t *testing.T) {
	c := newCluster(t, 4, 7)
	c.runTicks(60)
	leader := c.leader()
	term := c.machines[leader].Term()
	for range 200 {
		for _, id := range c.ids() {
			if id != leader {
				c.step(id, LeaderSuspectedMsg{Leader: leader}, -1)
			}
			break
		}
		c.runTicks(1)
	}
	assert.Equal(t, c.leader(), leader)
	assert.Equal(t, c.machines[leader].Term(), term)
}

// TestChangeDecidedOnOtherVotersIsRejected guards against two changes that were decided on
// the same voters and together leave fewer than are needed.
func TestChangeDecidedOnOtherVotersIsRejected(t *testing.T) {
	c := newCluster(t, 4, 7)
	c.runTicks(60)
	m := c.machines[c.leader()]
	voters := slices.Clone(m.Voters())
	var removable []string
	for _, id := range voters {
		if id != c.leader() {
			removable = append(removable, id)
		}
	}
	c.step(m.ID(), ChangeVotersMsg{ID: 1, Remove: removable[0], Voters: voters}, -1)
	c.runTicks(10)
	assert.Equal(t, len(m.Voters()), 3)
	effects := m.Update(ChangeVotersMsg{ID: 2, Remove: removable[1], Voters: voters})
	assert.DeepEqual(t, effects, []Effect{RejectedEffect{ID: 2, Err: ErrVotersChanged}}, cmpErrors)
	assert.Equal(t, len(m.Voters()), 3)
}
