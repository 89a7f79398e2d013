package replicator

import (
	"fmt"
	"slices"
	"testing"

	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// disk is what a replica's saves have made durable.
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
		first := effect.Entries[0].Index
		d.state.Entries = slices.DeleteFunc(d.state.Entries, func(e messenger.Entry) bool { return e.Index >= first })
		d.state.Entries = append(d.state.Entries, effect.Entries...)
	}
}

// cluster drives replicas in one thread and checks the invariants after each
// step.
type cluster struct {
	t        testingT
	machines map[string]*Machine
	disks    map[string]*disk
	network  []messenger.ReplicaMessage
	applied  map[string][]string
	agreed   []string
	leaders  map[int]string
	accepted int
	next     uint64
	cut      map[string]bool
	reads    map[uint64]int // reads maps pending reads to the entries agreed when they were asked.
	confirms int
	opts     []Option
}

type testingT interface {
	Fatalf(format string, args ...any)
}

func newCluster(t testingT, n int, seed uint64, opts ...Option) *cluster {
	c := &cluster{
		t: t, machines: map[string]*Machine{}, disks: map[string]*disk{}, applied: map[string][]string{},
		leaders: map[int]string{}, cut: map[string]bool{}, reads: map[uint64]int{}, opts: append([]Option{WithSeed(seed)}, opts...),
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

func (c *cluster) start(id string) {
	c.applied[id] = decodeApplied(c.disks[id].state.Snapshot.Data)
	c.machines[id] = New(id, c.disks[id].state, c.opts...)
}

func decodeApplied(data []byte) []string {
	var list []string
	for _, b := range slices.Collect(slices.Chunk(data, 8)) {
		list = append(list, string(b))
	}
	return list
}

func (c *cluster) ids() []string {
	var ids []string
	for id := range c.machines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// step updates one replica; with crashAfter at zero or more, it dies behind
// that many effects and restarts from its disk.
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
		if other, ok := c.leaders[effect.Term]; ok && other != id {
			c.t.Fatalf("two leaders in term %d: %q and %q", effect.Term, other, id)
		}
		c.leaders[effect.Term] = id
	}
}

// checkPrefix checks that all replicas applied prefixes of one history.
func (c *cluster) checkPrefix(id string) {
	own := c.applied[id]
	n := min(len(own), len(c.agreed))
	if !slices.Equal(own[:n], c.agreed[:n]) {
		c.t.Fatalf("replica %q applied another history:\n%v\n%v", id, own, c.agreed)
	}
	if len(own) > len(c.agreed) {
		c.agreed = slices.Clone(own)
	}
}

func (c *cluster) propose(id string, crashAfter int) {
	c.next++
	c.step(id, ProposeMsg{ID: c.next, Data: fmt.Appendf(nil, "%06d", c.next)}, crashAfter)
}

// read asks a replica for a read.
func (c *cluster) read(id string) {
	c.next++
	c.reads[c.next] = len(c.agreed)
	c.step(id, ReadMsg{ID: c.next}, -1)
}

// checkRead checks that a confirmed read sees all that had been applied anywhere
// when it was asked.
func (c *cluster) checkRead(id string, read uint64) {
	c.confirms++
	if len(c.applied[id]) < c.reads[read] {
		c.t.Fatalf("replica %q confirmed a read with %d of %d entries", id, len(c.applied[id]), c.reads[read])
	}
}

func (c *cluster) compact(id string) {
	var data []byte
	for _, a := range c.applied[id] {
		data = append(data, a...)
	}
	c.step(id, CompactMsg{Index: c.machines[id].AppliedIndex(), Data: data}, -1)
}

func (c *cluster) deliver(i, crashAfter int) {
	message := c.network[i]
	c.network = slices.Delete(c.network, i, i+1)
	if c.cut[message.To] || c.cut[message.From] || c.machines[message.To] == nil {
		return
	}
	c.step(message.To, ReceiveMsg{Message: message}, crashAfter)
}

// settle runs the cluster without faults.
func (c *cluster) settle(ticks int) {
	for range ticks {
		for _, id := range c.ids() {
			c.step(id, TickMsg{}, -1)
		}
		for n := 0; len(c.network) > 0 && n < 10000; n++ {
			c.deliver(0, -1)
		}
	}
}

func (c *cluster) leader() string {
	best, term := "", -1
	for id, m := range c.machines {
		if m.Role() == Leader && m.Term() > term && !c.cut[id] {
			best, term = id, m.Term()
		}
	}
	return best
}

// TestLogHistories drives random orders of faults: lost, doubled and
// reordered messages, cuts, crashes between any two effects, snapshots.
func TestLogHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "replicas")
		c := newCluster(t, n, rapid.Uint64().Draw(t, "seed"), WithBatchEntries(3), WithBatchBytes(10))
		steps := rapid.IntRange(50, 400).Draw(t, "steps")
		for range steps {
			c.randomStep(t)
		}
		clear(c.cut)
		c.settle(80)
		leader := c.leader()
		if leader == "" {
			t.Fatalf("no leader after the faults ended")
		}
		c.propose(leader, -1)
		c.settle(10)
		for id := range c.machines {
			if len(c.applied[id]) != len(c.agreed) {
				t.Fatalf("replica %q applied %d of %d entries after the faults ended", id, len(c.applied[id]), len(c.agreed))
			}
		}
	})
}

