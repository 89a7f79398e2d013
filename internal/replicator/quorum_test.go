package replicator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// wipe ends a replica and starts another one, with an empty disk, at its address: the part of
// the identity before the slash.
func (c *cluster) wipe(id string) string {
	delete(c.machines, id)
	delete(c.disks, id)
	delete(c.isolated, id)
	c.nextID++
	successor := fmt.Sprintf("%s/%d", addressOf(id), c.nextID)
	c.disks[successor] = &disk{}
	c.start(successor)
	return successor
}

func addressOf(id string) string {
	address, _, _ := strings.Cut(id, "/")
	return address
}

// answerAt tells the sender of a message to a lost replica that another one answers there.
func (c *cluster) answerAt(from, to string) {
	for _, id := range c.ids() {
		if c.machines[to] == nil && addressOf(id) == addressOf(to) && c.machines[from] != nil && !c.isolated[id] && !c.isolated[from] {
			c.step(from, DiskLostMsg{Replica: to}, -1)
		}
	}
}

// runAnswering is runTicks where senders learn which replica answers.
func (c *cluster) runAnswering(ticks int) {
	for range ticks {
		for _, id := range c.ids() {
			c.step(id, TickMsg{}, -1)
		}
		for n := 0; len(c.network) > 0 && n < 10000; n++ {
			message := c.network[0]
			c.deliver(0, -1)
			c.answerAt(message.From, message.To)
		}
	}
}

// TestHalfOfTheVotersGoOnBesideALostDisk guards against control that ends for good while four
// voters stand, one falls silent and another one's disk is lost.
func TestHalfOfTheVotersGoOnBesideALostDisk(t *testing.T) {
	for _, n := range []int{2, 4, 6} {
		for seed := range uint64(50) {
			c := newCluster(t, n, seed)
			c.runTicks(60)
			c.propose(c.leader(), -1)
			c.runTicks(10)
			order := c.ids()
			rand.New(rand.NewPCG(seed, 1)).Shuffle(n, func(i, j int) { order[i], order[j] = order[j], order[i] })
			before := len(c.history)
			for _, silent := range order[n/2+1:] {
				c.isolated[silent] = true
			}
			c.wipe(order[n/2])
			c.runAnswering(120)
			next := c.leader()
			assert.Assert(t, next != "", "%d voters, seed %d: no leader", n, seed)
			c.propose(next, -1)
			c.runAnswering(20)
			assert.Assert(t, len(c.history) > before, "%d voters, seed %d: nothing is committed", n, seed)
		}
	}
}

// TestHalfOfTheVotersWithoutAProofStandsStill guards against two halves that go on beside one
// another, where a cut keeps them apart.
func TestHalfOfTheVotersWithoutAProofStandsStill(t *testing.T) {
	for _, n := range []int{2, 4, 6} {
		c := newCluster(t, n, 1)
		c.runTicks(60)
		for _, id := range c.ids()[:n/2] {
			c.isolated[id] = true
		}
		c.runAnswering(120)
		for _, id := range c.ids() {
			assert.Assert(t, c.machines[id].Role() != Leader, "%d voters: half of them elect a leader", n)
		}
	}
}

// TestEachMemberOfAHalfMustKnowOfTheLostDisk guards against a half that counts a replica
// which may itself have been lost before.
func TestEachMemberOfAHalfMustKnowOfTheLostDisk(t *testing.T) {
	voters := []string{"a", "b", "c", "d"}
	m := New("a", PersistentState{})
	m.lost["c"] = true
	b := &ballot{m: m, granted: map[string]bool{"a": true, "b": true}, lost: map[string][]string{}}
	assert.Assert(t, !isQuorum(voters, b))
	b.lost["b"] = []string{"c"}
	assert.Assert(t, isQuorum(voters, b))
	assert.Assert(t, !isQuorum([]string{"a", "b", "d", "e"}, b), "a lost disk that is no voter's counts")
	assert.Assert(t, !isQuorum([]string{"a", "b", "c", "d", "e"}, b), "less than a half counts")
	b.granted = map[string]bool{"a": true, "c": true}
	b.lost["c"] = []string{"c"}
	assert.Assert(t, !isQuorum(voters, b), "a half that holds the lost disk itself counts")
}

// TestRemovalNeedsAQuorumOfTheVotersBefore guards against a removal that is committed by a
// majority of the voters after it only: a half of those before it would not hold the entry.
func TestRemovalNeedsAQuorumOfTheVotersBefore(t *testing.T) {
	c := newCluster(t, 4, 7)
	c.runTicks(60)
	leader := c.machines[c.leader()]
	others := slices.DeleteFunc(c.ids(), func(id string) bool { return id == leader.ID() })
	c.isolated[others[1]], c.isolated[others[2]] = true, true
	c.step(leader.ID(), ChangeVotersMsg{ID: 1, Remove: others[2]}, -1)
	c.runTicks(5)
	index := leader.configs[len(leader.configs)-1].index
	assert.Assert(t, leader.CommitIndex() < index, "two of four voters commit a removal")
	c.isolated[others[2]] = false
	c.runTicks(5)
	assert.Assert(t, leader.CommitIndex() >= index, "the voter that is removed does not count before")
}

