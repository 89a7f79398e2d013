package replicator

import (
	"encoding/json"
	"slices"

	"papayaseam/internal/messenger"
)

// receive adopts a higher term, rejects messages of lower terms and handles the rest.
func (m *Machine) receive(message messenger.ReplicaMessage) {
	switch message.Kind {
	case KindPreVote, KindVote:
		if m.leaderRecentlyHeard() {
			return
		}
		if message.Kind == KindVote && message.Term > m.voteState.Term {
			m.become(Follower, message.Term, "")
		}
	case KindPreVoteResponse:
		if message.Reject && message.Term > m.voteState.Term {
			m.become(Follower, message.Term, "")
			return
		}
	default:
		if message.Term > m.voteState.Term {
			m.become(Follower, message.Term, "")
		}
	}
	m.noteLost(message.Lost)
	if message.Term < m.voteState.Term {
		m.rejectStaleTerm(message)
		return
	}
	if p := m.progress[message.From]; p != nil {
		p.lost = message.Lost
	}
	m.handle(message)
}

// rejectStaleTerm responds to a message of a lower term, so that its sender learns
// the current one.
func (m *Machine) rejectStaleTerm(message messenger.ReplicaMessage) {
	switch message.Kind {
	case KindAppend, KindHeartbeat, KindInstallSnapshot:
		m.send(message.From, messenger.ReplicaMessage{Kind: KindAppendResponse, Reject: true, Hint: m.commitIndex})
	case KindPreVote:
		m.send(message.From, messenger.ReplicaMessage{Kind: KindPreVoteResponse, Reject: true})
	}
}

func (m *Machine) handle(message messenger.ReplicaMessage) {
	switch message.Kind {
	case KindPreVote, KindVote:
		m.handleVoteRequest(message)
	case KindPreVoteResponse:
		m.handleVoteResponse(message, PreCandidate)
	case KindVoteResponse:
		m.handleVoteResponse(message, Candidate)
	case KindAppend:
		m.followLeader(message.From)
		m.handleAppend(message)
	case KindHeartbeat:
		m.followLeader(message.From)
		m.commitUpTo(min(message.Commit, m.lastIndex()))
		m.send(message.From, messenger.ReplicaMessage{Kind: KindHeartbeatResponse, Hint: message.Hint})
	case KindInstallSnapshot:
		m.followLeader(message.From)
		m.handleInstallSnapshot(message)
	case KindAppendResponse:
		m.handleAppendResponse(message)
	case KindHeartbeatResponse:
		m.handleHeartbeatResponse(message)
	}
}

// followLeader accepts the sender as the current term's leader.
func (m *Machine) followLeader(leader string) {
	m.leaderSuspected = false
	if m.role == Follower && m.leader == leader {
		m.elapsedTicks = 0
		return
	}
	m.become(Follower, m.voteState.Term, leader)
}

// commitUpTo raises the commit index to index; it never lowers it.
func (m *Machine) commitUpTo(index int) {
	m.commitIndex = max(m.commitIndex, index)
}

// handleAppend appends a leader's entries if the log contains the entry before them,
// and otherwise rejects them with the highest index that may match as the hint.
func (m *Machine) handleAppend(message messenger.ReplicaMessage) {
	if message.Index < m.commitIndex {
		m.send(message.From, messenger.ReplicaMessage{Kind: KindAppendResponse, Index: m.commitIndex})
		return
	}
	term, ok := m.termAt(message.Index)
	if !ok || term != message.LogTerm {
		hint := min(message.Index-1, m.lastIndex())
		m.send(message.From, messenger.ReplicaMessage{Kind: KindAppendResponse, Reject: true, Index: message.Index, Hint: max(hint, m.commitIndex)})
		return
	}
	for i, entry := range message.Entries {
		if storedTerm, ok := m.termAt(entry.Index); !ok || storedTerm != entry.Term {
			m.truncateAndAppend(slices.Clone(message.Entries[i:]))
			break
		}
	}
	lastIndex := message.Index + len(message.Entries)
	m.commitUpTo(min(message.Commit, lastIndex))
	m.send(message.From, messenger.ReplicaMessage{Kind: KindAppendResponse, Index: lastIndex})
}

