// Package replicator is the replicated log of the control processes as a pure
// state machine: terms, pre-vote, check-quorum, one membership change at a
// time, snapshots and log truncation.
//
// # Usage
//
// A shell owns one Machine, feeds it messages and executes the effects it
// returns strictly in order; an effect that follows a SaveEffect must not run
// before the save is synced:
//
//	m := replicator.New("c1@127.0.0.1:7101", state, replicator.WithSeed(7))
//	for _, effect := range m.Update(replicator.TickMsg{}) {
//		execute(effect)
//	}
//
// The machine has no clock, goroutine or I/O. One TickMsg stands for one tick
// of the shell's timer; timeouts are counted in ticks.
package replicator

import (
	"encoding/json"
	"math/rand/v2"
	"slices"

	"papayaseam/internal/messenger"
)

// Kinds of entries in the log.
const (
	EntryCommand = 0 // EntryCommand carries a command of the state machine above.
	EntryVoters  = 1 // EntryVoters carries the JSON list of all voters from here on.
	EntryNoOp    = 2 // EntryNoOp is appended by each new leader.
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

// Role is the part a replica plays in its term.
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

// PersistentState is what a replica finds on its disk when it starts.
type PersistentState struct {
	Vote     messenger.VoteState
	Snapshot messenger.Snapshot
	Entries  []messenger.Entry
}

type progress struct {
	match, next int
	active      bool
	read        int // read is the newest read that the replica has confirmed.
}

type votersAt struct {
	index  int
	voters []string
}

// Machine is one replica. It is not safe for concurrent use.
type Machine struct {
	id       string
	options  options
	rng      *rand.Rand
	role     Role
	leader   string
	met      bool // met tells that a leader was heard since the start.
	vote     messenger.VoteState
	snapshot messenger.Snapshot
	entries  []messenger.Entry
	config   []votersAt
	commit   int
	applied  int

	elapsed     int
	timeout     int
	quorumTicks int
	termStart   int
	ballots     map[string]bool
	progress    map[string]*progress
	reads       []read
	lastRead    int
	effects     []Effect
}

// New returns a replica that continues from what its disk held.
func New(id string, state PersistentState, opts ...Option) *Machine {
	m := &Machine{id: id, options: defaults()}
	for _, opt := range opts {
		opt(&m.options)
	}
	m.rng = rand.New(rand.NewPCG(m.options.seed, uint64(len(id))))
	m.vote = state.Vote
	m.snapshot = state.Snapshot
	m.entries = slices.Clone(state.Entries)
	m.commit = state.Snapshot.Index
	m.applied = state.Snapshot.Index
	m.config = []votersAt{{state.Snapshot.Index, state.Snapshot.Voters}}
	for _, entry := range m.entries {
		m.noteVoters(entry)
	}
	m.resetTimeout()
	return m
}

// ID returns the identity of this replica.
func (m *Machine) ID() string { return m.id }

// Role returns the part this replica plays.
func (m *Machine) Role() Role { return m.role }

// Term returns the current term.
func (m *Machine) Term() int { return m.vote.Term }

// Leader returns the leader known in this term, or an empty string.
func (m *Machine) Leader() string { return m.leader }

// CommitIndex returns the highest index known to be committed.
func (m *Machine) CommitIndex() int { return m.commit }

// AppliedIndex returns the highest index handed out in an ApplyEffect.
func (m *Machine) AppliedIndex() int { return m.applied }

// LogLength returns the number of entries kept behind the snapshot.
func (m *Machine) LogLength() int { return len(m.entries) }

// Voters returns the voters of the newest configuration in the log.
func (m *Machine) Voters() []string { return m.config[len(m.config)-1].voters }

// Update takes one message and returns the effects to execute, in order.
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
	case CompactMsg:
		m.compact(msg)
	case ReadMsg:
		m.read(msg)
	}
	m.advance()
	return m.effects
}