// TestVotersOfTheLastChangeSurviveARestart guards against replicas that need, after a restart
// of all, a quorum of voters that were replaced long ago.
func TestVotersOfTheLastChangeSurviveARestart(t *testing.T) {
	c := newCluster(t, 4, 7)
	c.runTicks(60)
	leader := c.leader()
	removed := slices.DeleteFunc(c.ids(), func(id string) bool { return id == leader })[0]
	c.step(leader, ChangeVotersMsg{ID: 1, Remove: removed}, -1)
	c.runTicks(10)
	delete(c.machines, removed)
	down := slices.DeleteFunc(c.ids(), func(id string) bool { return id == leader })[0]
	for _, id := range c.ids() {
		c.start(id)
	}
	c.isolated[down] = true
	c.runTicks(80)
	assert.Assert(t, c.leader() != "", "two of three voters elect no leader after a restart")
}

// TestLostDisksUnderRandomFaults loses one disk at a time under random faults and membership
// changes: messages that are lost, repeated and reordered, also those of the lost replica,
// partitions and crashes. No term may have two leaders, no replica may diverge, and nothing
// that was applied may be gone; control must recover once the faults end.
func TestLostDisksUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 4, 5, 6}).Draw(t, "replicas")
		c := newCluster(t, n, rapid.Uint64().Draw(t, "seed"), WithBatchEntries(3), WithBatchBytes(10))
		c.runTicks(60)
		for range rapid.IntRange(1, 3).Draw(t, "losses") {
			steps := rapid.IntRange(10, 120).Draw(t, "steps")
			wipeAt := rapid.IntRange(0, steps).Draw(t, "wiped at")
			for i := range steps {
				if i == wipeAt {
					c.wipe(rapid.SampledFrom(c.voterIDs()).Draw(t, "wiped"))
				}
				c.randomMemberStep(t)
			}
			c.settleMembers(t)
		}
	})
}

// voterIDs returns the running replicas that are voters by their own log.
func (c *cluster) voterIDs() []string {
	return slices.DeleteFunc(c.ids(), func(id string) bool { return !c.machines[id].isMember(id) })
}

// randomMemberStep performs a random step, a membership change or a report of a lost disk.
func (c *cluster) randomMemberStep(t *rapid.T) {
	id := rapid.SampledFrom(c.ids()).Draw(t, "member")
	other := rapid.SampledFrom(c.ids()).Draw(t, "other")
	m := c.machines[id]
	switch action := rapid.IntRange(0, 15).Draw(t, "member action"); {
	case action == 0:
		c.step(id, LearnMsg{Replica: other}, -1)
	case action == 1:
		c.step(id, ChangeVotersMsg{Add: other}, -1)
	case action == 2 && len(m.Voters()) > 3:
		c.step(id, ChangeVotersMsg{Remove: rapid.SampledFrom(m.Voters()).Draw(t, "removed")}, -1)
	case action < 6:
		for _, voter := range m.members() {
			c.answerAt(id, voter)
		}
	case action < 8:
		c.runAnswering(rapid.IntRange(1, 4).Draw(t, "rounds"))
	default:
		c.randomStep(t)
	}
}

// settleMembers ends the faults and replaces lost voters until the voters are the running
// replicas. It fails if there is no leader or if a replica lacks an applied entry then.
func (c *cluster) settleMembers(t *rapid.T) {
	clear(c.isolated)
	for range 60 {
		c.runAnswering(40)
		leader := c.leader()
		if leader == "" {
			continue
		}
		m := c.machines[leader]
		c.propose(leader, -1)
		c.runAnswering(3)
		ids := c.ids()
		gone := slices.IndexFunc(m.Voters(), func(id string) bool { return c.machines[id] == nil })
		if gone >= 0 {
			c.step(leader, ChangeVotersMsg{Remove: m.Voters()[gone]}, -1)
			continue
		}
		missing := slices.IndexFunc(ids, func(id string) bool { return !m.isVoter(id) })
		if missing >= 0 {
			c.step(leader, LearnMsg{Replica: ids[missing]}, -1)
			c.runAnswering(5)
			c.step(leader, ChangeVotersMsg{Add: ids[missing]}, -1)
			continue
		}
		behind := slices.ContainsFunc(ids, func(id string) bool { return len(c.applied[id]) != len(c.history) })
		if !behind {
			return
		}
	}
	for _, id := range c.ids() {
		m := c.machines[id]
		t.Logf("%q: %s in term %d, voters %v, log of %d to %d, committed %d, lost %q", id, m.Role(), m.Term(), m.activeConfigs(), m.lastTerm(), m.lastIndex(), m.CommitIndex(), m.lostMembers())
	}
	t.Fatalf("the voters do not settle after the faults ended; leader %q", c.leader())
}
