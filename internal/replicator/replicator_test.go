package replicator

import (
	"fmt"
	"slices"
	"testing"

	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// disk holds the state that a replica has saved.
type disk struct{ state PersistentState }

func (d *disk) save(effect SaveEffect) {
	if effect.Vote != nil {
		d.state.Vote = *effect.Vote
	}
	if effect.Snapshot != nil {
		d.state.Entries = slices.DeleteFunc(d.state.Entries, func(e messenger.Entry) bool { return effect.Reset || e.Index <= effect.Snapshot.Index })
		d.state.Snapshot = *effect.Snapshot
	}
	if len(effect.Entries) > 0 {
		firstIndex := effect.Entries[0].Index
		d.state.Entries = slices.DeleteFunc(d.state.Entries, func(e messenger.Entry) bool { return e.Index >= firstIndex })
		d.state.Entries = append(d.state.Entries, effect.Entries...)
	}
}

// cluster runs replicas in one goroutine and checks after each step that a term has
// at most one leader, that the applied histories agree and that reads are not stale.
type cluster struct {
	t              testingT
	machines       map[string]*Machine
	disks          map[string]*disk
	network        []messenger.ReplicaMessage
	applied        map[string][]string
	history        []string // history is the longest sequence of entries that a replica has applied.
	leaderByTerm   map[int]string
	accepted       int
	nextID         uint64
	isolated       map[string]bool // isolated holds the replicas cut off from all others.
	pendingReads   map[uint64]int  // pendingReads maps the ID of a read to the length of history when it was requested.
	confirmedReads int
	opts           []Option
}

type testingT interface {
	Fatalf(format string, args ...any)
}

func newCluster(t testingT, n int, seed uint64, opts ...Option) *cluster {
	c := &cluster{
		t: t, machines: map[string]*Machine{}, disks: map[string]*disk{}, applied: map[string][]string{},
		leaderByTerm: map[int]string{}, isolated: map[string]bool{}, pendingReads: map[uint64]int{}, opts: append([]Option{WithSeed(seed)}, opts...),
	}
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprintf("%c%*s", 'a'+i, i, ""))
	}
	for _, id := range ids {
		c.disks[id] = &disk{PersistentState{Snapshot: messenger.Snapshot{Voters: ids}}}
		c.start(id)
	}
	return c
}

// start starts or restarts a replica from its disk.
func (c *cluster) start(id string) {
	c.applied[id] = decodeApplied(c.disks[id].state.Snapshot.Data)
	c.machines[id] = New(id, c.disks[id].state, c.opts...)
}

// decodeApplied splits snapshot data into the applied entries, 8 bytes each.
func decodeApplied(data []byte) []string {
	var applied []string
	for _, chunk := range slices.Collect(slices.Chunk(data, 8)) {
		applied = append(applied, string(chunk))
	}
	return applied
}