func (m *Machine) emit(effect Effect) { m.effects = append(m.effects, effect) }

func (m *Machine) send(to string, message messenger.ReplicaMessage) {
	message.From = m.id
	message.To = to
	if message.Term == 0 {
		message.Term = m.vote.Term
	}
	m.emit(SendEffect{Message: message})
}

func (m *Machine) lastIndex() int { return m.snapshot.Index + len(m.entries) }

// termAt returns the term of the entry at an index, and false when the index
// is compacted away or beyond the log.
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

func (m *Machine) slice(from, to int) []messenger.Entry {
	return m.entries[from-m.snapshot.Index-1 : to-m.snapshot.Index]
}

func (m *Machine) noteVoters(entry messenger.Entry) {
	if entry.Kind != EntryVoters {
		return
	}
	var voters []string
	if json.Unmarshal(entry.Data, &voters) == nil {
		m.config = append(m.config, votersAt{entry.Index, voters})
	}
}

// votersUpTo returns the voters in force at an index.
func (m *Machine) votersUpTo(index int) []string {
	voters := m.config[0].voters
	for _, c := range m.config {
		if c.index <= index {
			voters = c.voters
		}
	}
	return voters
}

func (m *Machine) isVoter(id string) bool { return slices.Contains(m.Voters(), id) }

func (m *Machine) quorum() int { return len(m.Voters())/2 + 1 }

// resetTimeout draws the next election timeout. A replica that has met no leader
// since its start asks sooner: where one leads, the others refuse its pre-vote.
func (m *Machine) resetTimeout() {
	least, spread := m.options.electionTicks, m.options.electionTicks
	if !m.met && m.role != Candidate {
		least = min(m.options.firstElectionTicks, least)
		spread = max(spread-least, 1)
	}
	m.elapsed = 0
	m.timeout = least + m.rng.IntN(spread)
}

func (m *Machine) saveVote() {
	vote := m.vote
	m.emit(SaveEffect{Vote: &vote})
}

// append adds entries at the end of the log, after cutting whatever stands at
// or behind their first index, and saves them.
func (m *Machine) append(entries []messenger.Entry) {
	if len(entries) == 0 {
		return
	}
	first := entries[0].Index
	m.entries = append(slices.Clip(m.entries[:first-m.snapshot.Index-1]), entries...)
	m.config = slices.DeleteFunc(m.config, func(c votersAt) bool {
		return c.index >= first && c.index > m.snapshot.Index
	})
	for _, entry := range entries {
		m.noteVoters(entry)
	}
	m.emit(SaveEffect{Entries: entries})
}

// advance hands out everything committed that has not been applied.
func (m *Machine) advance() {
	if m.applied >= m.commit {
		return
	}
	entries := slices.Clone(m.slice(m.applied+1, m.commit))
	m.applied = m.commit
	m.emit(ApplyEffect{Entries: entries})
	if m.role == Leader && !slices.Contains(m.votersUpTo(m.commit), m.id) && !m.isVoter(m.id) {
		m.become(Follower, m.vote.Term, "")
	}
}

func (m *Machine) compact(msg CompactMsg) {
	if msg.Index <= m.snapshot.Index || msg.Index > m.applied {
		return
	}
	term, _ := m.termAt(msg.Index)
	snapshot := messenger.Snapshot{Index: msg.Index, Term: term, Voters: m.votersUpTo(msg.Index), Data: msg.Data}
	m.entries = slices.Clone(m.entries[msg.Index-m.snapshot.Index:])
	m.setSnapshot(snapshot, false)
}

func (m *Machine) setSnapshot(snapshot messenger.Snapshot, reset bool) {
	m.snapshot = snapshot
	kept := []votersAt{{snapshot.Index, snapshot.Voters}}
	for _, c := range m.config {
		if c.index > snapshot.Index {
			kept = append(kept, c)
		}
	}
	m.config = kept
	m.emit(SaveEffect{Snapshot: &snapshot, Reset: reset})
}
