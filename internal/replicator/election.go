package replicator

import "papayaseam/internal/messenger"

func (m *Machine) tick() {
	m.elapsed++
	if m.role == Leader {
		m.tickLeader()
		return
	}
	if m.elapsed >= m.timeout && m.isVoter(m.id) {
		m.campaign(PreCandidate)
	}
}

func (m *Machine) tickLeader() {
	m.quorumTicks++
	if m.quorumTicks >= m.options.electionTicks {
		m.quorumTicks = 0
		if !m.checkQuorum() {
			m.become(Follower, m.vote.Term, "")
			return
		}
	}
	if m.elapsed >= m.options.heartbeatTicks {
		m.elapsed = 0
		m.broadcastHeartbeat()
	}
}

// checkQuorum reports whether a quorum was heard since the last check.
func (m *Machine) checkQuorum() bool {
	heard := 0
	for _, id := range m.Voters() {
		p := m.progress[id]
		if id == m.id || (p != nil && p.active) {
			heard++
		}
		if p != nil {
			p.active = false
		}
	}
	return heard >= m.quorum()
}

// become changes role or term; a new term forgets the vote and is saved.
func (m *Machine) become(role Role, term int, leader string) {
	if term > m.vote.Term {
		m.vote = messenger.VoteState{Term: term}
		m.saveVote()
	}
	changed := m.role != role || m.leader != leader
	m.role = role
	m.leader = leader
	m.met = m.met || leader != ""
	if role != Leader {
		m.progress = nil
		m.rejectReads()
	}
	m.resetTimeout()
	if changed {
		m.emit(LeaderChangedEffect{Leader: leader, Role: role, Term: m.vote.Term})
	}
}

func (m *Machine) campaign(role Role) {
	term := m.vote.Term
	kind := KindPreVote
	if role == Candidate {
		term++
		kind = KindVote
	}
	m.become(role, term, "")
	if role == Candidate {
		m.vote.Vote = m.id
		m.saveVote()
	}
	m.ballots = map[string]bool{m.id: true}
	if m.tally() {
		return
	}
	for _, id := range m.Voters() {
		if id == m.id {
			continue
		}
		m.send(id, messenger.ReplicaMessage{
			Kind: kind, Term: m.vote.Term + btoi(role == PreCandidate),
			Index: m.lastIndex(), LogTerm: m.lastTerm(),
		})
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// tally moves a candidate on once it has a quorum of ballots.
func (m *Machine) tally() bool {
	granted, refused := 0, 0
	for _, id := range m.Voters() {
		ballot, cast := m.ballots[id]
		granted += btoi(cast && ballot)
		refused += btoi(cast && !ballot)
	}
	switch {
	case granted >= m.quorum() && m.role == PreCandidate:
		m.campaign(Candidate)
		return true
	case granted >= m.quorum():
		m.lead()
		return true
	case refused >= m.quorum():
		m.become(Follower, m.vote.Term, "")
		return true
	}
	return false
}

func (m *Machine) lead() {
	m.become(Leader, m.vote.Term, m.id)
	m.elapsed = 0
	m.quorumTicks = 0
	m.progress = map[string]*progress{}
	m.termStart = m.lastIndex() + 1
	m.syncProgress()
	m.append([]messenger.Entry{{Index: m.termStart, Term: m.vote.Term, Kind: EntryNoOp}})
	m.broadcastAppend()
	m.advanceCommit()
}

// syncProgress makes the progress table match the voters.
func (m *Machine) syncProgress() {
	for _, id := range m.Voters() {
		if m.progress[id] == nil {
			m.progress[id] = &progress{next: m.lastIndex() + 1, active: true}
		}
	}
	for id := range m.progress {
		if !m.isVoter(id) {
			delete(m.progress, id)
		}
	}
}

// leased reports whether a leader was heard so recently that this replica
// must not help to unseat it.
func (m *Machine) leased() bool {
	return m.leader != "" && (m.role == Leader || m.elapsed < m.options.electionTicks)
}

func (m *Machine) answerVote(message messenger.ReplicaMessage) {
	upToDate := message.LogTerm > m.lastTerm() ||
		(message.LogTerm == m.lastTerm() && message.Index >= m.lastIndex())
	if message.Kind == KindPreVote {
		grant := upToDate && message.Term > m.vote.Term
		answer := messenger.ReplicaMessage{Kind: KindPreVoteResponse, Reject: !grant}
		if grant {
			answer.Term = message.Term
		}
		m.send(message.From, answer)
		return
	}
	grant := upToDate && (m.vote.Vote == "" || m.vote.Vote == message.From)
	if grant {
		m.vote.Vote = message.From
		m.saveVote()
		m.resetTimeout()
	}
	m.send(message.From, messenger.ReplicaMessage{Kind: KindVoteResponse, Reject: !grant})
}

func (m *Machine) takeBallot(message messenger.ReplicaMessage, role Role) {
	if m.role != role {
		return
	}
	if _, cast := m.ballots[message.From]; !cast {
		m.ballots[message.From] = !message.Reject
	}
	m.tally()
}