func (c *cluster) ids() []string {
	var ids []string
	for id := range c.machines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// step updates one replica and executes the effects. If crashAfter is not negative,
// the replica crashes after that many effects and restarts from its disk.
func (c *cluster) step(id string, msg Msg, crashAfter int) {
	for i, effect := range c.machines[id].Update(msg) {
		if crashAfter == i {
			c.start(id)
			return
		}
		c.execute(id, effect)
	}
}

func (c *cluster) execute(id string, effect Effect) {
	switch effect := effect.(type) {
	case SaveEffect:
		c.disks[id].save(effect)
	case SendEffect:
		c.network = append(c.network, effect.Message)
	case RestoreEffect:
		c.applied[id] = decodeApplied(effect.Snapshot.Data)
		c.checkPrefix(id)
	case ApplyEffect:
		for _, entry := range effect.Entries {
			c.applied[id] = append(c.applied[id], fmt.Sprintf("%d:%06s", entry.Kind, entry.Data)[:8])
		}
		c.checkPrefix(id)
	case ReadConfirmedEffect:
		c.checkRead(id, effect.ID)
	case LeaderChangedEffect:
		if effect.Role != Leader {
			return
		}
		if other, ok := c.leaderByTerm[effect.Term]; ok && other != id {
			c.t.Fatalf("two leaders in term %d: %q and %q", effect.Term, other, id)
		}
		c.leaderByTerm[effect.Term] = id
	}
}

// checkPrefix checks that the entries applied by a replica and the history are a
// prefix of one another.
func (c *cluster) checkPrefix(id string) {
	applied := c.applied[id]
	n := min(len(applied), len(c.history))
	if !slices.Equal(applied[:n], c.history[:n]) {
		c.t.Fatalf("replica %q applied entries that diverge from the history:\n%v\n%v", id, applied, c.history)
	}
	if len(applied) > len(c.history) {
		c.history = slices.Clone(applied)
	}
}

func (c *cluster) propose(id string, crashAfter int) {
	c.nextID++
	c.step(id, ProposeMsg{ID: c.nextID, Data: fmt.Appendf(nil, "%06d", c.nextID)}, crashAfter)
}

// read sends a read to a replica.
func (c *cluster) read(id string) {
	c.nextID++
	c.pendingReads[c.nextID] = len(c.history)
	c.step(id, ReadMsg{ID: c.nextID}, -1)
}

// checkRead checks that a confirmed read sees every entry that any replica had applied
// when the read was requested.
func (c *cluster) checkRead(id string, readID uint64) {
	c.confirmedReads++
	if len(c.applied[id]) < c.pendingReads[readID] {
		c.t.Fatalf("replica %q confirmed a read with %d of %d entries applied", id, len(c.applied[id]), c.pendingReads[readID])
	}
}

// compact replaces the applied entries of a replica's log with a snapshot.
func (c *cluster) compact(id string) {
	var data []byte
	for _, entry := range c.applied[id] {
		data = append(data, entry...)
	}
	c.step(id, CompactMsg{Index: c.machines[id].AppliedIndex(), Data: data}, -1)
}

// deliver takes message i off the network and passes it to its receiver, unless either
// side is isolated or the receiver is gone.
func (c *cluster) deliver(i, crashAfter int) {
	message := c.network[i]
	c.network = slices.Delete(c.network, i, i+1)
	if c.isolated[message.To] || c.isolated[message.From] || c.machines[message.To] == nil {
		return
	}
	c.step(message.To, ReceiveMsg{Message: message}, crashAfter)
}

// runTicks ticks all replicas and delivers all messages in order, for a number of ticks.
func (c *cluster) runTicks(ticks int) {
	for range ticks {
		for _, id := range c.ids() {
			c.step(id, TickMsg{}, -1)
		}
		for n := 0; len(c.network) > 0 && n < 10000; n++ {
			c.deliver(0, -1)
		}
	}
}

// learn lets a running replica catch up as a learner of the leader.
func (c *cluster) learn(id string) {
	c.step(c.leader(), LearnMsg{Replica: id}, -1)
	c.runTicks(10)
}

// leader returns the reachable leader of the highest term, or an empty string.
func (c *cluster) leader() string {
	leader, term := "", -1
	for id, m := range c.machines {
		if m.Role() == Leader && m.Term() > term && !c.isolated[id] {
			leader, term = id, m.Term()
		}
	}
	return leader
}

// TestReplicationUnderRandomFaults runs random sequences of faults: lost, duplicated
// and reordered messages, partitions, crashes between any two effects, snapshots.
// Replicas must never diverge, and must all catch up after the faults end.
func TestReplicationUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "replicas")
		c := newCluster(t, n, rapid.Uint64().Draw(t, "seed"), WithBatchEntries(3), WithBatchBytes(10))
		steps := rapid.IntRange(50, 400).Draw(t, "steps")
		for range steps {
			c.randomStep(t)
		}
		clear(c.isolated)
		c.runTicks(80)
		leader := c.leader()
		if leader == "" {
			t.Fatalf("no leader elected after the faults ended")
		}
		c.propose(leader, -1)
		c.runTicks(10)
		for id := range c.machines {
			if len(c.applied[id]) != len(c.history) {
				t.Fatalf("replica %q applied %d of %d entries after the faults ended", id, len(c.applied[id]), len(c.history))
			}
		}
	})
}

