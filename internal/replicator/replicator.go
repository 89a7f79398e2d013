// Package replicator implements the Raft consensus protocol, which replicates
// the log of the control processes, as a deterministic state machine: terms,
// pre-vote, check-quorum, learners, membership changes of one server with a quorum of
// the voters before and after, half quorums beside a lost disk, snapshots and log
// compaction.
//
// # Usage
//
// The caller owns one Machine, passes it messages and executes the returned
// effects strictly in order. An effect that follows a SaveEffect must not be
// executed before the save is synced to disk:
//
//	m := replicator.New("c1@127.0.0.1:7101", state, replicator.WithSeed(7))
//	for _, effect := range m.Update(replicator.TickMsg{}) {
//		execute(effect)
//	}
//
// The machine has no clock, starts no goroutine and does no I/O. One TickMsg
// stands for one tick of the caller's timer; timeouts are counted in ticks.
package replicator

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"

	"papayaseam/internal/messenger"

	"github.com/cespare/xxhash/v2"
)

// Kinds of log entries.
const (
	EntryCommand = 0 // EntryCommand carries a command for the replicated state machine.
	EntryVoters  = 1 // EntryVoters carries the JSON list of all voters in force from this entry on.
	EntryNoOp    = 2 // EntryNoOp is empty; each new leader appends one to commit in its own term.
)

// Kinds of messages between replicas.
const (
	KindPreVote = iota + 1
	KindPreVoteResponse
	KindVote
	KindVoteResponse
	KindAppend
	KindAppendResponse
	KindHeartbeat
	KindHeartbeatResponse
	KindInstallSnapshot
)

// Role is the role of a replica in its current term.
type Role int

// The roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name in lower case.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// PersistentState is the state that a replica loads from disk when it starts.
type PersistentState struct {
	Vote     messenger.VoteState
	Snapshot messenger.Snapshot
	Entries  []messenger.Entry
}

// progress is what a leader knows about the log of one voter.
type progress struct {
	matchIndex, nextIndex int
	recentlyActive        bool
	ackedReadSeq          int      // ackedReadSeq is the highest read sequence number that the voter has acknowledged.
	lost                  []string // lost are the lost disks that the voter knows of.
}

// voterConfig is the list of voters in force from a log index on.
type voterConfig struct {
	index  int
	voters []string
}

// Machine is one replica. It is not safe for concurrent use.
type Machine struct {
	id         string
	options    options
	rng        *rand.Rand
	role       Role
	leader     string
	leaderSeen bool // leaderSeen reports whether any leader was known since the start.
	// leaderSuspected reports that no process listens at the address of the last leader.
	leaderSuspected bool
	voteState       messenger.VoteState
	snapshot        messenger.Snapshot
	entries         []messenger.Entry
	configs         []voterConfig
	commitIndex     int
	appliedIndex    int

	elapsedTicks         int // elapsedTicks counts the ticks since the election timer restarted or, at a leader, since the last heartbeat.
	electionTimeoutTicks int
	quorumCheckTicks     int // quorumCheckTicks counts the ticks since the last check-quorum.
	termStartIndex       int // termStartIndex is the index of the leader's first entry of its term.
	ballot               *ballot
	progress             map[string]*progress
	learners             map[string]*learner // learners are the replicas that get the log of this leader without a vote.
	pendingReads         []pendingRead
	lastReadSeq          int
	lost                 map[string]bool // lost holds the members whose disks are lost.
	effects              []Effect
}

// New returns a replica that continues from its persistent state.
func New(id string, state PersistentState, opts ...Option) *Machine {
	m := &Machine{id: id, options: defaultOptions(), lost: map[string]bool{}}
	for _, opt := range opts {
		opt(&m.options)
	}
	m.rng = rand.New(rand.NewPCG(m.options.seed, xxhash.Sum64String(id)))
	m.voteState = state.Vote
	m.snapshot = state.Snapshot
	m.entries = slices.Clone(state.Entries)
	m.commitIndex = state.Snapshot.Index
	m.appliedIndex = state.Snapshot.Index
	m.configs = []voterConfig{{state.Snapshot.Index, state.Snapshot.Voters}}
	for _, entry := range m.entries {
		m.recordVoterConfig(entry)
	}
	m.resetElectionTimer()
	return m
}