func (c *cluster) randomStep(t *rapid.T) {
	ids := c.ids()
	id := rapid.SampledFrom(ids).Draw(t, "replica")
	crash := -1
	if rapid.IntRange(0, 19).Draw(t, "crash") == 0 {
		crash = rapid.IntRange(0, 3).Draw(t, "after")
	}
	switch action := rapid.IntRange(0, 20).Draw(t, "action"); {
	case action < 7 && len(c.network) > 0:
		c.deliver(rapid.IntRange(0, min(len(c.network)-1, 8)).Draw(t, "message"), crash)
	case action < 12:
		for range rapid.IntRange(1, 6).Draw(t, "ticks") {
			c.step(id, TickMsg{}, -1)
		}
	case action < 15:
		c.propose(id, crash)
	case action == 15 && len(c.network) > 0:
		c.network = slices.Delete(c.network, 0, 1)
	case action == 16 && len(c.network) > 0:
		c.network = append(c.network, c.network[0])
	case action == 17:
		c.cut[id] = !c.cut[id]
	case action == 18:
		c.compact(id)
	case action == 19:
		c.start(id)
	case action == 20:
		c.read(id)
	}
}

// TestReplicasThatMetNoLeaderAskSooner kills all replicas at once: but for ties
// they elect before the shortest election timeout has passed. Replicas that
// come back beside a leader do not unseat it.
func TestReplicasThatMetNoLeaderAskSooner(t *testing.T) {
	const seeds = 200
	soon := 0
	for seed := range uint64(seeds) {
		c := newCluster(t, 3, seed)
		c.settle(4 * defaultElectionTicks)
		first := c.leader()
		for _, id := range c.ids() {
			if id != first {
				c.start(id)
			}
		}
		c.settle(2 * defaultElectionTicks)
		assert.Equal(t, c.leader(), first)
		for _, id := range c.ids() {
			c.start(id)
		}
		c.settle(defaultElectionTicks)
		if c.leader() != "" {
			soon++
		}
	}
	assert.Assert(t, soon >= seeds*3/4, "%d of %d", soon, seeds)
}

func TestLostDiskRejoinsAsNewVoter(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.settle(40)
	for range 20 {
		c.propose(c.leader(), -1)
		c.settle(1)
	}
	c.compact(c.leader())
	lost := c.ids()[0]
	if lost == c.leader() {
		lost = c.ids()[1]
	}
	delete(c.machines, lost)
	c.step(c.leader(), ChangeVotersMsg{Remove: lost}, -1)
	c.settle(5)
	c.disks["new"] = &disk{}
	c.start("new")
	c.step(c.leader(), ChangeVotersMsg{Add: "new"}, -1)
	c.settle(10)
	assert.DeepEqual(t, c.applied["new"], c.agreed)
	assert.Assert(t, slices.Contains(c.machines["new"].Voters(), "new"))
	assert.Assert(t, !slices.Contains(c.machines["new"].Voters(), lost))
}

func TestCutOffLeaderStepsDownAndCommitsNothing(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.settle(40)
	former := c.leader()
	c.cut[former] = true
	c.propose(former, -1)
	before := c.machines[former].CommitIndex()
	c.settle(60)
	assert.Equal(t, c.machines[former].CommitIndex(), before)
	assert.Assert(t, c.machines[former].Role() != Leader)
	assert.Assert(t, c.leader() != "" && c.leader() != former)
}

func TestSecondMembershipChangeIsRefusedWhilePending(t *testing.T) {
	c := newCluster(t, 3, 5)
	c.settle(40)
	leader := c.leader()
	m := c.machines[leader]
	m.Update(ChangeVotersMsg{ID: 1, Add: "d"})
	effects := m.Update(ChangeVotersMsg{ID: 2, Add: "e"})
	assert.DeepEqual(t, effects, []Effect{RejectedEffect{ID: 2, Err: ErrChangePending}}, cmpErrors)
}

func TestProposalAtFollowerIsRefused(t *testing.T) {
	c := newCluster(t, 3, 5)
	effects := c.machines[c.ids()[0]].Update(ProposeMsg{ID: 9})
	assert.DeepEqual(t, effects, []Effect{RejectedEffect{ID: 9, Err: ErrNotLeader}}, cmpErrors)
}

// TestOlderTermCommitsOnlyBehindOwnEntry replays the classic case in which an
// entry of an older term is on a majority, and is still overwritten.
func TestOlderTermCommitsOnlyBehindOwnEntry(t *testing.T) {
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

// TestVoteSurvivesARestart has a replica vote, restart from its disk, and be
// asked by another candidate of the same term.
func TestReplicaFarBehindIsSentBoundedBatches(t *testing.T) {
	const most = 100
	c := newCluster(t, 3, 1, WithBatchBytes(most))
	c.settle(40)
	leader := c.leader()
	behind := c.ids()[0]
	if behind == leader {
		behind = c.ids()[1]
	}
	c.cut[behind] = true
	for range 200 {
		c.propose(leader, -1)
		c.settle(1)
	}
	clear(c.cut)
	c.step(leader, TickMsg{}, -1)
	for n := 0; len(c.network) > 0 && n < 10000; n++ {
		size := 0
		for _, entry := range c.network[0].Entries {
			size += len(entry.Data)
		}
		assert.Assert(t, size <= most, "%d bytes in one message", size)
		c.deliver(0, -1)
	}
	c.settle(60)
	assert.DeepEqual(t, c.applied[behind], c.agreed)
}

func TestVoteSurvivesARestart(t *testing.T) {
	c := newCluster(t, 3, 1)
	voter := c.ids()[0]
	ask := func(candidate string) {
		c.step(voter, ReceiveMsg{messenger.ReplicaMessage{Kind: KindVote, From: candidate, To: voter, Term: 5}}, -1)
	}
	ask("x")
	c.start(voter)
	ask("y")
	granted := 0
	for _, message := range c.network {
		if message.Kind == KindVoteResponse && !message.Reject {
			granted++
		}
	}
	assert.Equal(t, granted, 1, "the replica voted twice in a term")
}