// randomStep performs one random action or fault.
func (c *cluster) randomStep(t *rapid.T) {
	ids := c.ids()
	id := rapid.SampledFrom(ids).Draw(t, "replica")
	crashAfter := -1
	if rapid.IntRange(0, 19).Draw(t, "crash") == 0 {
		crashAfter = rapid.IntRange(0, 3).Draw(t, "after")
	}
	switch action := rapid.IntRange(0, 21).Draw(t, "action"); {
	case action < 7 && len(c.network) > 0:
		c.deliver(rapid.IntRange(0, min(len(c.network)-1, 8)).Draw(t, "message"), crashAfter)
	case action < 12:
		for range rapid.IntRange(1, 6).Draw(t, "ticks") {
			c.step(id, TickMsg{}, -1)
		}
	case action < 15:
		c.propose(id, crashAfter)
	case action == 15 && len(c.network) > 0:
		c.network = slices.Delete(c.network, 0, 1)
	case action == 16 && len(c.network) > 0:
		c.network = append(c.network, c.network[0])
	case action == 17:
		c.isolated[id] = !c.isolated[id]
	case action == 18:
		c.compact(id)
	case action == 19:
		c.start(id)
	case action == 20:
		c.read(id)
	case action == 21:
		c.step(id, LeaderSuspectedMsg{Leader: c.machines[id].Leader()}, crashAfter)
	}
}

// TestRestartedReplicasUseShorterElectionTimeout restarts all replicas at once: except
// after split votes, they elect a leader before the minimum election timeout has
// passed. Replicas that restart while there is a leader must not depose it.
func TestRestartedReplicasUseShorterElectionTimeout(t *testing.T) {
	const seeds = 200
	electedEarly := 0
	for seed := range uint64(seeds) {
		c := newCluster(t, 3, seed)
		c.runTicks(4 * defaultElectionTicks)
		firstLeader := c.leader()
		for _, id := range c.ids() {
			if id != firstLeader {
				c.start(id)
			}
		}
		c.runTicks(2 * defaultElectionTicks)
		assert.Equal(t, c.leader(), firstLeader)
		for _, id := range c.ids() {
			c.start(id)
		}
		c.runTicks(defaultElectionTicks)
		if c.leader() != "" {
			electedEarly++
		}
	}
	assert.Assert(t, electedEarly >= seeds*3/4, "elected within the minimum election timeout with %d of %d seeds", electedEarly, seeds)
}

// TestReplicaThatLostItsDiskRejoinsAsNewVoter removes a replica and adds another one
// with an empty disk, which must catch up from a snapshot and the log.
func TestReplicaThatLostItsDiskRejoinsAsNewVoter(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.runTicks(40)
	for range 20 {
		c.propose(c.leader(), -1)
		c.runTicks(1)
	}
	c.compact(c.leader())
	lost := c.ids()[0]
	if lost == c.leader() {
		lost = c.ids()[1]
	}
	delete(c.machines, lost)
	c.step(c.leader(), ChangeVotersMsg{Remove: lost}, -1)
	c.runTicks(5)
	c.disks["new"] = &disk{}
	c.start("new")
	c.learn("new")
	c.step(c.leader(), ChangeVotersMsg{Add: "new"}, -1)
	c.runTicks(10)
	assert.DeepEqual(t, c.applied["new"], c.history)
	assert.Assert(t, slices.Contains(c.machines["new"].Voters(), "new"))
	assert.Assert(t, !slices.Contains(c.machines["new"].Voters(), lost))
}

// TestPartitionedLeaderStepsDownAndCommitsNothing isolates a leader: it must step down
// on its own, and the others must elect a new one.
func TestPartitionedLeaderStepsDownAndCommitsNothing(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.runTicks(40)
	oldLeader := c.leader()
	c.isolated[oldLeader] = true
	c.propose(oldLeader, -1)
	commitBefore := c.machines[oldLeader].CommitIndex()
	c.runTicks(60)
	assert.Equal(t, c.machines[oldLeader].CommitIndex(), commitBefore)
	assert.Assert(t, c.machines[oldLeader].Role() != Leader)
	assert.Assert(t, c.leader() != "" && c.leader() != oldLeader)
}

// TestSecondMembershipChangeIsRejectedWhilePending guards against two changes at once,
// whose quorums might not overlap.
func TestSecondMembershipChangeIsRejectedWhilePending(t *testing.T) {
	c := newCluster(t, 3, 5)
	c.runTicks(40)
	leader := c.leader()
	m := c.machines[leader]
	c.disks["d"] = &disk{}
	c.start("d")
	c.learn("d")
	m.Update(ChangeVotersMsg{ID: 1, Add: "d"})
	effects := m.Update(ChangeVotersMsg{ID: 2, Add: "e"})
	assert.DeepEqual(t, effects, []Effect{RejectedEffect{ID: 2, Err: ErrChangePending}}, cmpErrors)
}