// ID returns the ID of this replica.
func (m *Machine) ID() string { return m.id }

// Role returns the current role of this replica.
func (m *Machine) Role() Role { return m.role }

// Term returns the current term.
func (m *Machine) Term() int { return m.voteState.Term }

// Leader returns the ID of the current term's leader, or an empty string if it is
// unknown.
func (m *Machine) Leader() string { return m.leader }

// CommitIndex returns the highest index known to be committed.
func (m *Machine) CommitIndex() int { return m.commitIndex }

// AppliedIndex returns the highest index emitted in an ApplyEffect or restored from
// a snapshot.
func (m *Machine) AppliedIndex() int { return m.appliedIndex }

// LogLength returns the number of log entries after the snapshot.
func (m *Machine) LogLength() int { return len(m.entries) }

// Voters returns the voters of the latest configuration in the log, whether or not
// it is committed.
func (m *Machine) Voters() []string { return m.configs[len(m.configs)-1].voters }

// Update processes one message and returns the effects to execute, in order.
func (m *Machine) Update(msg Msg) []Effect {
	m.effects = nil
	switch msg := msg.(type) {
	case TickMsg:
		m.tick()
	case ReceiveMsg:
		m.receive(msg.Message)
	case ProposeMsg:
		m.propose(msg)
	case ChangeVotersMsg:
		m.changeVoters(msg)
	case LearnMsg:
		m.learn(msg)
	case DiskLostMsg:
		m.noteLost([]string{msg.Replica})
	case LeaderSuspectedMsg:
		m.suspectLeader(msg)
	case CompactMsg:
		m.compact(msg)
	case ReadMsg:
		m.startRead(msg)
	}
	m.applyCommitted()
	return m.effects
}

func (m *Machine) emit(effect Effect) { m.effects = append(m.effects, effect) }

func (m *Machine) send(to string, message messenger.ReplicaMessage) {
	message.From = m.id
	message.To = to
	message.Lost = m.lostMembers()
	if message.Term == 0 {
		message.Term = m.voteState.Term
	}
	m.emit(SendEffect{Message: message})
}

func (m *Machine) lastIndex() int { return m.snapshot.Index + len(m.entries) }

// termAt returns the term of the entry at index, and false if the index is
// compacted or beyond the end of the log.
func (m *Machine) termAt(index int) (int, bool) {
	switch {
	case index == m.snapshot.Index:
		return m.snapshot.Term, true
	case index < m.snapshot.Index || index > m.lastIndex():
		return 0, false
	}
	return m.entries[index-m.snapshot.Index-1].Term, true
}

func (m *Machine) lastTerm() int {
	term, _ := m.termAt(m.lastIndex())
	return term
}

// entryRange returns the entries from index from to index to, both included.
func (m *Machine) entryRange(from, to int) []messenger.Entry {
	return m.entries[from-m.snapshot.Index-1 : to-m.snapshot.Index]
}

// recordVoterConfig adds the configuration of an EntryVoters entry to configs; other
// entries are ignored.
func (m *Machine) recordVoterConfig(entry messenger.Entry) {
	if entry.Kind != EntryVoters {
		return
	}
	var voters []string
	if json.Unmarshal(entry.Data, &voters) == nil {
		m.configs = append(m.configs, voterConfig{entry.Index, voters})
	}
}

// votersAt returns the voters in force at index.
func (m *Machine) votersAt(index int) []string {
	voters := m.configs[0].voters
	for _, config := range m.configs {
		if config.index <= index {
			voters = config.voters
		}
	}
	return voters
}

func (m *Machine) isVoter(id string) bool { return slices.Contains(m.Voters(), id) }

