package replicator

import (
	"encoding/json"
	"slices"

	"papayaseam/internal/messenger"
)

func (m *Machine) receive(message messenger.ReplicaMessage) {
	switch message.Kind {
	case KindPreVote, KindVote:
		if m.leased() {
			return
		}
		if message.Kind == KindVote && message.Term > m.vote.Term {
			m.become(Follower, message.Term, "")
		}
	case KindPreVoteResponse:
		if message.Reject && message.Term > m.vote.Term {
			m.become(Follower, message.Term, "")
			return
		}
	default:
		if message.Term > m.vote.Term {
			m.become(Follower, message.Term, "")
		}
	}
	if message.Term < m.vote.Term {
		m.refuseOldTerm(message)
		return
	}
	m.handle(message)
}

// refuseOldTerm lets a sender of an older term learn the current one.
func (m *Machine) refuseOldTerm(message messenger.ReplicaMessage) {
	switch message.Kind {
	case KindAppend, KindHeartbeat, KindInstallSnapshot:
		m.send(message.From, messenger.ReplicaMessage{Kind: KindAppendResponse, Reject: true, Hint: m.commit})
	case KindPreVote:
		m.send(message.From, messenger.ReplicaMessage{Kind: KindPreVoteResponse, Reject: true})
	}
}

func (m *Machine) handle(message messenger.ReplicaMessage) {
	switch message.Kind {
	case KindPreVote, KindVote:
		m.answerVote(message)
	case KindPreVoteResponse:
		m.takeBallot(message, PreCandidate)
	case KindVoteResponse:
		m.takeBallot(message, Candidate)
	case KindAppend:
		m.follow(message.From)
		m.answerAppend(message)
	case KindHeartbeat:
		m.follow(message.From)
		m.commitTo(min(message.Commit, m.lastIndex()))
		m.send(message.From, messenger.ReplicaMessage{Kind: KindHeartbeatResponse, Hint: message.Hint})
	case KindInstallSnapshot:
		m.follow(message.From)
		m.install(message)
	case KindAppendResponse:
		m.takeAppendAnswer(message)
	case KindHeartbeatResponse:
		m.takeHeartbeatAnswer(message)
	}
}

// follow accepts the sender as this term's leader.
func (m *Machine) follow(leader string) {
	if m.role == Follower && m.leader == leader {
		m.elapsed = 0
		return
	}
	m.become(Follower, m.vote.Term, leader)
}

func (m *Machine) commitTo(index int) {
	m.commit = max(m.commit, index)
}

func (m *Machine) answerAppend(message messenger.ReplicaMessage) {
	if message.Index < m.commit {
		m.send(message.From, messenger.ReplicaMessage{Kind: KindAppendResponse, Index: m.commit})
		return
	}
	term, ok := m.termAt(message.Index)
	if !ok || term != message.LogTerm {
		hint := min(message.Index-1, m.lastIndex())
		m.send(message.From, messenger.ReplicaMessage{Kind: KindAppendResponse, Reject: true, Index: message.Index, Hint: max(hint, m.commit)})
		return
	}
	for i, entry := range message.Entries {
		if have, ok := m.termAt(entry.Index); !ok || have != entry.Term {
			m.append(slices.Clone(message.Entries[i:]))
			break
		}
	}
	last := message.Index + len(message.Entries)
	m.commitTo(min(message.Commit, last))
	m.send(message.From, messenger.ReplicaMessage{Kind: KindAppendResponse, Index: last})
}

func (m *Machine) install(message messenger.ReplicaMessage) {
	snapshot := message.Snapshot
	if snapshot == nil || snapshot.Index <= m.commit {
		m.send(message.From, messenger.ReplicaMessage{Kind: KindAppendResponse, Index: m.commit})
		return
	}
	term, known := m.termAt(snapshot.Index)
	matches := known && term == snapshot.Term
	if matches {
		m.entries = slices.Clone(m.entries[snapshot.Index-m.snapshot.Index:])
	} else {
		m.entries = nil
		m.config = nil
	}
	m.setSnapshot(*snapshot, !matches)
	m.commit = snapshot.Index
	m.applied = snapshot.Index
	m.emit(RestoreEffect{Snapshot: *snapshot})
	m.send(message.From, messenger.ReplicaMessage{Kind: KindAppendResponse, Index: snapshot.Index})
}

func (m *Machine) broadcastHeartbeat() {
	for _, id := range m.Voters() {
		if id == m.id {
			continue
		}
		p := m.progress[id]
		m.send(id, messenger.ReplicaMessage{Kind: KindHeartbeat, Commit: min(p.match, m.commit), Hint: m.lastRead})
	}
}