func TestProposalAtFollowerIsRejected(t *testing.T) {
	c := newCluster(t, 3, 5)
	effects := c.machines[c.ids()[0]].Update(ProposeMsg{ID: 9})
	assert.DeepEqual(t, effects, []Effect{RejectedEffect{ID: 9, Err: ErrNotLeader}}, cmpErrors)
}

// TestOldTermEntryCommitsOnlyWithCurrentTermEntry covers the case of figure 8 in the
// Raft paper: an entry of an earlier term is stored on a majority and can still be
// overwritten, so it must not be committed by counting replicas.
func TestOldTermEntryCommitsOnlyWithCurrentTermEntry(t *testing.T) {
	ids := []string{"a", "b", "c"}
	entry := func(index, term int) messenger.Entry { return messenger.Entry{Index: index, Term: term} }
	m := New("a", PersistentState{
		Vote:     messenger.VoteState{Term: 3},
		Snapshot: messenger.Snapshot{Voters: ids},
		Entries:  []messenger.Entry{entry(1, 1), entry(2, 2)},
	})
	for m.Role() != PreCandidate {
		m.Update(TickMsg{})
	}
	m.Update(ReceiveMsg{messenger.ReplicaMessage{Kind: KindPreVoteResponse, From: "b", To: "a", Term: 4}})
	m.Update(ReceiveMsg{messenger.ReplicaMessage{Kind: KindVoteResponse, From: "b", To: "a", Term: 4}})
	assert.Equal(t, m.Role(), Leader)
	m.Update(ReceiveMsg{messenger.ReplicaMessage{Kind: KindAppendResponse, From: "b", To: "a", Term: 4, Index: 2}})
	assert.Equal(t, m.CommitIndex(), 0, "an entry of term 2 was committed by counting replicas")
	m.Update(ReceiveMsg{messenger.ReplicaMessage{Kind: KindAppendResponse, From: "b", To: "a", Term: 4, Index: 3}})
	assert.Equal(t, m.CommitIndex(), 3)
}

// TestLaggingReplicaReceivesBoundedBatches isolates a follower while many entries are
// committed. No message that it then receives may exceed the batch size.
func TestLaggingReplicaReceivesBoundedBatches(t *testing.T) {
	const maxBytes = 100
	c := newCluster(t, 3, 1, WithBatchBytes(maxBytes))
	c.runTicks(40)
	leader := c.leader()
	lagging := c.ids()[0]
	if lagging == leader {
		lagging = c.ids()[1]
	}
	c.isolated[lagging] = true
	for range 200 {
		c.propose(leader, -1)
		c.runTicks(1)
	}
	clear(c.isolated)
	received := 0
	for range 60 {
		c.step(leader, TickMsg{}, -1)
		for n := 0; len(c.network) > 0 && n < 10000; n++ {
			size := 0
			for _, entry := range c.network[0].Entries {
				size += len(entry.Data)
			}
			assert.Assert(t, size <= maxBytes, "message carries %d bytes of entries", size)
			received += size
			c.deliver(0, -1)
		}
	}
	assert.Assert(t, received > maxBytes, "the lagging replica was sent %d bytes of entries", received)
	c.runTicks(60)
	assert.DeepEqual(t, c.applied[lagging], c.history)
}

// TestVoteSurvivesRestart has a replica vote, restart from its disk and receive a
// vote request of another candidate in the same term, which it must not grant.
func TestVoteSurvivesRestart(t *testing.T) {
	c := newCluster(t, 3, 1)
	voter := c.ids()[0]
	requestVote := func(candidate string) {
		c.step(voter, ReceiveMsg{messenger.ReplicaMessage{Kind: KindVote, From: candidate, To: voter, Term: 5}}, -1)
	}
	requestVote("x")
	c.start(voter)
	requestVote("y")
	granted := 0
	for _, message := range c.network {
		if message.Kind == KindVoteResponse && !message.Reject {
			granted++
		}
	}
	assert.Equal(t, granted, 1, "the replica voted twice in a term")
}