// handleInstallSnapshot replaces the log with a leader's snapshot and keeps the
// entries after it if the log contains its last entry.
func (m *Machine) handleInstallSnapshot(message messenger.ReplicaMessage) {
	snapshot := message.Snapshot
	if snapshot == nil || snapshot.Index <= m.commitIndex {
		m.send(message.From, messenger.ReplicaMessage{Kind: KindAppendResponse, Index: m.commitIndex})
		return
	}
	term, ok := m.termAt(snapshot.Index)
	matches := ok && term == snapshot.Term
	if matches {
		m.entries = slices.Clone(m.entries[snapshot.Index-m.snapshot.Index:])
	} else {
		m.entries = nil
		m.configs = nil
	}
	m.setSnapshot(*snapshot, !matches)
	m.commitIndex = snapshot.Index
	m.appliedIndex = snapshot.Index
	m.emit(RestoreEffect{Snapshot: *snapshot})
	m.send(message.From, messenger.ReplicaMessage{Kind: KindAppendResponse, Index: snapshot.Index})
}

func (m *Machine) broadcastHeartbeat() {
	for _, id := range m.peers() {
		p := m.progress[id]
		m.send(id, messenger.ReplicaMessage{Kind: KindHeartbeat, Commit: min(p.matchIndex, m.commitIndex), Hint: m.lastReadSeq})
	}
}

func (m *Machine) broadcastAppend() {
	for _, id := range m.peers() {
		m.sendAppend(id)
	}
}

// sendAppend sends the next batch of entries to a peer, or the snapshot if the entry
// before its next index is compacted.
func (m *Machine) sendAppend(id string) {
	p := m.progress[id]
	prevIndex := p.nextIndex - 1
	term, ok := m.termAt(prevIndex)
	if !ok {
		snapshot := m.snapshot
		m.send(id, messenger.ReplicaMessage{Kind: KindInstallSnapshot, Snapshot: &snapshot})
		p.nextIndex = snapshot.Index + 1
		return
	}
	lastIndex := m.batchEnd(prevIndex)
	m.send(id, messenger.ReplicaMessage{
		Kind: KindAppend, Index: prevIndex, LogTerm: term, Commit: m.commitIndex,
		Entries: slices.Clone(m.entryRange(prevIndex+1, lastIndex)),
	})
	p.nextIndex = lastIndex + 1
}

// batchEnd returns the last index of the batch that starts after prevIndex.
func (m *Machine) batchEnd(prevIndex int) int {
	lastIndex := min(m.lastIndex(), prevIndex+m.options.batchEntries)
	size := 0
	for index := prevIndex + 1; index <= lastIndex; index++ {
		size += len(m.entries[index-m.snapshot.Index-1].Data)
		if size > m.options.batchBytes && index > prevIndex+1 {
			return index - 1
		}
	}
	return lastIndex
}

func (m *Machine) handleAppendResponse(message messenger.ReplicaMessage) {
	p := m.progress[message.From]
	if m.role != Leader || p == nil {
		return
	}
	p.recentlyActive = true
	defer m.noteLearner(message, p)
	if message.Reject {
		if message.Index == 0 || message.Index > p.matchIndex {
			p.nextIndex = max(p.matchIndex+1, min(message.Hint, m.lastIndex())+1)
			m.sendAppend(message.From)
		}
		return
	}
	p.matchIndex = max(p.matchIndex, message.Index)
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	committed := m.advanceCommitIndex()
	if !committed && p.nextIndex <= m.lastIndex() {
		m.sendAppend(message.From)
	}
}