// sortedKeys returns the keys of a map in a fixed order, so that runs repeat.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// resetElectionTimer restarts the election timer with a random timeout. A replica
// that has seen no leader since it started, or whose leader is gone, uses a shorter one;
// if the cluster has a leader, the other replicas ignore its pre-vote.
func (m *Machine) resetElectionTimer() {
	minTicks, jitterTicks := m.options.electionTicks, m.options.electionTicks
	if (!m.leaderSeen || m.leaderSuspected) && m.role != Candidate {
		minTicks = min(m.options.firstElectionTicks, minTicks)
		jitterTicks = max(jitterTicks-minTicks, 1)
	}
	m.elapsedTicks = 0
	m.electionTimeoutTicks = minTicks + m.rng.IntN(jitterTicks)
}

// timeoutTicks returns the election timeout. That of a replica with a leader ends with its
// turn among the voters of now.
func (m *Machine) timeoutTicks() int {
	switch {
	case m.role != Follower || m.leader == "":
		return m.electionTimeoutTicks
	case m.leaderSuspected:
		return m.options.heartbeatTicks + m.turnTicks()
	}
	// The other voters heard the last heartbeat an interval later at most.
	return m.options.electionTicks + m.options.heartbeatTicks + m.turnTicks()
}

func (m *Machine) saveVoteState() {
	voteState := m.voteState
	m.emit(SaveEffect{Vote: &voteState})
}

// truncateAndAppend removes all log entries from the index of the first new entry
// on, appends the new entries and saves them.
func (m *Machine) truncateAndAppend(entries []messenger.Entry) {
	if len(entries) == 0 {
		return
	}
	firstIndex := entries[0].Index
	m.entries = append(slices.Clip(m.entries[:firstIndex-m.snapshot.Index-1]), entries...)
	m.configs = slices.DeleteFunc(m.configs, func(c voterConfig) bool {
		return c.index >= firstIndex && c.index > m.snapshot.Index
	})
	for _, entry := range entries {
		m.recordVoterConfig(entry)
	}
	m.emit(SaveEffect{Entries: entries})
}

// applyCommitted emits the entries that are committed but not yet applied. A leader
// that is no longer a voter in the committed configuration steps down.
func (m *Machine) applyCommitted() {
	if m.appliedIndex >= m.commitIndex {
		return
	}
	entries := slices.Clone(m.entryRange(m.appliedIndex+1, m.commitIndex))
	m.appliedIndex = m.commitIndex
	m.noteVotersCommitted()
	if m.role == Leader {
		m.syncProgress()
	}
	m.emit(ApplyEffect{Entries: entries})
	if m.role == Leader && !slices.Contains(m.votersAt(m.commitIndex), m.id) && !m.isVoter(m.id) {
		m.become(Follower, m.voteState.Term, "")
	}
}

// compact drops the entries up to msg.Index and saves msg.Data as their snapshot. It
// does nothing if the index is not applied yet or already compacted.
func (m *Machine) compact(msg CompactMsg) {
	if msg.Index <= m.snapshot.Index || msg.Index > m.appliedIndex {
		return
	}
	term, _ := m.termAt(msg.Index)
	snapshot := messenger.Snapshot{Index: msg.Index, Term: term, Voters: m.votersAt(msg.Index), Data: msg.Data}
	m.entries = slices.Clone(m.entries[msg.Index-m.snapshot.Index:])
	m.setSnapshot(snapshot, false)
}

// setSnapshot replaces and saves the snapshot; reset also drops the whole saved log.
func (m *Machine) setSnapshot(snapshot messenger.Snapshot, reset bool) {
	m.snapshot = snapshot
	configs := []voterConfig{{snapshot.Index, snapshot.Voters}}
	for _, config := range m.configs {
		if config.index > snapshot.Index {
			configs = append(configs, config)
		}
	}
	m.configs = configs
	m.emit(SaveEffect{Snapshot: &snapshot, Reset: reset})
}