func (m *Machine) broadcastAppend() {
	for _, id := range m.Voters() {
		if id != m.id {
			m.sendAppend(id)
		}
	}
}

// sendAppend sends what a follower lacks, or a snapshot when the log behind
// its next index has been compacted away.
func (m *Machine) sendAppend(id string) {
	p := m.progress[id]
	previous := p.next - 1
	term, ok := m.termAt(previous)
	if !ok {
		snapshot := m.snapshot
		m.send(id, messenger.ReplicaMessage{Kind: KindInstallSnapshot, Snapshot: &snapshot})
		p.next = snapshot.Index + 1
		return
	}
	last := m.batchEnd(previous)
	m.send(id, messenger.ReplicaMessage{
		Kind: KindAppend, Index: previous, LogTerm: term, Commit: m.commit,
		Entries: slices.Clone(m.slice(previous+1, last)),
	})
	p.next = last + 1
}

// batchEnd returns the last index of a batch that begins behind an index.
func (m *Machine) batchEnd(previous int) int {
	last := min(m.lastIndex(), previous+m.options.batchEntries)
	bytes := 0
	for index := previous + 1; index <= last; index++ {
		bytes += len(m.entries[index-m.snapshot.Index-1].Data)
		if bytes > m.options.batchBytes && index > previous+1 {
			return index - 1
		}
	}
	return last
}

func (m *Machine) takeAppendAnswer(message messenger.ReplicaMessage) {
	p := m.progress[message.From]
	if m.role != Leader || p == nil {
		return
	}
	p.active = true
	if message.Reject {
		if message.Index == 0 || message.Index > p.match {
			p.next = max(p.match+1, min(message.Hint, m.lastIndex())+1)
			m.sendAppend(message.From)
		}
		return
	}
	p.match = max(p.match, message.Index)
	p.next = max(p.next, p.match+1)
	committed := m.advanceCommit()
	if !committed && p.next <= m.lastIndex() {
		m.sendAppend(message.From)
	}
}

func (m *Machine) takeHeartbeatAnswer(message messenger.ReplicaMessage) {
	p := m.progress[message.From]
	if m.role != Leader || p == nil {
		return
	}
	p.active = true
	p.read = max(p.read, message.Hint)
	m.confirmReads()
	if p.match < m.lastIndex() {
		p.next = p.match + 1
		m.sendAppend(message.From)
	}
}

// advanceCommit commits what a quorum holds, if it ends in this term's
// entries, and tells the followers.
func (m *Machine) advanceCommit() bool {
	matches := make([]int, 0, len(m.Voters()))
	for _, id := range m.Voters() {
		match := 0
		if id == m.id {
			match = m.lastIndex()
		} else if p := m.progress[id]; p != nil {
			match = p.match
		}
		matches = append(matches, match)
	}
	slices.Sort(matches)
	index := matches[len(matches)-m.quorum()]
	term, _ := m.termAt(index)
	if index <= m.commit || term != m.vote.Term {
		return false
	}
	m.commit = index
	m.broadcastAppend()
	return true
}

func (m *Machine) propose(msg ProposeMsg) {
	m.appendOwn(msg.ID, messenger.Entry{Kind: EntryCommand, Data: msg.Data})
}

func (m *Machine) appendOwn(id uint64, entry messenger.Entry) {
	if m.role != Leader {
		m.emit(RejectedEffect{ID: id, Err: ErrNotLeader})
		return
	}
	entry.Index = m.lastIndex() + 1
	entry.Term = m.vote.Term
	m.append([]messenger.Entry{entry})
	m.emit(ProposalAppendedEffect{ID: id, Index: entry.Index, Term: entry.Term})
	m.syncProgress()
	m.broadcastAppend()
	m.advanceCommit()
}

// changeVoters appends a configuration that differs by one voter.
func (m *Machine) changeVoters(msg ChangeVotersMsg) {
	if m.role != Leader {
		m.emit(RejectedEffect{ID: msg.ID, Err: ErrNotLeader})
		return
	}
	pending := m.config[len(m.config)-1].index > m.commit
	if pending || m.commit < m.termStart {
		m.emit(RejectedEffect{ID: msg.ID, Err: ErrChangePending})
		return
	}
	voters := slices.Clone(m.Voters())
	if msg.Add != "" && !slices.Contains(voters, msg.Add) {
		voters = append(voters, msg.Add)
	} else if msg.Remove != "" {
		voters = slices.DeleteFunc(voters, func(id string) bool { return id == msg.Remove })
	}
	data, err := json.Marshal(voters)
	if err != nil || len(voters) == 0 {
		m.emit(RejectedEffect{ID: msg.ID, Err: ErrChangePending})
		return
	}
	m.appendOwn(msg.ID, messenger.Entry{Kind: EntryVoters, Data: data})
}