func (m *Machine) handleHeartbeatResponse(message messenger.ReplicaMessage) {
	p := m.progress[message.From]
	if m.role != Leader || p == nil {
		return
	}
	p.recentlyActive = true
	m.noteLearner(message, p)
	p.ackedReadSeq = max(p.ackedReadSeq, message.Hint)
	m.confirmReads()
	if p.matchIndex < m.lastIndex() {
		p.nextIndex = p.matchIndex + 1
		m.sendAppend(message.From)
	}
}

// advanceCommitIndex commits up to the highest index that a quorum has stored, if that
// entry is of the current term, and sends the new commit index to the followers.
// Entries of earlier terms are not committed by counting replicas: a later leader
// could still overwrite them. It reports whether the commit index rose.
func (m *Machine) advanceCommitIndex() bool {
	index := m.commitIndex
	for _, stored := range m.storedIndexes() {
		if term, _ := m.termAt(stored); stored <= index || term != m.voteState.Term {
			continue
		}
		if !m.isReachedByQuorum(func(p *progress) bool { return p.matchIndex >= stored }) {
			break
		}
		index = stored
	}
	if index == m.commitIndex {
		return false
	}
	m.commitIndex = index
	m.broadcastAppend()
	m.advanceCommitIndex()
	return true
}

// storedIndexes returns the indexes up to which replicas store the log, in ascending order.
func (m *Machine) storedIndexes() []int {
	indexes := []int{m.lastIndex()}
	for _, p := range m.progress {
		indexes = append(indexes, p.matchIndex)
	}
	slices.Sort(indexes)
	return slices.Compact(indexes)
}

func (m *Machine) propose(msg ProposeMsg) {
	m.proposeEntry(msg.ID, messenger.Entry{Kind: EntryCommand, Data: msg.Data})
}

// proposeEntry appends an entry to the leader's log and replicates it. Other replicas
// reject it with ErrNotLeader.
func (m *Machine) proposeEntry(id uint64, entry messenger.Entry) {
	if m.role != Leader {
		m.emit(RejectedEffect{ID: id, Err: ErrNotLeader})
		return
	}
	entry.Index = m.lastIndex() + 1
	entry.Term = m.voteState.Term
	m.truncateAndAppend([]messenger.Entry{entry})
	m.emit(ProposalAppendedEffect{ID: id, Index: entry.Index, Term: entry.Term})
	m.syncProgress()
	m.broadcastAppend()
	m.advanceCommitIndex()
}

// changeVoters appends a configuration that differs by at most one voter, so that the
// quorums of the old and the new one overlap.
func (m *Machine) changeVoters(msg ChangeVotersMsg) {
	if m.role != Leader {
		m.emit(RejectedEffect{ID: msg.ID, Err: ErrNotLeader})
		return
	}
	changePending := m.configs[len(m.configs)-1].index > m.commitIndex
	if changePending || m.commitIndex < m.termStartIndex {
		m.emit(RejectedEffect{ID: msg.ID, Err: ErrChangePending})
		return
	}
	if msg.Voters != nil && !slices.Equal(msg.Voters, m.Voters()) {
		m.emit(RejectedEffect{ID: msg.ID, Err: ErrVotersChanged})
		return
	}
	voters := slices.Clone(m.Voters())
	adds := msg.Add != "" && !slices.Contains(voters, msg.Add)
	if l := m.learners[msg.Add]; adds && (l == nil || !l.caughtUp) {
		m.emit(RejectedEffect{ID: msg.ID, Err: ErrNotCaughtUp})
		return
	}
	if adds {
		voters = append(voters, msg.Add)
	} else if msg.Remove != "" {
		voters = slices.DeleteFunc(voters, func(id string) bool { return id == msg.Remove })
	}
	data, err := json.Marshal(voters)
	if err != nil || len(voters) == 0 {
		m.emit(RejectedEffect{ID: msg.ID, Err: ErrChangePending})
		return
	}
	m.proposeEntry(msg.ID, messenger.Entry{Kind: EntryVoters, Data: data})
}
